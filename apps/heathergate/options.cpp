#include "options.h"

#include <iostream>

namespace heathergate::app {

namespace po = boost::program_options;

OptionParser::OptionParser(const std::string &usage, const std::string &summary)
    : m_usage("Usage: heathergate " + usage + "\n\n" + summary + "\n")
    , m_options("Options")
{
    m_options.add_options()("help,h", "Shows this help");
}

auto OptionParser::parse(const Arguments &arguments) -> std::optional<po::variables_map>
{
    try {
        po::variables_map values;
        po::store(
            po::command_line_parser(arguments).options(m_options).positional(m_positional).run(),
            values);
        if (values.count("help") > 0) {
            std::cout << m_usage << '\n' << m_options;
            m_status = 0;
            return std::nullopt;
        }
        po::notify(values);
        return values;
    } catch (const po::error &error) {
        std::cerr << "heathergate: " << error.what() << "\n" << m_usage;
        m_status = 2;
        return std::nullopt;
    }
}

auto report(const std::string &problem) -> int
{
    std::cerr << "heathergate: " << problem << '\n';
    return 1;
}

} // namespace heathergate::app
