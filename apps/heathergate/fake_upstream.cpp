#include "fake_upstream.h"

#include "options.h"

#include <heathergate/daemon/settings.h>
#include <heathergate/telemetry/logging.h>

#include <csignal>
#include <iostream>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

std::atomic<bool> stopRequested = false;

auto readNames(const po::variables_map &values, const char *name) -> std::vector<std::string>
{
    return values.count(name) > 0 ? values[name].as<std::vector<std::string>>()
                                  : std::vector<std::string>();
}

auto addOptions(OptionParser &parser) -> void
{
    using Names = std::vector<std::string>;
    parser.add()("id", po::value<std::string>()->required(), "Identifier of the upstream")(
        "address", po::value<std::string>()->required(), "host:port to listen on")(
        "announce", po::value<Names>()->composing()->required(),
        "host:port of an instance to announce to; several are tried in turn")(
        "token", po::value<std::string>()->required(), "Token for announcements")(
        "failure-domain", po::value<std::string>()->default_value("default"), "Failure domain")(
        "model", po::value<Names>()->composing(), "Serves this model as an engine")(
        "service", po::value<Names>()->composing(), "Serves this service")(
        "slots", po::value<int>()->default_value(8), "Number of concurrent requests")(
        "token-time-us", po::value<int>()->default_value(5000),
        "Time per token without the increase for running requests, in microseconds")(
        "token-slope-us", po::value<int>()->default_value(200),
        "Increase of the token time per running request, in microseconds")(
        "prefill-us", po::value<int>()->default_value(20),
        "Time per uncached prompt token, in microseconds")("cache-tokens",
                                                           po::value<int>()->default_value(100'000),
                                                           "Size of the prompt cache, in tokens")(
        "answer-tokens", po::value<int>()->default_value(64),
        "Range of answer lengths: 4 to this number plus 3, in tokens; a request may allow fewer")(
        "service-ms", po::value<int>()->default_value(5),
        "Duration of a service call, in milliseconds")(
        "die-on", po::value<std::string>()->default_value(""),
        "Crashes on a request that contains this text")(
        "cut-on", po::value<std::string>()->default_value(""),
        "Closes the connection during the answer to a request that contains this text")(
        "silent-on", po::value<std::string>()->default_value(""),
        "Never answers a request that contains this text")(
        "late-on", po::value<std::string>()->default_value(""),
        "Delays the answer to a request that contains this text")(
        "late-ms", po::value<int>()->default_value(2000), "Delay of --late-on, in milliseconds")(
        "checks-fencing", "Refuses orders with an outdated fencing number")(
        "forget-releases", "Ignores the first order to release each program");
}

auto settingsFrom(const po::variables_map &values) -> FakeUpstreamSettings
{
    FakeUpstreamSettings settings;
    settings.id = values["id"].as<std::string>();
    settings.address = values["address"].as<std::string>();
    settings.announceTo = readNames(values, "announce");
    settings.token = values["token"].as<std::string>();
    settings.domain = values["failure-domain"].as<std::string>();
    settings.models = readNames(values, "model");
    settings.services = readNames(values, "service");
    settings.engine.slots = values["slots"].as<int>();
    settings.engine.tokenTime = Duration(values["token-time-us"].as<int>());
    settings.engine.tokenSlope = Duration(values["token-slope-us"].as<int>());
    settings.engine.prefillTime = Duration(values["prefill-us"].as<int>());
    settings.engine.cacheTokens = values["cache-tokens"].as<int>();
    settings.engine.maxAnswerTokens = values["answer-tokens"].as<int>();
    settings.serviceTime = std::chrono::milliseconds(values["service-ms"].as<int>());
    settings.crashOn = values["die-on"].as<std::string>();
    settings.disconnectOn = values["cut-on"].as<std::string>();
    settings.hangOn = values["silent-on"].as<std::string>();
    settings.delayOn = values["late-on"].as<std::string>();
    settings.answerDelay = std::chrono::milliseconds(values["late-ms"].as<int>());
    settings.checksFencing = values.count("checks-fencing") > 0;
    settings.dropsFirstRelease = values.count("forget-releases") > 0;
    return settings;
}

} // namespace

auto runFakeUpstream(const Arguments &arguments) -> int
{
    OptionParser parser("fake-upstream --id NAME --address HOST:PORT --announce HOST:PORT "
                        "--token TOKEN [--model NAME | --service NAME]",
                        "Runs a simulated model engine or plain service with optional faults.");
    addOptions(parser);
    const auto values = parser.parse(arguments);
    if (!values)
        return parser.status();
    const auto settings = settingsFrom(*values);
    if (settings.models.empty() == settings.services.empty())
        return report("exactly one of --model and --service is required");
    if (const auto endpoint = parseEndpoint(settings.address); !endpoint)
        return report("--address: " + endpoint.error().detail);
    telemetry::startLogging(telemetry::LogLevel::Info, settings.id);
    struct sigaction action
    {
    };
    action.sa_handler = [](int) { stopRequested = true; };
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    FakeUpstream upstream(settings);
    if (const auto started = upstream.start(); !started)
        return report(started.error().detail);
    upstream.run(stopRequested);
    return 0;
}

} // namespace heathergate::app
