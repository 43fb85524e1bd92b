#pragma once

#include "large_configuration.h"

#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/control_node.h>
#include <heathergate/fleet/gateway.h>

/// A fleet of control instances and gateways in virtual time, whose links have a rate and a delay
/// and whose disks need time to sync, for tests of what large configurations cost.
namespace heathergate::fleet::test {

using namespace std::chrono_literals;

/// Rate of a machine's own link.
struct LinkRate
{
    double bytesPerMicrosecond = 0;

    static constexpr auto megabits(double count) -> LinkRate
    {
        return {count / 8};
    }
};

constexpr auto kControlLink = LinkRate::megabits(600);
constexpr auto kGatewayLink = LinkRate::megabits(21);
constexpr Duration kLinkDelay = 900us;
constexpr Duration kSyncTime = 5ms;
constexpr Duration kStep = 1ms;

class RatedFleet
{
public:
    RatedFleet(std::size_t controls, std::size_t gateways)
    {
        for (std::size_t i = 0; i < 3; ++i)
            m_genesis.voters.emplace_back(controlName(i));
        for (std::size_t i = 0; i < controls; ++i) {
            m_disks[controlName(i)];
            startControl(i);
        }
        for (std::size_t i = 0; i < gateways; ++i)
            startGateway(i);
    }

    static auto controlName(std::size_t number) -> std::string
    {
        return "10.0.0." + std::to_string(number + 1);
    }
    static auto gatewayName(std::size_t number) -> std::string
    {
        return "10.1.0." + std::to_string(number + 1);
    }

    /// Kills all processes, loses what is on its way, and starts them again.
    auto restartAll() -> void
    {
        const auto controls = m_controls.size();
        const auto gateways = m_gateways.size();
        m_controls.clear();
        m_gateways.clear();
        m_inTransit.clear();
        m_links.clear();
        m_syncs.clear();
        for (std::size_t i = 0; i < controls; ++i)
            startControl(i);
        for (std::size_t i = 0; i < gateways; ++i)
            startGateway(i);
    }

    auto run(Duration length) -> void
    {
        for (const auto end = m_now + length; m_now < end; m_now += kStep)
            step();
    }

    /// Runs until `condition` holds; returns the time that passed, or nothing after `limit`.
    template <typename Condition>
    auto runUntil(Duration limit, const Condition &condition) -> std::optional<Duration>
    {
        const auto start = m_now;
        while (!condition()) {
            if (m_now - start >= limit)
                return std::nullopt;
            run(kStep);
        }
        return m_now - start;
    }

    [[nodiscard]] auto leader() -> ControlNode *
    {
        for (auto &[name, node] : m_controls) {
            if (node->isLeader(m_now))
                return node.get();
        }
        return nullptr;
    }

    /// Sends a configuration to the leader, as operators do.
    auto put(const Configuration &configuration) -> CallToken
    {
        BOOST_TEST_REQUIRE(leader() != nullptr);
        leader()->putConfiguration(m_now, ++m_lastToken, configuration, documentOf(configuration));
        return m_lastToken;
    }

    [[nodiscard]] auto answer(CallToken token) const -> std::optional<CallAnswer>
    {
        const auto found = m_answers.find(token);
        return found == m_answers.end() ? std::nullopt : std::optional(found->second);
    }

    auto registerUpstream() -> void
    {
        UpstreamReport report;
        report.record.id = UpstreamId("i-1");
        report.record.service = ServiceId("tools");
        report.record.address = {"127.0.0.1", 9000};
        report.record.slots = 500;
        report.record.sequence = 1;
        leader()->upstreamHeartbeat(m_now, ++m_lastToken, report);
    }

    /// Sends a caller's request to a gateway. `placementTimes` then tells how long each
    /// placement took.
    auto request(std::size_t gateway, const std::string &path) -> void
    {
        CallerRequest item;
        item.token = ++m_lastToken;
        item.name = std::to_string(item.token);
        item.host = "ficu95.example";
        item.path = path;
        m_requestedAt[item.token] = m_now;
        m_gateways.at(gatewayName(gateway))->request(m_now, item);
    }

    /// Returns the lowest version that a gateway has in force.
    [[nodiscard]] auto oldestVersion() const -> std::uint64_t
    {
        auto oldest = std::numeric_limits<std::uint64_t>::max();
        for (const auto &[name, gateway] : m_gateways)
            oldest = std::min(oldest, gateway->configuration().version());
        return oldest;
    }

