#pragma once

#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/control_node.h>

/// Simulated fleet of control instances for the tests of `ControlNode`.
namespace heathergate::fleet::test {

using namespace std::chrono_literals;
using consensus::ReplicaId;

/// Durable state of an instance, which survives its termination.
struct Disk
{
    consensus::RecoveredState state;

    auto store(const storage::StorageStep &step) -> void
    {
        if (const auto *write = std::get_if<storage::GroupWrite>(&step)) {
            if (write->write.hardState)
                state.hardState = *write->write.hardState;
            if (write->write.snapshot) {
                state.snapshot = write->write.snapshot;
                state.entries.clear();
            }
            for (const auto &entry : write->write.entries) {
                std::erase_if(state.entries,
                              [&](const auto &stored) { return stored.index >= entry.index; });
                state.entries.push_back(entry);
            }
            return;
        }
        const auto &compaction = std::get<storage::Compaction>(step);
        state.snapshot = compaction.snapshots.front().second;
        state.hardState = *compaction.records.front().hardState;
        state.entries = compaction.records.front().entries;
    }
};

/// Control instances that a test can terminate, suspend and isolate, with simulated links and a
/// simulated clock that `run` advances.
class Fleet
{
public:
    explicit Fleet(std::size_t initialVoters = 3)
        : m_faultTolerance(static_cast<int>(initialVoters) / 2)
    {
        for (std::size_t i = 0; i < initialVoters; ++i)
            m_genesis.voters.emplace_back(nameOf(i));
        for (std::size_t i = 0; i < initialVoters; ++i)
            start(nameOf(i), nameOf(i), m_genesis);
    }

    static auto nameOf(std::size_t number) -> std::string
    {
        return "10.0.0." + std::to_string(number + 1);
    }

    auto start(const std::string &instance, const std::string &replica,
               const consensus::Configuration &genesis) -> void
    {
        ControlSettings settings;
        settings.self = InstanceId(instance);
        settings.replica = ReplicaId(replica);
        settings.genesis = genesis;
        settings.name = "node-" + instance;
        if (const auto domain = m_domains.find(instance); domain != m_domains.end())
            settings.domain = FailureDomainId(domain->second);
        settings.controlAddress = instance + ":8000";
        settings.boot = ++m_boots;
        settings.seeds = {InstanceId(nameOf(0)), InstanceId(nameOf(1)), InstanceId(nameOf(2))};
        settings.compactAfter = 50;
        settings.faultTolerance = m_faultTolerance;
        m_nodes[instance] = std::make_unique<ControlNode>(settings, m_disks[replica].state,
                                                          Random(m_boots * 7919), m_log, m_now);
        m_replicas[instance] = replica;
    }

    /// Sets the failure domain of an instance that is started later.
    auto setDomain(const std::string &instance, const std::string &domain) -> void
    {
        m_domains[instance] = domain;
    }

    /// Terminates an instance; its disk keeps its state.
    auto kill(const std::string &instance) -> void
    {
        m_nodes.erase(instance);
        m_waitingWrites.erase(instance);
    }

    auto restart(const std::string &instance) -> void
    {
        start(instance, m_replicas.at(instance), m_genesis);
    }

    /// Starts an instance with an empty disk, which is no member of the group.
    auto startSpare(const std::string &instance) -> void
    {
        start(instance, instance + "~" + std::to_string(++m_wipes), {});
    }

    /// Stops an instance in an orderly way: it ends once it is replaced, or after `grace`.
    auto stop(const std::string &instance, Duration grace = 4s) -> void
    {
        node(instance).leave(m_now);
        const auto end = m_now + grace;
        const auto leads = [&] {
            return node(instance).replica().role() == consensus::Role::Leader;
        };
        while (m_now < end && (leads() || !node(instance).isReplaced()))
            run(5ms);
        kill(instance);
    }

    /// Restarts an instance with an empty disk and a new replica identifier.
    auto restartWiped(const std::string &instance) -> void
    {
        kill(instance);
        startSpare(instance);
    }

    /// Blocks all messages between isolated instances and the others.
    auto isolate(const std::string &instance) -> void
    {
        m_isolated.insert(instance);
    }

    auto heal() -> void
    {
        m_isolated.clear();
    }

    /// Simulates whether the history replica of an instance still copies turns of the others.
    auto setCopying(const std::string &instance, bool isCopying) -> void
    {
        if (isCopying)
            m_notCopied.insert(instance);
        else
            m_notCopied.erase(instance);
    }

    /// Makes the disk of an instance full, so that its writes wait, or gives it room again.
    auto setDiskFull(const std::string &instance, bool isFull) -> void
    {
        if (isFull)
            m_fullDisks.insert(instance);
        else
            m_fullDisks.erase(instance);
    }

    /// Suspends an instance while time advances; messages to it are lost.
    auto suspend(const std::string &instance) -> void
    {
        m_suspended.insert(instance);
    }

    auto resume(const std::string &instance) -> void
    {
        m_suspended.erase(instance);
    }

    /// Calls `handler` for each instance in each round, after the messages of the round are
    /// received and before its output is taken.
    auto onRound(std::function<void(const std::string &, ControlNode &)> handler) -> void
    {
        m_onRound = std::move(handler);
    }

    auto run(Duration length) -> void
    {
        for (const auto end = m_now + length; m_now < end; m_now += 5ms)
            step();
    }

    [[nodiscard]] auto leader() -> std::string
    {
        for (const auto &[name, node] : m_nodes) {
            if (!m_suspended.contains(name) && node->isLeader(m_now))
                return name;
        }
        return {};
    }

