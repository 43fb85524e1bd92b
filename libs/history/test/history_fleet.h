#pragma once

#include <boost/test/unit_test.hpp>

#include <heathergate/history/history.h>
#include <heathergate/testing/fake_files.h>

/// Simulated replicas and a client of the history store, for its tests.
namespace heathergate::history::test {

using namespace std::chrono_literals;

inline auto key(const std::string &turn, const std::string &customer = "c") -> TurnKey
{
    return {CustomerId(customer), TurnId(turn)};
}

/// Replicas that a test can kill, suspend and wipe, and one client, with simulated links and disks
/// and a clock that `run` advances.
class HistoryFleet
{
public:
    explicit HistoryFleet(std::size_t members = 3, std::size_t copies = 2)
        : m_client(FailureDomainId("a"), 0)
    {
        m_set.copies = copies;
        for (std::size_t i = 0; i < members; ++i)
            addMember(nameOf(i), nameOf(i));
        announce();
        for (std::size_t i = 0; i < members; ++i)
            start(nameOf(i), nameOf(i), true);
    }

    static auto nameOf(std::size_t number) -> std::string
    {
        return "10.0.0." + std::to_string(number + 1);
    }

    /// Starts a replica on an instance with the disk of that replica.
    auto start(const std::string &instance, const std::string &replica, bool isFounder) -> void
    {
        auto &host = m_hosts[instance];
        host.replicaId = replica;
        auto &files = m_disks[replica];
        RecoveredTurns recovered;
        bool isDamaged = false;
        auto turnLog = TurnLog<testing::FakeFiles>::open(
            files, [&](const Location &location, std::string_view payload) {
                const auto turn = decodeTurn(payload);
                recovered.turns.push_back({fromTable(turn->key), TurnId(turn->previous), location,
                                           contentDigest(*turn), WallTime(Duration(turn->storedAt)),
                                           Duration(turn->retention)});
            });
        const auto stored = log::readSnapshot(files, "complete");
        isDamaged = turnLog->wasDamaged();
        recovered.isComplete = (*stored ? **stored == "yes" : isFounder) && !isDamaged;
        recovered.currentSegment = turnLog->currentSegment();
        host.turnLog = std::make_unique<TurnLog<testing::FakeFiles>>(std::move(*turnLog));
        ReplicaSettings settings{ReplicaId(replica), InstanceId(instance), ++m_boots, {}};
        host.replica =
            std::make_unique<HistoryReplica>(settings, recovered, m_log, m_metrics, m_now);
        host.replica->setReplicas(m_now, m_set);
    }

    auto kill(const std::string &instance) -> void
    {
        m_hosts.at(instance).replica.reset();
    }

    /// Kills a replica, loses its unsynced data and starts it again.
    auto losePower(const std::string &instance) -> void
    {
        kill(instance);
        const auto replica = m_hosts.at(instance).replicaId;
        m_disks[replica].crash();
        start(instance, replica, replica == instance);
    }

    /// Restarts an instance with an empty disk. Its new replica joins the set; the former one stays
    /// a member until `removeMember`.
    auto wipe(const std::string &instance) -> std::string
    {
        kill(instance);
        const auto former = m_hosts.at(instance).replicaId;
        const auto replica = instance + "~" + std::to_string(++m_wipes);
        addMember(replica, instance);
        start(instance, replica, false);
        announce();
        return former;
    }

    auto addMember(const std::string &replica, const std::string &instance) -> void
    {
        m_set.members.push_back(
            {ReplicaId(replica), InstanceId(instance), FailureDomainId(instance), true});
    }

    auto removeMember(const std::string &replica) -> void
    {
        std::erase_if(m_set.members,
                      [&](const auto &member) { return member.id.value == replica; });
        announce();
    }

    auto setWritable(const std::string &replica, bool isWritable) -> void
    {
        for (auto &member : m_set.members) {
            if (member.id.value == replica)
                member.isWritable = isWritable;
        }
        announce();
    }

    /// Announces the set to all replicas and the client.
    auto announce() -> void
    {
        ++m_set.version;
        for (auto &[name, host] : m_hosts) {
            if (host.replica)
                host.replica->setReplicas(m_now, m_set);
        }
        if (!m_clientIsCutOff)
            m_client.setReplicas(m_now, m_set);
    }

    auto suspend(const std::string &instance) -> void
    {
        m_suspended.insert(instance);
    }
    auto resume(const std::string &instance) -> void
    {
        m_suspended.erase(instance);
    }
    /// Keeps announcements from the client.
    auto cutOffClient(bool isCutOff) -> void
    {
        m_clientIsCutOff = isCutOff;
        if (!isCutOff)
            m_client.setReplicas(m_now, m_set);
    }

