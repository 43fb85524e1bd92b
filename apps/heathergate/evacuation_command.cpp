#include "options.h"

#include <heathergate/core/json_text.h>
#include <heathergate/platform/operator_calls.h>

#include <algorithm>
#include <chrono>
#include <curl/curl.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace heathergate::app {

namespace po = boost::program_options;

namespace {

/// Time for one call, after which it is sent again. Repeated calls change nothing.
constexpr std::chrono::milliseconds kCallTimeout{1000};
/// Pause before the first repetition; it doubles with each one.
constexpr std::chrono::milliseconds kFirstPause{100};
constexpr std::chrono::milliseconds kMaxPause{1000};
constexpr int kMaxCalls = 20;
/// Redirects that one call follows: to the leader, and once more if the leader has changed.
constexpr long kMaxRedirects = 2;
/// Characters of an answer that are kept.
constexpr std::size_t kMaxAnswerBytes = 4096;

/// Answer of an instance to a call; the status is 0 if there was none.
struct Answer
{
    long status = 0;
    std::string body;
    std::string problem;
};

auto collect(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    auto &body = *static_cast<std::string *>(target);
    body.append(data,
                std::min(size * count, kMaxAnswerBytes - std::min(body.size(), kMaxAnswerBytes)));
    return size * count;
}

auto post(const std::string &url) -> Answer
{
    Answer answer;
    auto *handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, "POST");
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, "");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXREDIRS, kMaxRedirects);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(kCallTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &collect);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
    const auto result = curl_easy_perform(handle);
    if (result == CURLE_OK)
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
    else
        answer.problem = curl_easy_strerror(result);
    curl_easy_cleanup(handle);
    return answer;
}

/// Returns whether no other answer follows if the call is sent again.
auto isFinal(const Answer &answer) -> bool
{
    constexpr int kFirstSuccess = 200;
    constexpr int kFirstRedirect = 300;
    constexpr int kNotFound = 404;
    constexpr int kBadRequest = 400;
    return (answer.status >= kFirstSuccess && answer.status < kFirstRedirect)
           || answer.status == kNotFound || answer.status == kBadRequest;
}

auto detailOf(const Answer &answer) -> std::string
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    if (json.is_object() && json.contains("detail") && json.at("detail").is_string())
        return json.at("detail").get<std::string>();
    return answer.problem;
}

} // namespace

auto runEvacuation(const Arguments &arguments) -> int
{
    OptionParser parser(
        "evacuation start|end DOMAIN --control HOST:PORT",
        "Evacuates a failure domain of a fleet whose leader places requests, so "
        "that its upstreams receive no requests, or ends that. The call is repeated "
        "until an instance acknowledges it.");
    parser.add()("action", po::value<std::string>()->required(),
                 "start or end")("domain", po::value<std::string>()->required(), "Failure domain")(
        "control", po::value<std::string>()->required(),
        "Control address of an instance")("json", "Prints the outcome as JSON");
    parser.positional("action", 1);
    parser.positional("domain", 1);
    const auto values = parser.parse(arguments);
    if (!values)
        return parser.status();
    const auto action = (*values)["action"].as<std::string>();
    if (action != "start" && action != "end")
        return report("the action must be start or end, not " + action);
    const FailureDomainId domain((*values)["domain"].as<std::string>());
    const auto control = (*values)["control"].as<std::string>();
    if (!parseEndpoint(control))
        return report("--control must be IPv4-address:port");
    const auto url = "http://" + control + platform::evacuationTarget(domain, action == "start");
    Answer answer;
    int calls = 0;
    for (auto pause = kFirstPause; calls < kMaxCalls; pause = std::min(2 * pause, kMaxPause)) {
        answer = post(url);
        ++calls;
        if (isFinal(answer))
            break;
        std::this_thread::sleep_for(pause);
    }
    constexpr int kFirstError = 300;
    const auto isDone = isFinal(answer) && answer.status < kFirstError;
    const auto detail = detailOf(answer);
    if (values->count("json") > 0) {
        std::cout << jsonText(nlohmann::json{{"domain", domain.value},
                                             {"action", action},
                                             {"acknowledged", isDone},
                                             {"status", answer.status},
                                             {"calls", calls},
                                             {"detail", detail}})
                  << '\n';
        return isDone ? 0 : 1;
    }
    if (isDone) {
        std::cout << (action == "start" ? "The failure domain " + domain.value + " is evacuated.\n"
                                        : "The evacuation of " + domain.value + " has ended.\n");
        return 0;
    }
    return report("not acknowledged after " + std::to_string(calls) + " calls, last status "
                  + std::to_string(answer.status) + (detail.empty() ? "" : ": " + detail));
}

} // namespace heathergate::app
