#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

/// Identifier types. They are distinct, so that the compiler rejects, for example, a customer where
/// a program is expected.
namespace heathergate {

/// A textual identifier. `Tag` makes each kind of identifier a distinct type.
template <typename Tag>
struct TextId
{
    std::string value;

    TextId() = default;
    explicit TextId(std::string text)
        : value(std::move(text))
    {
    }

    [[nodiscard]] auto empty() const -> bool
    {
        return value.empty();
    }

    auto operator<=>(const TextId &) const = default;

    friend auto to_json(nlohmann::json &json, const TextId &id) -> void
    {
        json = id.value;
    }

    friend auto from_json(const nlohmann::json &json, TextId &id) -> void
    {
        json.get_to(id.value);
    }

    friend auto operator<<(std::ostream &out, const TextId &id) -> std::ostream &
    {
        return out << id.value;
    }
};

using CustomerId = TextId<struct CustomerTag>;
using ProgramId = TextId<struct ProgramTag>;
using CallId = TextId<struct CallTag>;
using UpstreamId = TextId<struct UpstreamTag>;
using InstanceId = TextId<struct InstanceTag>;
using FailureDomainId = TextId<struct FailureDomainTag>;
using KeyId = TextId<struct KeyTag>;

/// Number of a consensus group. Group 0 is the control group; program shards follow from 1.
using GroupId = std::uint32_t;
constexpr GroupId kControlGroup = 0;

} // namespace heathergate

template <typename Tag>
struct std::hash<heathergate::TextId<Tag>>
{
    auto operator()(const heathergate::TextId<Tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.value);
    }
};
