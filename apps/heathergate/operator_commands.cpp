#include "operator_client.h"
#include <heathergate/core/json_text.h>

#include <heathergate/daemon/settings.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

constexpr std::size_t kKeyBytes = 24;
constexpr std::string_view kBasePath = "/operator/v1/";

/// Options and positional arguments of an operator command.
struct ParsedCommand
{
    po::variables_map values;
    std::vector<std::string> positionals;
};

auto parseCommand(OptionParser &parser, const Arguments &arguments) -> std::optional<ParsedCommand>
{
    OperatorClient::addOptions(parser);
    parser.add()("word", po::value<std::vector<std::string>>(), "Action and its arguments");
    parser.positional("word", -1);
    auto values = parser.parse(arguments);
    if (!values)
        return std::nullopt;
    ParsedCommand command{std::move(*values), {}};
    if (command.values.count("word") > 0)
        command.positionals = command.values["word"].as<std::vector<std::string>>();
    return command;
}

auto usageError(const std::string &usage) -> int
{
    std::cerr << "heathergate: usage: " << usage << '\n';
    return 2;
}

auto path(const std::string &rest) -> std::string
{
    return std::string(kBasePath) + rest;
}

auto readAll(const std::string &file) -> Result<std::string>
{
    std::ifstream stream(file);
    if (!stream)
        return fail(Code::BadRequest, "cannot read " + file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

auto updateRow(const ParsedCommand &command) -> int
{
    nlohmann::json body{{"revision", command.values["revision"].as<std::uint64_t>()}};
    for (const auto *column : {"rate", "burst", "weight"}) {
        if (command.values.count(column) > 0)
            body[column] = command.values[column].as<double>();
    }
    for (const auto *column : {"budget", "priority"}) {
        if (command.values.count(column) > 0)
            body[column] = command.values[column].as<std::int64_t>();
    }
    return OperatorClient(command.values)
        .sendAndPrint("PUT", path("table/" + command.positionals[1] + "?wait=1"), jsonText(body));
}

auto createKey(const ParsedCommand &command) -> int
{
    const auto secret = command.values["hash-secret"].as<std::string>();
    if (secret.size() < 16)
        return report(
            "--hash-secret: must be the hash_secret of the settings, at least 16 characters");
    const auto key = "hgo_" + toHex(secureRandom(kKeyBytes));
    std::cout << "key  " << key << "\nhash " << toHex(hmacSha256(secret, key)) << '\n';
    return 0;
}

} // namespace

auto runTable(const Arguments &arguments) -> int
{
    const std::string usage = "table get [--csv] | set CUSTOMER --revision N [--rate ...] | "
                              "remove CUSTOMER --revision N | import FILE.csv";
    OptionParser parser(usage, "Reads and edits the table of weights and limits.");
    parser.add()("csv", "Prints the table as CSV")(
        "revision", po::value<std::uint64_t>()->default_value(0),
        "Revision of the row when it was read; 0 for a new row")("rate", po::value<double>(),
                                                                 "Requests per second")(
        "burst", po::value<double>(), "Size of the token bucket, in requests")(
        "budget", po::value<std::int64_t>(), "Token budget of a program")(
        "priority", po::value<std::int64_t>(), "Priority class; 0 is the highest")(
        "weight", po::value<double>(), "Weight within the priority class");
    const auto command = parseCommand(parser, arguments);
    if (!command)
        return parser.status();
    const auto &positionals = command->positionals;
    const OperatorClient client(command->values);
    if (positionals.size() == 1 && positionals[0] == "get")
        return client.sendAndPrint("GET", path("table"), {},
                                   command->values.count("csv") > 0 ? "text/csv" : "");
    if (positionals.size() == 2 && positionals[0] == "set")
        return updateRow(*command);
    if (positionals.size() == 2 && positionals[0] == "remove") {
        const nlohmann::json body{{"revision", command->values["revision"].as<std::uint64_t>()}};
        return client.sendAndPrint("DELETE", path("table/" + positionals[1] + "?wait=1"),
                                   jsonText(body));
    }
    if (positionals.size() == 2 && positionals[0] == "import") {
        const auto text = readAll(positionals[1]);
        return text ? client.sendAndPrint("PUT", path("table"), *text)
                    : report(text.error().detail);
    }
    return usageError(usage);
}

auto runKey(const Arguments &arguments) -> int
{
    const std::string usage =
        "key new --hash-secret SECRET | give --customer NAME | give --operator NAME | list | "
        "withdraw ID";
    OptionParser parser(usage,
                        "Creates the first operator's key; gives, lists and withdraws keys.");
    parser.add()("hash-secret", po::value<std::string>()->default_value(""),
                 "Value of hash_secret in the settings")("customer", po::value<std::string>(),
                                                         "Customer of the new key")(
        "operator", po::value<std::string>(), "Operator of the new key");
    const auto command = parseCommand(parser, arguments);
    if (!command)
        return parser.status();
    const auto &positionals = command->positionals;
    const OperatorClient client(command->values);
    if (positionals.size() == 1 && positionals[0] == "new")
        return createKey(*command);
    if (positionals.size() == 1 && positionals[0] == "list")
        return client.sendAndPrint("GET", path("keys"));
    if (positionals.size() == 2 && positionals[0] == "withdraw")
        return client.sendAndPrint("DELETE", path("keys/" + positionals[1]));
    for (const auto *owner : {"customer", "operator"}) {
        if (positionals.size() == 1 && positionals[0] == "give" && command->values.count(owner) > 0)
            return client.sendAndPrint(
                "POST", path("keys"),
                jsonText(nlohmann::json{{owner, command->values[owner].as<std::string>()}}));
    }
    return usageError(usage);
}

auto runUpstream(const Arguments &arguments) -> int
{
    const std::string usage =
        "upstream list | drain ID | undrain ID | order ID ACTION [ARGUMENT] | orders";
    OptionParser parser(usage, "Lists and drains upstreams; sends orders to them.");
    const auto command = parseCommand(parser, arguments);
    if (!command)
        return parser.status();
    const auto &positionals = command->positionals;
    const OperatorClient client(command->values);
    if (positionals.size() == 1 && positionals[0] == "list")
        return client.sendAndPrint("GET", path("upstreams"));
    if (positionals.size() == 1 && positionals[0] == "orders")
        return client.sendAndPrint("GET", path("orders"));
    if (positionals.size() == 2 && positionals[0] == "drain")
        return client.sendAndPrint("POST", path("upstreams/" + positionals[1] + "/drain"), "{}");
    if (positionals.size() == 2 && positionals[0] == "undrain")
        return client.sendAndPrint("POST", path("upstreams/" + positionals[1] + "/drain?end=1"),
                                   "{}");
    if ((positionals.size() == 3 || positionals.size() == 4) && positionals[0] == "order") {
        const nlohmann::json body{{"action", positionals[2]},
                                  {"argument", positionals.size() == 4 ? positionals[3] : ""}};
        return client.sendAndPrint("POST", path("upstreams/" + positionals[1] + "/orders"),
                                   jsonText(body));
    }
    return usageError(usage);
}

auto runProgram(const Arguments &arguments) -> int
{
    const std::string usage =
        "program show CUSTOMER ID | settle CUSTOMER ID CALL (ran|not-run) [ANSWER]";
    OptionParser parser(usage, "Shows a program with its history; settles a call whose outcome is "
                               "unknown.");
    const auto command = parseCommand(parser, arguments);
    if (!command)
        return parser.status();
    const auto &positionals = command->positionals;
    const OperatorClient client(command->values);
    if (positionals.size() == 3 && positionals[0] == "show")
        return client.sendAndPrint("GET",
                                   path("programs/" + positionals[1] + "/" + positionals[2]));
    const auto settles = positionals.size() >= 5 && positionals[0] == "settle"
                         && (positionals[4] == "ran" || positionals[4] == "not-run");
    if (settles) {
        const nlohmann::json body{{"customer", positionals[1]},
                                  {"program", positionals[2]},
                                  {"call", positionals[3]},
                                  {"ran", positionals[4] == "ran"},
                                  {"answer", positionals.size() > 5 ? positionals[5] : ""}};
        return client.sendAndPrint("POST", path("settlements"), jsonText(body));
    }
    return usageError(usage);
}

auto runInstances(const Arguments &arguments) -> int
{
    const std::string usage = "instances";
    OptionParser parser(usage, "Lists the fleet's instances and the revision in effect at each.");
    const auto command = parseCommand(parser, arguments);
    if (!command)
        return parser.status();
    return OperatorClient(command->values).sendAndPrint("GET", path("instances"));
}

auto runReplica(const Arguments &arguments) -> int
{
    const std::string usage = "replica show GROUP | replace OLD NEW";
    OptionParser parser(usage, "Shows a consensus group; replaces a lost replica by a new one, "
                               "whose name its instance logs at start.");
    const auto command = parseCommand(parser, arguments);
    if (!command)
        return parser.status();
    const auto &positionals = command->positionals;
    const OperatorClient client(command->values);
    if (positionals.size() == 2 && positionals[0] == "show")
        return client.sendAndPrint("GET", path("groups/" + positionals[1]));
    if (positionals.size() == 3 && positionals[0] == "replace")
        return client.sendAndPrint(
            "POST", path("replacements"),
            jsonText(nlohmann::json{{"old", positionals[1]}, {"new", positionals[2]}}));
    return usageError(usage);
}

} // namespace heathergate::app
