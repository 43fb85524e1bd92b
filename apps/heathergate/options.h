#pragma once

#include "commands.h"

#include <boost/program_options.hpp>
#include <optional>

namespace heathergate::app {

/// Parses a subcommand's arguments. `--help` and mistakes are answered on the terminal; then
/// nothing is returned and `status` is the exit status.
class OptionParser
{
public:
    /// Creates a parser; `usage` and `summary` stand above the list of options.
    OptionParser(const std::string &usage, const std::string &summary);

    /// Returns the options, to add to them.
    [[nodiscard]] auto add() -> boost::program_options::options_description_easy_init
    {
        return m_options.add_options();
    }

    /// Declares positional arguments that are stored under `name`.
    auto positional(const std::string &name, int count) -> void
    {
        m_positional.add(name.c_str(), count);
    }

    [[nodiscard]] auto parse(const Arguments &arguments)
        -> std::optional<boost::program_options::variables_map>;

    [[nodiscard]] auto status() const -> int
    {
        return m_status;
    }

private:
    std::string m_usage;
    boost::program_options::options_description m_options;
    boost::program_options::positional_options_description m_positional;
    int m_status = 0;
};

/// Prints an error and returns the exit status 1.
[[nodiscard]] auto report(const std::string &problem) -> int;

} // namespace heathergate::app
