#include "options.h"

#include <heathergate/core/core.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <set>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

/// A structured log line with its fields.
struct LogLine
{
    double time = 0;
    std::string file;
    std::string text;
    std::map<std::string, std::string> fields;

    [[nodiscard]] auto value(const std::string &name) const -> std::string
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

/// Parses `NAME=VALUE` pairs. Quoted values may contain spaces and backslash escapes.
auto readFields(const std::string &text) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> fields;
    std::size_t at = 0;
    while (at < text.size()) {
        const auto equals = text.find('=', at);
        if (equals == std::string::npos)
            break;
        const auto space = text.rfind(' ', equals);
        const auto start = space == std::string::npos || space < at ? at : space + 1;
        std::string value;
        auto next = equals + 1;
        if (next < text.size() && text[next] == '"') {
            for (++next; next < text.size() && text[next] != '"'; ++next) {
                if (text[next] == '\\' && next + 1 < text.size())
                    ++next;
                value.push_back(text[next]);
            }
            ++next;
        } else {
            const auto end = std::min(text.find(' ', next), text.size());
            value = text.substr(next, end - next);
            next = end;
        }
        fields[text.substr(start, equals - start)] = value;
        at = next;
    }
    return fields;
}

auto readLines(std::istream &in, const std::string &file, std::vector<LogLine> &lines) -> void
{
    for (std::string text; std::getline(in, text);) {
        // Log collectors may prepend the instance's name or a time stamp of their own.
        const auto start = text.find("ts=");
        if (start == std::string::npos)
            continue;
        LogLine line;
        line.file = start == 0 ? file : text.substr(0, start);
        line.text = text.substr(start);
        line.fields = readFields(line.text);
        line.time = std::strtod(line.value("ts").c_str(), nullptr);
        lines.push_back(std::move(line));
    }
}

/// Returns the lines of a request or program, including the leader's lines on its admissions, in
/// order of time.
auto linesOf(const std::string &id, const std::vector<LogLine> &lines) -> std::vector<LogLine>
{
    std::set<std::string> requests{id};
    std::set<std::string> admissions;
    for (const auto &line : lines) {
        if (line.value("program") == id)
            requests.insert(line.value("request"));
    }
    for (const auto &line : lines) {
        if (requests.contains(line.value("request")) && !line.value("admission").empty())
            admissions.insert(line.value("admission"));
    }
    std::vector<LogLine> found;
    for (const auto &line : lines) {
        const auto admission = line.value("admission");
        if ((!line.value("request").empty() && requests.contains(line.value("request")))
            || (!admission.empty() && admissions.contains(admission)))
            found.push_back(line);
    }
    std::stable_sort(found.begin(), found.end(), [](const LogLine &left, const LogLine &right) {
        return left.time < right.time;
    });
    return found;
}

auto endingDescription(const std::string &ending) -> std::string
{
    static const std::map<std::string, std::string> kTexts{
        {"1", "answered with an error"},
        {"2", "did not send a complete and valid answer"},
        {"3", "could not be reached; nothing was sent"},
        {"4", "sent nothing within its timeout"},
        {"5", "declined to execute the request"},
        {"6", "was abandoned because the deadline passed, the caller disconnected or the request "
              "was refused"},
    };
    const auto found = kTexts.find(ending);
    return found == kTexts.end() ? "ended" : found->second;
}

auto codeDescription(const std::string &code) -> std::string
{
    const auto &info = codeInfo(static_cast<Code>(std::strtol(code.c_str(), nullptr, 10)));
    return std::string(info.name) + " (" + code + "): " + std::string(info.meaning);
}

/// Describes a line of the gateway about the earlier turns of a request, or its own turn.
auto historyDescription(const LogLine &line) -> std::string
{
    static const std::map<std::string, std::string> kOutcomes{
        {"0", "The earlier turns were read"},
        {"1", "So many replicas lack the named turn that it does not exist"},
        {"2", "The turn is on enough disks"},
        {"3", "The replicas did not answer in time or could not tell"},
    };
    const auto found = kOutcomes.find(line.value("outcome"));
    const auto text = found == kOutcomes.end() ? std::string("History") : found->second;
    return text + ", " + line.value("total_ms") + " ms after the request arrived.";
}

auto description(const LogLine &line) -> std::string
{
    const auto event = line.value("event");
    if (line.value("part") == "history")
        return historyDescription(line);
    if (event == "sent")
        return "Attempt " + line.value("try") + " was sent to upstream " + line.value("upstream")
               + " after " + line.value("waited_ms") + " ms; " + line.value("left_ms")
               + " ms remained until the deadline.";
    if (event == "attempt_failed")
        return "Upstream " + line.value("upstream") + " " + endingDescription(line.value("ending"))
               + ", after " + line.value("after_ms") + " ms"
               + (line.value("sent") == "1" ? "; the request may have been executed."
                                            : "; the request was not executed.");
    if (event == "refused" && line.value("part") == "admission")
        return "The leader refused admission: " + codeDescription(line.value("code")) + " Running "
               + line.value("running") + ", queued " + line.value("queued") + ".";
    if (event == "refused")
        return "The request was refused: " + codeDescription(line.value("code"))
               + " Executed: " + line.value("ran") + ".";
    if (event == "ended")
        return "The request ended as '" + line.value("outcome") + "' after "
               + line.value("total_ms") + " ms and " + line.value("tries") + " attempts.";
    if (event == "event_out_of_order")
        return "Event " + line.value("number")
               + " did not follow the previous event; the stream was resumed "
                 "at another upstream.";
    return event + ".";
}

} // namespace

auto runExplain(const Arguments &arguments) -> int
{
    OptionParser parser("explain ID [FILE...]",
                        "Collects the log lines of a request or program from the logs of several "
                        "instances, in order of time, and explains them. Without FILE, reads "
                        "standard input.");
    parser.add()("id", po::value<std::string>()->required(), "Identifier of a request or program")(
        "file", po::value<std::vector<std::string>>(), "Log file");
    parser.positional("id", 1);
    parser.positional("file", -1);
    const auto values = parser.parse(arguments);
    if (!values)
        return parser.status();
    std::vector<LogLine> lines;
    if (values->count("file") == 0)
        readLines(std::cin, "", lines);
    else
        for (const auto &file : (*values)["file"].as<std::vector<std::string>>()) {
            std::ifstream stream(file);
            if (!stream)
                return report("cannot read " + file);
            readLines(stream, file, lines);
        }
    const auto id = (*values)["id"].as<std::string>();
    const auto found = linesOf(id, lines);
    if (found.empty())
        return report("found no log line of " + id);
    for (const auto &line : found)
        std::cout << line.file << (line.file.empty() ? "" : " ") << line.text << "\n    "
                  << description(line) << '\n';
    return 0;
}

} // namespace heathergate::app
