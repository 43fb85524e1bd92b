#pragma once

#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/control_node.h>

/// Control instances on links that a test can cut, for the stories of `ControlNode`.
namespace heathergate::fleet::test {

using namespace std::chrono_literals;
using consensus::ReplicaId;

/// What a disk keeps when its instance ends.
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

/// Control instances on links that a test can cut, with a clock that it advances.
class Fleet
{
public:
    explicit Fleet(std::size_t founders = 3)
    {
        for (std::size_t i = 0; i < founders; ++i)
            m_founders.voters.emplace_back(nameOf(i));
        for (std::size_t i = 0; i < founders; ++i)
            start(nameOf(i), nameOf(i), m_founders);
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
        settings.controlAddress = instance + ":8000";
        settings.boot = ++m_boots;
        settings.seeds = {InstanceId(nameOf(0)), InstanceId(nameOf(1)), InstanceId(nameOf(2))};
        settings.compactAfter = 50;
        m_nodes[instance] = std::make_unique<ControlNode>(settings, m_disks[replica].state,
                                                          Random(m_boots * 7919), m_log, m_now);
        m_replicas[instance] = replica;
    }

    /// Ends an instance; its disk stays as it is.
    auto kill(const std::string &instance) -> void
    {
        m_nodes.erase(instance);
    }

    auto restart(const std::string &instance) -> void
    {
        start(instance, m_replicas.at(instance), m_founders);
    }

    /// Starts an instance again with an empty disk.
    auto restartWiped(const std::string &instance) -> void
    {
        kill(instance);
        start(instance, instance + "~" + std::to_string(++m_wipes), {});
    }

    auto cut(const std::string &instance) -> void
    {
        m_cut.insert(instance);
    }

    auto heal() -> void
    {
        m_cut.clear();
    }

    /// Lets an instance stand still while time goes on.
    auto freeze(const std::string &instance) -> void
    {
        m_frozen.insert(instance);
    }

    auto thaw(const std::string &instance) -> void
    {
        m_frozen.erase(instance);
    }

    auto run(Duration length) -> void
    {
        for (const auto end = m_now + length; m_now < end; m_now += 5ms)
            step();
    }

    [[nodiscard]] auto leader() -> std::string
    {
        for (const auto &[name, node] : m_nodes) {
            if (!m_frozen.contains(name) && node->isLeader(m_now))
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

    /// Returns what became of a call; nothing while it is open.
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
        return std::exchange(m_outside[instance], {});
    }
    auto nextToken() -> CallToken
    {
        return ++m_lastToken;
    }

private:
    auto step() -> void
    {
        std::vector<std::tuple<std::string, std::string, PeerFrame>> arriving;
        arriving.swap(m_travelling);
        for (auto &[from, to, frame] : arriving) {
            const auto isCut = m_cut.contains(from) != m_cut.contains(to);
            if (m_frozen.contains(to) || isCut)
                continue;
            if (const auto node = m_nodes.find(to); node != m_nodes.end())
                node->second->receive(m_now, InstanceId(from), std::move(frame));
            else if (auto *message = std::get_if<Message>(&frame))
                m_outside[to].push_back(std::move(*message));
        }
        for (auto &[name, node] : m_nodes) {
            if (m_frozen.contains(name))
                continue;
            node->tick(m_now);
            auto output = node->takeOutput(m_now);
            for (const auto &write : output.storage) {
                m_disks[m_replicas[name]].store(write);
                if (const auto *item = std::get_if<storage::GroupWrite>(&write))
                    node->synced(m_now, item->write.number);
            }
            for (auto &out : output.messages)
                m_travelling.emplace_back(name, out.to.value, std::move(out.frame));
            for (const auto &answer : output.answers)
                m_answers[answer.token] = answer;
        }
    }

    TimePoint m_now{1h};
    telemetry::EventLog m_log;
    consensus::Configuration m_founders;
    std::map<std::string, std::unique_ptr<ControlNode>> m_nodes;
    std::map<std::string, std::string> m_replicas;
    std::map<std::string, Disk> m_disks;
    std::vector<std::tuple<std::string, std::string, PeerFrame>> m_travelling;
    std::map<std::string, std::vector<Message>> m_outside;
    std::map<CallToken, CallAnswer> m_answers;
    std::set<std::string> m_cut;
    std::set<std::string> m_frozen;
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