    [[nodiscard]] auto replica(const std::string &instance) -> HistoryReplica &
    {
        return *m_hosts.at(instance).replica;
    }
    [[nodiscard]] auto disk(const std::string &instance) -> testing::FakeFiles &
    {
        return m_disks[m_hosts.at(instance).replicaId];
    }

    auto run(Duration length) -> void
    {
        for (const auto end = m_now + length; m_now < end; m_now += 1ms)
            step();
    }

    /// Writes a turn and returns its outcome.
    auto write(const std::string &turn, const std::string &previous, const std::string &input,
               const std::string &output, const std::string &customer = "c") -> ClientOutcome
    {
        Turn item{key(turn, customer), TurnId(previous), input, output, 60s};
        m_client.write(m_now, ++m_lastTicket, std::move(item), nullptr, m_now + 1s);
        return await(m_lastTicket).outcome;
    }

    auto read(const std::string &turn, const std::string &customer = "c") -> ClientResult
    {
        m_client.read(m_now, ++m_lastTicket, key(turn, customer), m_now + 1s);
        return await(m_lastTicket);
    }

private:
    struct Host
    {
        std::string replicaId;
        std::unique_ptr<TurnLog<testing::FakeFiles>> turnLog;
        std::unique_ptr<HistoryReplica> replica;
    };

    auto await(Ticket ticket) -> ClientResult
    {
        for (int i = 0; i < 2000; ++i) {
            if (const auto found = m_results.find(ticket); found != m_results.end())
                return found->second;
            run(1ms);
        }
        BOOST_FAIL("no result");
        return {};
    }

    auto step() -> void
    {
        const InstanceId clientName("client");
        m_client.tick(m_now);
        for (auto &out : m_client.takeMessages())
            m_inTransit.push_back({clientName, std::move(out)});
        for (auto &result : m_client.takeResults())
            m_results[result.ticket] = std::move(result);
        auto arriving = std::exchange(m_inTransit, {});
        for (auto &[from, out] : arriving) {
            // Messages are encoded and decoded as between processes.
            auto message = decodeMessage(encodeMessage(std::move(out.message)));
            if (out.to == clientName)
                m_client.receive(m_now, from, *message);
            else if (auto &host = m_hosts[out.to.value];
                     host.replica && !m_suspended.contains(out.to.value))
                host.replica->receive(m_now, from, std::move(*message));
        }
        for (auto &[name, host] : m_hosts) {
            if (!host.replica || m_suspended.contains(name))
                continue;
            host.replica->tick(m_now);
            auto output = host.replica->takeOutput();
            for (auto &event : carryOut(host, output.steps))
                host.replica->diskDone(m_now, std::move(event));
            for (auto &out : host.replica->takeOutput().messages)
                output.messages.push_back(std::move(out));
            for (auto &out : output.messages)
                m_inTransit.push_back({InstanceId(name), std::move(out)});
        }
    }

    auto carryOut(Host &host, const std::vector<DiskStep> &steps) -> std::vector<DiskEvent>
    {
        std::vector<DiskEvent> events;
        for (const auto &step : steps) {
            if (const auto *append = std::get_if<AppendTurn>(&step)) {
                events.emplace_back(
                    TurnDurable{append->number, host.turnLog->append(append->content)});
                BOOST_REQUIRE(host.turnLog->commit());
            } else if (const auto *reading = std::get_if<ReadTurns>(&step)) {
                events.emplace_back(TurnsRead{reading->number, readAll(host, *reading)});
            } else if (const auto *complete = std::get_if<StoreCompleteness>(&step)) {
                BOOST_REQUIRE(log::writeSnapshot(m_disks[host.replicaId], "complete",
                                                 complete->isComplete ? "yes" : "no"));
            }
        }
        return events;
    }

    static auto readAll(Host &host, const ReadTurns &reading) -> Result<std::vector<std::string>>
    {
        std::vector<std::string> turns;
        for (const auto &location : reading.locations) {
            auto turn = host.turnLog->read(location);
            if (!turn)
                return tl::unexpected(turn.error());
            turns.push_back(std::move(*turn));
        }
        return turns;
    }

    TimePoint m_now{1h};
    telemetry::EventLog m_log;
    telemetry::Metrics m_metrics;
    ReplicaSet m_set;
    HistoryClient m_client;
    bool m_clientIsCutOff = false;
    std::map<std::string, testing::FakeFiles> m_disks;
    std::map<std::string, Host> m_hosts;
    std::vector<std::pair<InstanceId, Outgoing>> m_inTransit;
    std::map<Ticket, ClientResult> m_results;
    std::set<std::string> m_suspended;
    Ticket m_lastTicket = 0;
    std::uint64_t m_boots = 0;
    int m_wipes = 0;
};

} // namespace heathergate::history::test