    [[nodiscard]] auto now() const -> TimePoint
    {
        return m_now;
    }
    /// Returns the largest number of bytes that waited for the link of one control instance.
    [[nodiscard]] auto peakBacklog() const -> std::size_t
    {
        return m_peakBacklog;
    }
    /// Returns the bytes that control instances have sent to gateways.
    [[nodiscard]] auto bytesToGateways() const -> std::size_t
    {
        return m_bytesToGateways;
    }
    [[nodiscard]] auto placementTimes() const -> const std::vector<Duration> &
    {
        return m_placementTimes;
    }
    [[nodiscard]] auto refusals() const -> std::size_t
    {
        return m_refusals;
    }
    /// Returns the largest number of bytes that the log of one control instance holds in memory.
    [[nodiscard]] auto largestLog() const -> std::size_t
    {
        std::size_t largest = 0;
        for (const auto &[name, node] : m_controls)
            largest = std::max(largest, node->replica().logBytes());
        return largest;
    }

private:
    struct Link
    {
        TimePoint sendFreeAt{};
        TimePoint receiveFreeAt{};
        /// Sizes of the frames that are not sent completely, with the time at which they are.
        std::deque<std::pair<TimePoint, std::size_t>> unsent;
        std::size_t backlog = 0;
    };

    struct Delivery
    {
        std::string from;
        std::string to;
        PeerFrame frame;
    };

    auto startControl(std::size_t number) -> void
    {
        const auto name = controlName(number);
        ControlSettings settings;
        settings.self = InstanceId(name);
        settings.replica = consensus::ReplicaId(name);
        if (m_genesis.isVoter(settings.replica))
            settings.genesis = m_genesis;
        settings.name = name;
        settings.controlAddress = name + ":8000";
        settings.boot = ++m_boots;
        settings.seeds = {InstanceId(controlName(0)), InstanceId(controlName(1)),
                          InstanceId(controlName(2))};
        settings.faultTolerance = 2;
        settings.consensus.heartbeatInterval = 80ms;
        settings.consensus.electionTimeout = 330ms;
        settings.consensus.retainedEntries = 500;
        settings.consensus.processStart = m_now;
        m_controls[name] = std::make_unique<ControlNode>(settings, m_disks[name],
                                                         Random(m_boots * 7919), m_log, m_now);
    }

    auto startGateway(std::size_t number) -> void
    {
        const auto name = gatewayName(number);
        GatewaySettings settings;
        settings.self = InstanceId(name);
        settings.name = name;
        settings.callerAddress = name + ":80";
        settings.boot = ++m_boots;
        settings.seeds = {InstanceId(controlName(0)), InstanceId(controlName(1)),
                          InstanceId(controlName(2))};
        m_gateways[name] =
            std::make_unique<Gateway>(settings, Random(m_boots * 7919), m_log, m_now);
    }

    static auto rateOf(const std::string &instance) -> LinkRate
    {
        return instance.starts_with("10.0.") ? kControlLink : kGatewayLink;
    }

    auto send(const std::string &from, PeerOut out) -> void
    {
        const auto &to = out.to.value;
        const auto size = encodeFrame(out.frame).size();
        const auto transfer = [&](const std::string &instance) {
            return Duration(static_cast<std::int64_t>(static_cast<double>(size)
                                                      / rateOf(instance).bytesPerMicrosecond));
        };
        auto &sender = m_links[from];
        sender.sendFreeAt = std::max(sender.sendFreeAt, m_now) + transfer(from);
        sender.unsent.emplace_back(sender.sendFreeAt, size);
        sender.backlog += size;
        auto &receiver = m_links[to];
        receiver.receiveFreeAt =
            std::max(receiver.receiveFreeAt, sender.sendFreeAt + kLinkDelay - transfer(to))
            + transfer(to);
        if (m_controls.contains(from)) {
            m_peakBacklog = std::max(m_peakBacklog, sender.backlog);
            if (m_gateways.contains(to))
                m_bytesToGateways += size;
        }
        m_inTransit.emplace(receiver.receiveFreeAt, Delivery{from, to, std::move(out.frame)});
    }

