#pragma once

#include <heathergate/core/core.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <toml++/toml.h>

/// Reads TOML settings. Errors name the file, the line and the key.
namespace heathergate::settings {

/// Reads one table and records the keys that were read, so that unknown keys are reported.
class TableReader
{
public:
    TableReader(const toml::table *table, std::string name, std::string file)
        : m_table(table)
        , m_name(std::move(name))
        , m_file(std::move(file))
    {
    }

    /// Reads a value if the key is present. If the value has another type or `check` rejects it, an
    /// error with the text `allowed` is recorded and `target` is unchanged.
    template <typename T, typename Check>
    auto read(const std::string &key, T &target, const std::string &allowed, Check check) -> void
    {
        m_known.insert(key);
        const auto *node = m_table == nullptr ? nullptr : m_table->get(key);
        if (node == nullptr)
            return;
        const auto value = node->value<T>();
        if (!value || !check(*value)) {
            report(*node, key, allowed);
            return;
        }
        target = *value;
    }

    auto readText(const std::string &key, std::string &target) -> void
    {
        read<std::string>(key, target, "text that is not empty",
                          [](const std::string &text) { return !text.empty(); });
    }

    template <typename Id>
    auto readName(const std::string &key, Id &target) -> void
    {
        auto text = target.value;
        read<std::string>(key, text, "letters, digits, '-' and '_', at most 64", isName);
        target = Id(text);
    }

    auto readEndpoint(const std::string &key, Endpoint &target) -> void
    {
        auto text = target.host.empty() ? std::string() : target.text();
        read<std::string>(key, text, "IPv4-address:port", [](const std::string &value) {
            return parseEndpoint(value).has_value();
        });
        if (const auto endpoint = parseEndpoint(text))
            target = *endpoint;
    }

    /// Reads an integer; the bounds are inclusive.
    template <typename Number>
    auto readNumber(const std::string &key, Number &target, std::int64_t minimum,
                    std::int64_t maximum) -> void
    {
        auto number = static_cast<std::int64_t>(target);
        read<std::int64_t>(
            key, number,
            "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum),
            [&](std::int64_t value) { return value >= minimum && value <= maximum; });
        target = static_cast<Number>(number);
    }

    /// Reads a duration as a whole number of `Unit`; the bounds are in that unit and inclusive.
    template <typename Unit, typename Target>
    auto readTime(const std::string &key, Target &target, std::int64_t minimum,
                  std::int64_t maximum) -> void
    {
        auto count = std::chrono::duration_cast<Unit>(target).count();
        readNumber(key, count, minimum, maximum);
        target = Unit(count);
    }

    /// Records an error if a required key is missing.
    auto require(const std::string &key, bool present) -> void
    {
        if (!present && m_error.empty())
            m_error = m_file + ": [" + m_name + "] " + key + " is missing";
    }

    /// Returns the first error, or an empty string. A key that was not read is an error.
    [[nodiscard]] auto finish() -> std::string
    {
        if (m_table == nullptr || !m_error.empty())
            return m_error;
        for (const auto &[key, node] : *m_table) {
            const std::string name(key.str());
            if (!m_known.contains(name))
                return location(node) + "[" + m_name + "] " + name + " is not a known key";
        }
        return {};
    }

    /// Marks a key as known without reading it.
    auto addKnown(const std::string &key) -> void
    {
        m_known.insert(key);
    }

    [[nodiscard]] static auto isName(const std::string &text) -> bool
    {
        return !text.empty() && text.size() <= 64
               && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                      return std::isalnum(c) != 0 || c == '-' || c == '_';
                  });
    }

private:
    [[nodiscard]] auto location(const toml::node &node) const -> std::string
    {
        return m_file + ":" + std::to_string(node.source().begin.line) + ": ";
    }

    auto report(const toml::node &node, const std::string &key, const std::string &allowed) -> void
    {
        if (!m_error.empty())
            return;
        std::ostringstream value;
        node.visit([&value](const auto &item) { value << item; });
        m_error = location(node) + "[" + m_name + "] " + key + " = " + value.str() + " must be "
                  + allowed;
    }

    const toml::table *m_table;
    std::string m_name;
    std::string m_file;
    std::set<std::string> m_known;
    std::string m_error;
};

} // namespace heathergate::settings
