#pragma once

#include "commands.h"

#include <boost/program_options.hpp>
#include <optional>

namespace heathergate::app {

/// Parses the arguments of a subcommand. After `--help` or an error, `parse` prints the help or the
/// error and returns `std::nullopt`, and `status` is the exit status.
class OptionParser
{
public:
    /// Creates a parser whose help shows `usage` and `summary` above the options.
    OptionParser(const std::string &usage, const std::string &summary);

    /// Returns an object that adds options.
    [[nodiscard]] auto add() -> boost::program_options::options_description_easy_init
    {
        return m_options.add_options();
    }

    /// Stores up to `count` positional arguments under `name`; -1 is unlimited.
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
