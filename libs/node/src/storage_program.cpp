#include <heathergate/node/storage_program.h>

#include <heathergate/fleet/fleet.h>
#include <heathergate/node/process.h>

#include <iostream>

namespace heathergate::node {

auto runStorage(const NodeSettings &settings, const std::string &file) -> int
{
    Process process(settings, file);
    telemetry::Metrics metrics;
    auto &loop = process.loop();
    fleet::StorageAgent agent(process.self(), settings.name, settings.domain, randomNumber() | 1U,
                              process.seeds(), process.log(), loop.now());
    Process::Hooks hooks;
    hooks.onFrame = [&](const InstanceId &from, const std::string &body) {
        auto frame = fleet::decodeFrame(body);
        if (frame)
            agent.receive(loop.now(), from, std::move(*frame));
        else
            process.log().add(loop.now(), telemetry::LogImportance::Important, "peers",
                              "frame_unreadable", {{"from", from.value}});
    };
    hooks.onPeerLost = [&](const InstanceId &peer) { agent.peerLost(loop.now(), peer); };
    hooks.onStop = [&] { process.stop(0); };
    hooks.onReload = [&](const NodeSettings &) { agent.addControls(process.seeds()); };
    hooks.onRound = [&](TimePoint now) {
        if (auto out = agent.tick(now))
            process.send(out->to, fleet::encodeFrame(std::move(out->frame)));
        return agent.nextDeadline();
    };
    hooks.metrics = [&]() -> telemetry::Metrics & { return metrics; };
    if (const auto opened = process.open(std::move(hooks)); !opened) {
        std::cerr << "heathergate: " << opened.error().detail << '\n';
        return 1;
    }
    return process.run();
}

} // namespace heathergate::node
