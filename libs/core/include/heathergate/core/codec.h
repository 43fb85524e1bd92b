#pragma once

#include <heathergate/core/result.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Compact encoding (CBOR) of types that have JSON conversions.
namespace heathergate {

/// Returns the CBOR encoding of `value`.
template <typename T>
[[nodiscard]] auto encode(const T &value) -> std::string
{
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(value), bytes);
    return bytes;
}

/// Decodes a value. Fails with `Code::BadFrame` if `bytes` are not the encoding of a `T`.
template <typename T>
[[nodiscard]] auto decode(std::string_view bytes) -> Result<T>
{
    try {
        return nlohmann::json::from_cbor(bytes.begin(), bytes.end()).template get<T>();
    } catch (const nlohmann::json::exception &error) {
        return fail(Code::BadFrame, error.what());
    }
}

namespace internal {

template <typename Variant, std::size_t index = 0>
auto variantFromJson(const nlohmann::json &json, std::size_t wanted, Variant &value) -> void
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (index == wanted)
            value = json.get<std::variant_alternative_t<index, Variant>>();
        else
            variantFromJson<Variant, index + 1>(json, wanted, value);
    } else {
        throw nlohmann::json::other_error::create(501, "unknown alternative", &json);
    }
}

} // namespace internal

/// Returns the CBOR encoding of a variant: the index and the value of its alternative. The indexes
/// are part of the stored format, so new alternatives must be added at the end.
template <typename... Types>
[[nodiscard]] auto encodeVariant(const std::variant<Types...> &value) -> std::string
{
    auto json = nlohmann::json::array();
    json.push_back(value.index());
    std::visit([&json](const auto &alternative) { json.push_back(alternative); }, value);
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

/// Decodes the encoding returned by `encodeVariant`. Fails with `Code::BadFrame`.
template <typename Variant>
[[nodiscard]] auto decodeVariant(std::string_view bytes) -> Result<Variant>
{
    try {
        const auto json = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        Variant value;
        internal::variantFromJson(json.at(1), json.at(0).get<std::size_t>(), value);
        return value;
    } catch (const nlohmann::json::exception &error) {
        return fail(Code::BadFrame, error.what());
    }
}

} // namespace heathergate

namespace nlohmann {

/// Durations are serialized as counts of microseconds.
template <>
struct adl_serializer<heathergate::Duration>
{
    static auto to_json(json &out, const heathergate::Duration &value) -> void
    {
        out = value.count();
    }

    static auto from_json(const json &in, heathergate::Duration &value) -> void
    {
        value = heathergate::Duration(in.get<std::int64_t>());
    }
};

/// Errors are serialized with all their fields, so that the instance that answers the caller can
/// forward them unchanged.
template <>
struct adl_serializer<heathergate::Error>
{
    static auto to_json(json &out, const heathergate::Error &error) -> void
    {
        out = json{{"code", static_cast<int>(error.code)},
                   {"detail", error.detail},
                   {"ran", static_cast<int>(error.ran)},
                   {"retryAfter", error.retryAfter.count()}};
    }

    static auto from_json(const json &in, heathergate::Error &error) -> void
    {
        error.code = static_cast<heathergate::Code>(in.at("code").get<int>());
        error.detail = in.at("detail").get<std::string>();
        error.ran = static_cast<heathergate::Ran>(in.at("ran").get<int>());
        error.retryAfter = heathergate::Duration(in.at("retryAfter").get<std::int64_t>());
    }
};

template <typename T>
struct adl_serializer<std::optional<T>>
{
    static auto to_json(json &out, const std::optional<T> &value) -> void
    {
        if (value)
            out = *value;
        else
            out = nullptr;
    }

    static auto from_json(const json &in, std::optional<T> &value) -> void
    {
        if (in.is_null())
            value.reset();
        else
            value = in.get<T>();
    }
};

} // namespace nlohmann
