#include "operator_client.h"

#include <heathergate/daemon/settings.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

constexpr std::size_t kKeyBytes = 24;
constexpr std::string_view kBase = "/operator/v1/";

/// An operator command: its parsed arguments and the client to carry it out.
struct OperatorCall
{
    po::variables_map values;
    std::vector<std::string> words;
};

auto parseCall(OptionParser &parser, const Arguments &arguments) -> std::optional<OperatorCall>
{
    OperatorClient::addOptions(parser);
    parser.add()("word", po::value<std::vector<std::string>>(), "Action and its arguments");
    parser.positional("word", -1);
    auto values = parser.parse(arguments);
    if (!values)
        return std::nullopt;
    OperatorCall call{std::move(*values), {}};
    if (call.values.count("word") > 0)
        call.words = call.values["word"].as<std::vector<std::string>>();
    return call;
}

auto usageError(const std::string &usage) -> int
{
    std::cerr << "heathergate: use: " << usage << '\n';
    return 2;
}

auto path(const std::string &rest) -> std::string
{
    return std::string(kBase) + rest;
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

auto setRow(const OperatorCall &call) -> int
{
    nlohmann::json body{{"revision", call.values["revision"].as<std::uint64_t>()}};
    for (const auto *column : {"rate", "burst", "weight"}) {
        if (call.values.count(column) > 0)
            body[column] = call.values[column].as<double>();
    }
    for (const auto *column : {"budget", "priority"}) {
        if (call.values.count(column) > 0)
            body[column] = call.values[column].as<std::int64_t>();
    }
    return OperatorClient(call.values)
        .sendAndPrint("PUT", path("table/" + call.words[1] + "?wait=1"), body.dump());
}

auto newKey(const OperatorCall &call) -> int
{
    const auto secret = call.values["hash-secret"].as<std::string>();
    if (secret.size() < 16)
        return report("--hash-secret must be the hash_secret of the settings");
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
        "Number the row was read under; 0 for a new row")("rate", po::value<double>(),
                                                          "Requests a second")(
        "burst", po::value<double>(), "Requests at once")("budget", po::value<std::int64_t>(),
                                                          "Tokens a program may use")(
        "priority", po::value<std::int64_t>(), "Class, 0 goes first")("weight", po::value<double>(),
                                                                      "Share inside the class");
    const auto call = parseCall(parser, arguments);
    if (!call)
        return parser.status();
    const auto &words = call->words;
    const OperatorClient client(call->values);
    if (words.size() == 1 && words[0] == "get")
        return client.sendAndPrint("GET", path("table"), {},
                                   call->values.count("csv") > 0 ? "text/csv" : "");
    if (words.size() == 2 && words[0] == "set")
        return setRow(*call);
    if (words.size() == 2 && words[0] == "remove") {
        const nlohmann::json body{{"revision", call->values["revision"].as<std::uint64_t>()}};
        return client.sendAndPrint("DELETE", path("table/" + words[1] + "?wait=1"), body.dump());
    }
    if (words.size() == 2 && words[0] == "import") {
        const auto text = readAll(words[1]);
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
    OptionParser parser(usage, "Makes the first operator's key; gives, lists and withdraws keys.");
    parser.add()("hash-secret", po::value<std::string>()->default_value(""),
                 "The hash_secret of the settings")("customer", po::value<std::string>(),
                                                    "Customer of the new key")(
        "operator", po::value<std::string>(), "Operator of the new key");
    const auto call = parseCall(parser, arguments);
    if (!call)
        return parser.status();
    const auto &words = call->words;
    const OperatorClient client(call->values);
    if (words.size() == 1 && words[0] == "new")
        return newKey(*call);
    if (words.size() == 1 && words[0] == "list")
        return client.sendAndPrint("GET", path("keys"));
    if (words.size() == 2 && words[0] == "withdraw")
        return client.sendAndPrint("DELETE", path("keys/" + words[1]));
    for (const auto *owner : {"customer", "operator"}) {
        if (words.size() == 1 && words[0] == "give" && call->values.count(owner) > 0)
            return client.sendAndPrint(
                "POST", path("keys"),
                nlohmann::json{{owner, call->values[owner].as<std::string>()}}.dump());
    }
    return usageError(usage);
}

auto runUpstream(const Arguments &arguments) -> int
{
    const std::string usage =
        "upstream list | drain ID | undrain ID | order ID ACTION [ARGUMENT] | orders";
    OptionParser parser(usage, "Lists and drains upstreams, gives them orders.");
    const auto call = parseCall(parser, arguments);
    if (!call)
        return parser.status();
    const auto &words = call->words;
    const OperatorClient client(call->values);
    if (words.size() == 1 && words[0] == "list")
        return client.sendAndPrint("GET", path("upstreams"));
    if (words.size() == 1 && words[0] == "orders")
        return client.sendAndPrint("GET", path("orders"));
    if (words.size() == 2 && words[0] == "drain")
        return client.sendAndPrint("POST", path("upstreams/" + words[1] + "/drain"), "{}");
    if (words.size() == 2 && words[0] == "undrain")
        return client.sendAndPrint("POST", path("upstreams/" + words[1] + "/drain?end=1"), "{}");
    if ((words.size() == 3 || words.size() == 4) && words[0] == "order") {
        const nlohmann::json body{{"action", words[2]},
                                  {"argument", words.size() == 4 ? words[3] : ""}};
        return client.sendAndPrint("POST", path("upstreams/" + words[1] + "/orders"), body.dump());
    }
    return usageError(usage);
}

auto runProgram(const Arguments &arguments) -> int
{
    const std::string usage =
        "program show CUSTOMER ID | settle CUSTOMER ID CALL (ran|not-run) [ANSWER]";
    OptionParser parser(usage, "Shows a program with its history; settles a call whose outcome is "
                               "unknown.");
    const auto call = parseCall(parser, arguments);
    if (!call)
        return parser.status();
    const auto &words = call->words;
    const OperatorClient client(call->values);
    if (words.size() == 3 && words[0] == "show")
        return client.sendAndPrint("GET", path("programs/" + words[1] + "/" + words[2]));
    const auto settles =
        words.size() >= 5 && words[0] == "settle" && (words[4] == "ran" || words[4] == "not-run");
    if (settles) {
        const nlohmann::json body{{"customer", words[1]},
                                  {"program", words[2]},
                                  {"call", words[3]},
                                  {"ran", words[4] == "ran"},
                                  {"answer", words.size() > 5 ? words[5] : ""}};
        return client.sendAndPrint("POST", path("settlements"), body.dump());
    }
    return usageError(usage);
}

auto runInstances(const Arguments &arguments) -> int
{
    const std::string usage = "instances";
    OptionParser parser(usage, "Lists the fleet's instances with the revision each has in force.");
    const auto call = parseCall(parser, arguments);
    if (!call)
        return parser.status();
    return OperatorClient(call->values).sendAndPrint("GET", path("instances"));
}

auto runReplica(const Arguments &arguments) -> int
{
    const std::string usage = "replica show GROUP | replace OLD NEW";
    OptionParser parser(usage, "Shows a consensus group; replaces a lost replica by a new one, "
                               "whose name its instance logs at start.");
    const auto call = parseCall(parser, arguments);
    if (!call)
        return parser.status();
    const auto &words = call->words;
    const OperatorClient client(call->values);
    if (words.size() == 2 && words[0] == "show")
        return client.sendAndPrint("GET", path("groups/" + words[1]));
    if (words.size() == 3 && words[0] == "replace")
        return client.sendAndPrint("POST", path("replacements"),
                                   nlohmann::json{{"old", words[1]}, {"new", words[2]}}.dump());
    return usageError(usage);
}

} // namespace heathergate::app
