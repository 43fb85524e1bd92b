/// Sample 2: a complete instance embedded in another program, without threads, sockets or files.
/// The loop simulates the clock, and the disk by confirming every write immediately.

#include <heathergate/daemon/daemon.h>

#include <iostream>

using namespace heathergate;
using namespace std::chrono_literals;

namespace {

/// Confirms the writes of the instance. Returns the response to request `token`, if there is one.
auto settle(daemon::Instance &instance, TimePoint now, http::Token token)
    -> std::optional<http::Response>
{
    std::optional<http::Response> answer;
    for (bool busy = true; busy;) {
        auto output = instance.takeOutput(now);
        busy = !output.storage.empty() || !output.effects.empty();
        for (const auto &step : output.storage) {
            if (const auto *write = std::get_if<daemon::GroupWrite>(&step))
                instance.synced(now, write->group, write->write.number);
        }
        for (const auto &effect : output.effects) {
            const auto *respond = std::get_if<daemon::Respond>(&effect);
            if (respond != nullptr && respond->token == token)
                answer = respond->response;
        }
    }
    return answer;
}

} // namespace

auto main() -> int
{
    daemon::Settings settings;
    settings.id = InstanceId("embedded");
    settings.domain = FailureDomainId("here");
    settings.caller = {"127.0.0.1", 8001};
    settings.hashSecret = "a-secret-of-your-own";
    settings.operatorKeyHash = toHex(hmacSha256(settings.hashSecret, "operator"));
    settings.shards = 1;

    daemon::HostSettings host;
    host.self = settings.id;
    host.replica = consensus::ReplicaId("embedded");
    host.genesis.voters = {host.replica};
    auto now = TimePoint(1h);
    daemon::Instance instance(
        settings, 1,
        std::make_unique<daemon::ReplicaHost>(host, std::map<GroupId, consensus::RecoveredState>{},
                                              Random(1), now),
        Random(2));
    while (!instance.entry().isReady(now)) {
        now += 10ms;
        instance.tick(now);
        settle(instance, now, 0);
    }

    http::Request edit;
    edit.method = "PUT";
    edit.path = "/operator/v1/table/pines";
    edit.headers["authorization"] = "Bearer operator";
    edit.body = R"({"revision": 0, "rate": 10, "burst": 20})";
    instance.httpRequest(now, 1, edit);
    const auto answer = settle(instance, now, 1);
    if (!answer)
        return 1;
    std::cout << answer->status << ' ' << answer->body << '\n';
    return answer->status == 200 ? 0 : 1;
}