    auto step() -> void
    {
        for (auto &[name, link] : m_links) {
            while (!link.unsent.empty() && link.unsent.front().first <= m_now) {
                link.backlog -= link.unsent.front().second;
                link.unsent.pop_front();
            }
        }
        while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
            auto delivery = std::move(m_inTransit.begin()->second);
            m_inTransit.erase(m_inTransit.begin());
            if (const auto control = m_controls.find(delivery.to); control != m_controls.end())
                control->second->receive(m_now, InstanceId(delivery.from),
                                         std::move(delivery.frame));
            if (const auto gateway = m_gateways.find(delivery.to); gateway != m_gateways.end())
                gateway->second->receive(m_now, InstanceId(delivery.from),
                                         std::move(delivery.frame));
        }
        for (auto &[name, node] : m_controls)
            stepControl(name, *node);
        for (auto &[name, gateway] : m_gateways)
            stepGateway(name, *gateway);
    }

    auto stepControl(const std::string &name, ControlNode &node) -> void
    {
        auto &syncs = m_syncs[name];
        while (!syncs.empty() && syncs.front().first <= m_now) {
            node.synced(m_now, syncs.front().second);
            syncs.pop_front();
        }
        reportHistories(node);
        node.tick(m_now);
        auto output = node.takeOutput(m_now);
        for (const auto &item : output.storage) {
            store(m_disks[name], item);
            if (const auto *write = std::get_if<storage::GroupWrite>(&item))
                syncs.emplace_back(m_now + kSyncTime, write->write.number);
        }
        for (auto &out : output.messages)
            send(name, std::move(out));
        for (const auto &answer : output.answers)
            m_answers[answer.token] = answer;
    }

    auto stepGateway(const std::string &name, Gateway &gateway) -> void
    {
        if (gateway.nextDeadline() <= m_now)
            gateway.tick(m_now);
        for (auto &effect : gateway.takeEffects()) {
            if (auto *out = std::get_if<PeerOut>(&effect))
                send(name, std::move(*out));
            if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                m_placementTimes.push_back(m_now - m_requestedAt.at(start->token));
                gateway.attemptHead(m_now, start->attempt, {200, false, true});
                gateway.attemptEnd(m_now, start->attempt, {true, true, true});
            }
            if (std::holds_alternative<RefuseCaller>(effect))
                ++m_refusals;
        }
    }

    static auto store(consensus::RecoveredState &disk, const storage::StorageStep &item) -> void
    {
        if (const auto *compaction = std::get_if<storage::Compaction>(&item)) {
            disk.snapshot = compaction->snapshots.front().second;
            disk.hardState = *compaction->records.front().hardState;
            disk.entries = compaction->records.front().entries;
            return;
        }
        const auto &write = std::get<storage::GroupWrite>(item).write;
        if (write.hardState)
            disk.hardState = *write.hardState;
        if (write.snapshot) {
            disk.snapshot = write.snapshot;
            disk.entries.clear();
        }
        for (const auto &entry : write.entries) {
            while (!disk.entries.empty() && disk.entries.back().index >= entry.index)
                disk.entries.pop_back();
            disk.entries.push_back(entry);
        }
    }

    /// Simulates history replicas that have copied everything.
    static auto reportHistories(ControlNode &node) -> void
    {
        HistoryProgress progress;
        progress.version = node.historyReplicas().version;
        progress.isComplete = true;
        for (const auto &member : node.historyReplicas().members)
            progress.synced.push_back(member.id);
        node.setHistoryProgress(std::move(progress));
    }

    TimePoint m_now{1h};
    telemetry::EventLog m_log;
    consensus::Configuration m_genesis;
    std::map<std::string, std::unique_ptr<ControlNode>> m_controls;
    std::map<std::string, std::unique_ptr<Gateway>> m_gateways;
    std::map<std::string, consensus::RecoveredState> m_disks;
    std::map<std::string, std::deque<std::pair<TimePoint, std::uint64_t>>> m_syncs;
    std::map<std::string, Link> m_links;
    std::multimap<TimePoint, Delivery> m_inTransit;
    std::map<CallToken, CallAnswer> m_answers;
    std::map<CallerToken, TimePoint> m_requestedAt;
    std::vector<Duration> m_placementTimes;
    std::size_t m_refusals = 0;
    std::size_t m_peakBacklog = 0;
    std::size_t m_bytesToGateways = 0;
    std::uint64_t m_lastToken = 0;
    std::uint64_t m_boots = 0;
};

} // namespace heathergate::fleet::test