    [[nodiscard]] auto leaders() -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(),
                          [&](const auto &item) { return item.second->isLeader(m_now); }));
    }

    auto waitForLeader() -> std::string
    {
        for (int i = 0; i < 2000 && leader().empty(); ++i)
            run(5ms);
        return leader();
    }

    [[nodiscard]] auto node(const std::string &name) -> ControlNode &
    {
        return *m_nodes.at(name);
    }

    auto put(const std::string &name, std::uint64_t version, const std::string &document)
        -> CallToken
    {
        Configuration configuration;
        configuration.version = version;
        node(name).putConfiguration(m_now, ++m_lastToken, configuration, document);
        return m_lastToken;
    }

    /// Stores a configuration with these services and waits until it is in force.
    auto putServices(const std::string &name, std::uint64_t version,
                     const std::vector<std::string> &services) -> void
    {
        Configuration configuration;
        configuration.version = version;
        for (const auto &service : services)
            configuration.services.push_back({ServiceId(service), 10, std::nullopt});
        node(name).putConfiguration(m_now, ++m_lastToken, configuration, std::to_string(version));
        run(50ms);
    }

    /// Returns the answer to a call; nothing while the call is open.
    [[nodiscard]] auto answer(CallToken token) -> std::optional<CallAnswer>
    {
        const auto found = m_answers.find(token);
        return found == m_answers.end() ? std::nullopt : std::optional(found->second);
    }

    auto read(const std::string &name) -> CallAnswer
    {
        node(name).readConfiguration(m_now, ++m_lastToken);
        const auto token = m_lastToken;
        run(5ms);
        return m_answers.at(token);
    }

    auto heartbeat(const std::string &name, const UpstreamRecord &record) -> CallToken
    {
        node(name).upstreamHeartbeat(m_now, ++m_lastToken, {record, {}});
        return m_lastToken;
    }

    [[nodiscard]] auto now() const -> TimePoint
    {
        return m_now;
    }
    [[nodiscard]] auto sentTo(const std::string &instance) -> std::vector<Message>
    {
        return std::exchange(m_externalMessages[instance], {});
    }
    auto nextToken() -> CallToken
    {
        return ++m_lastToken;
    }

private:
    auto step() -> void
    {
        std::vector<std::tuple<std::string, std::string, PeerFrame>> arriving;
        arriving.swap(m_inTransit);
        for (auto &[from, to, frame] : arriving) {
            const auto isBlocked = m_isolated.contains(from) != m_isolated.contains(to);
            if (m_suspended.contains(to) || isBlocked)
                continue;
            if (const auto node = m_nodes.find(to); node != m_nodes.end())
                node->second->receive(m_now, InstanceId(from), std::move(frame));
            else if (auto *message = std::get_if<Message>(&frame))
                m_externalMessages[to].push_back(std::move(*message));
        }
        for (auto &[name, node] : m_nodes) {
            if (m_suspended.contains(name))
                continue;
            reportHistories(name, *node);
            node->tick(m_now);
            if (m_onRound)
                m_onRound(name, *node);
            auto output = node->takeOutput(m_now);
            auto &waiting = m_waitingWrites[name];
            std::move(output.storage.begin(), output.storage.end(), std::back_inserter(waiting));
            if (!m_fullDisks.contains(name))
                storeWaiting(name, *node);
            for (auto &out : output.messages)
                m_inTransit.emplace_back(name, out.to.value, std::move(out.frame));
            for (const auto &answer : output.answers)
                m_answers[answer.token] = answer;
        }
    }

    auto storeWaiting(const std::string &name, ControlNode &node) -> void
    {
        for (const auto &write : std::exchange(m_waitingWrites[name], {})) {
            m_disks[m_replicas[name]].store(write);
            if (const auto *item = std::get_if<storage::GroupWrite>(&write))
                node.synced(m_now, item->write.number);
        }
    }

    /// Simulates history replicas that have copied everything, except for the chosen ones.
    auto reportHistories(const std::string &instance, ControlNode &node) -> void
    {
        HistoryProgress progress;
        progress.version = node.historyReplicas().version;
        if (!m_notCopied.contains(instance)) {
            progress.isComplete = true;
            for (const auto &member : node.historyReplicas().members)
                progress.synced.push_back(member.id);
        }
        node.setHistoryProgress(std::move(progress));
    }

    int m_faultTolerance;
    TimePoint m_now{1h};
    telemetry::EventLog m_log;
    consensus::Configuration m_genesis;
    std::map<std::string, std::unique_ptr<ControlNode>> m_nodes;
    std::map<std::string, std::string> m_replicas;
    std::map<std::string, std::string> m_domains;
    std::map<std::string, Disk> m_disks;
    std::vector<std::tuple<std::string, std::string, PeerFrame>> m_inTransit;
    std::map<std::string, std::vector<Message>> m_externalMessages;
    std::map<CallToken, CallAnswer> m_answers;
    std::function<void(const std::string &, ControlNode &)> m_onRound;
    std::map<std::string, std::vector<storage::StorageStep>> m_waitingWrites;
    std::set<std::string> m_fullDisks;
    std::set<std::string> m_isolated;
    std::set<std::string> m_notCopied;
    std::set<std::string> m_suspended;
    CallToken m_lastToken = 0;
    std::uint64_t m_boots = 0;
    int m_wipes = 0;
};

inline auto upstream(const std::string &id, std::int64_t born, std::uint64_t sequence,
                     std::uint16_t port = 9000) -> UpstreamRecord
{
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = ServiceId("tools");
    record.address = {"127.0.0.1", port};
    record.domain = FailureDomainId("a");
    record.slots = 6;
    record.startedAt = std::chrono::milliseconds(born);
    record.sequence = sequence;
    return record;
}

} // namespace heathergate::fleet::test
