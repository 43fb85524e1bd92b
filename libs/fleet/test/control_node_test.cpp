#include <boost/test/unit_test.hpp>
#include <heathergate/fleet/control_node.h>

using namespace heathergate;
using namespace heathergate::fleet;
using namespace std::chrono_literals;

namespace {

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

auto upstream(const std::string &id, std::int64_t born, std::uint64_t sequence,
              std::uint16_t port = 9000) -> UpstreamRecord
{
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = ServiceId("tools");
    record.address = {"127.0.0.1", port};
    record.domain = FailureDomainId("a");
    record.slots = 6;
    record.born = std::chrono::milliseconds(born);
    record.sequence = sequence;
    return record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlNodeTest)

BOOST_AUTO_TEST_SUITE(WhenTheFleetStarts)

BOOST_AUTO_TEST_CASE(electsExactlyOneLeader)
{
    Fleet fleet;
    BOOST_TEST(!fleet.waitForLeader().empty());
    BOOST_TEST(fleet.leaders() == 1U);
}

BOOST_AUTO_TEST_CASE(addsNoInstanceWithAnEmptyDiskToItsFounders)
{
    Fleet fleet;
    fleet.start("10.0.0.9", "10.0.0.9~x", {});
    fleet.waitForLeader();
    fleet.run(3s);
    BOOST_TEST(fleet.node(fleet.leader()).replica().configuration().voters.size() == 3U);
    BOOST_TEST(!fleet.node("10.0.0.9").isLeader(fleet.now()));
}

BOOST_AUTO_TEST_CASE(growsToTheVotersThatTheToleranceAsksFor)
{
    Fleet fleet(2);
    fleet.start("10.0.0.9", "10.0.0.9~x", {});
    fleet.waitForLeader();
    fleet.run(4s);
    BOOST_TEST(fleet.node(fleet.leader()).replica().configuration().voters.size() == 3U);
}

BOOST_AUTO_TEST_CASE(neverFormsASecondGroupFromAnEmptyDisk)
{
    Fleet fleet;
    fleet.waitForLeader();
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.restartWiped(name);
    fleet.run(10s);
    BOOST_TEST(fleet.leader().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAConfigurationIsStored)

BOOST_AUTO_TEST_CASE(acknowledgesItOnlyOnceAMajorityHasIt)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
        if (name != leader)
            fleet.kill(name);
    }
    const auto token = fleet.put(leader, 5, "five");
    fleet.run(3s);
    const auto answer = fleet.answer(token);
    BOOST_TEST((!answer || answer->status != CallStatus::Done));
}

BOOST_AUTO_TEST_CASE(keepsItWhenTheLeaderIsLostRightAfterTheAcknowledgement)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    const auto token = fleet.put(leader, 5, "five");
    while (!fleet.answer(token))
        fleet.run(5ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    fleet.restartWiped(leader);
    const auto next = fleet.waitForLeader();
    BOOST_TEST(fleet.read(next).document == "five");
}

BOOST_AUTO_TEST_CASE(keepsItWhenAllInstancesAreKilledAtOnce)
{
    Fleet fleet;
    const auto token = fleet.put(fleet.waitForLeader(), 5, "five");
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.kill(name);
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.restart(name);
    BOOST_TEST(fleet.read(fleet.waitForLeader()).document == "five");
}

BOOST_AUTO_TEST_CASE(acknowledgesALowerVersionWithoutEffect)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.put(leader, 5, "five");
    fleet.run(100ms);
    const auto token = fleet.put(leader, 4, "four");
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    BOOST_TEST(fleet.read(leader).document == "five");
}

BOOST_AUTO_TEST_CASE(keepsItOverHundredsOfChangesAndSnapshots)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    for (std::uint64_t version = 1; version <= 300; ++version) {
        fleet.put(leader, version, "v" + std::to_string(version));
        fleet.run(15ms);
    }
    fleet.run(100ms);
    const auto other = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.restartWiped(other);
    fleet.run(6s);
    fleet.kill(leader);
    BOOST_TEST(fleet.read(fleet.waitForLeader()).document == "v300");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenALeaderIsCutOff)

BOOST_AUTO_TEST_CASE(answersNoReadOnceItsLeaseIsOver)
{
    Fleet fleet;
    const auto old = fleet.waitForLeader();
    fleet.cut(old);
    fleet.run(3s);
    BOOST_TEST((fleet.read(old).status != CallStatus::Done));
    BOOST_TEST(!fleet.waitForLeader().empty());
}

BOOST_AUTO_TEST_CASE(hasNoTwoLeadersThatServeAtAnyTime)
{
    Fleet fleet;
    const auto old = fleet.waitForLeader();
    fleet.cut(old);
    for (int i = 0; i < 800; ++i) {
        fleet.run(5ms);
        BOOST_TEST(fleet.leaders() <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(believesNoLeaseFromBeforeASuspension)
{
    Fleet fleet;
    const auto old = fleet.waitForLeader();
    fleet.freeze(old);
    fleet.run(4s);
    // It wakes up and has not yet heard from anybody.
    BOOST_TEST(!fleet.node(old).isLeader(fleet.now()));
    fleet.thaw(old);
    fleet.run(1s);
    BOOST_TEST(fleet.leaders() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnInstanceIsReplaced)

BOOST_AUTO_TEST_CASE(takesTheWipedDiskInUnderItsNewName)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(1s);
    const std::string other = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.restartWiped(other);
    fleet.run(6s);
    const auto &group = fleet.node(fleet.leader()).replica().configuration();
    BOOST_TEST(group.voters.size() == 3U);
    BOOST_TEST(!group.isVoter(ReplicaId(other)));
    BOOST_TEST(group.isVoter(ReplicaId(other + "~1")));
}

BOOST_AUTO_TEST_CASE(putsAnotherAddressInThePlaceOfOneThatIsGone)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(1s);
    const std::string lost = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.kill(lost);
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    fleet.run(8s);
    const auto &group = fleet.node(fleet.leader()).replica().configuration();
    BOOST_TEST(group.isVoter(ReplicaId("10.0.0.7~x")));
    BOOST_TEST(!group.isVoter(ReplicaId(lost)));
}

BOOST_AUTO_TEST_CASE(survivesTheNextLossRightAfterTheRepair)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.put(leader, 5, "five");
    fleet.run(1s);
    const std::string lost = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    fleet.restartWiped(lost);
    fleet.run(6s);
    fleet.kill(fleet.leader());
    BOOST_TEST(fleet.read(fleet.waitForLeader()).document == "five");
}

BOOST_AUTO_TEST_CASE(refusesToEmptyOneOfTheLastInstances)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const auto token = fleet.nextToken();
    fleet.node(leader).startRetiring(fleet.now(), token, "node-10.0.0.2");
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(emptiesAnInstanceThatAnotherCanReplace)
{
    Fleet fleet;
    fleet.start("10.0.0.7", "10.0.0.7~x", {});
    const auto leader = fleet.waitForLeader();
    fleet.run(2s);
    const std::string target = leader == "10.0.0.1" ? "10.0.0.2" : "10.0.0.1";
    auto token = fleet.nextToken();
    fleet.node(leader).startRetiring(fleet.now(), token, "node-" + target);
    fleet.run(6s);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    token = fleet.nextToken();
    fleet.node(fleet.leader()).readRetiring(fleet.now(), token, "node-" + target);
    fleet.run(10ms);
    BOOST_TEST((fleet.answer(token)->retire == RetireState::Succeeded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUpstreamsReport)

BOOST_AUTO_TEST_CASE(registersAndRemembersThemOverAChangeOfLeader)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    const auto token = fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(100ms);
    BOOST_TEST((fleet.answer(token)->status == CallStatus::Done));
    fleet.kill(leader);
    const auto next = fleet.waitForLeader();
    BOOST_TEST(fleet.node(next).state().upstreams().contains(UpstreamId("u")));
}

BOOST_AUTO_TEST_CASE(ignoresALateHeartbeatAfterTheUpstreamLeft)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("u"));
    fleet.run(50ms);
    fleet.heartbeat(leader, upstream("u", 1, 2));
    fleet.run(50ms);
    const auto &record = fleet.node(leader).state().upstreams().at(UpstreamId("u"));
    BOOST_TEST((record.phase == UpstreamPhase::Gone));
}

BOOST_AUTO_TEST_CASE(letsANewIncarnationUnderTheSameNameIn)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 9));
    fleet.run(50ms);
    fleet.node(leader).upstreamLeft(fleet.now(), fleet.nextToken(), UpstreamId("u"));
    fleet.run(50ms);
    fleet.heartbeat(leader, upstream("u", 2, 1));
    fleet.run(50ms);
    const auto &record = fleet.node(leader).state().upstreams().at(UpstreamId("u"));
    BOOST_TEST((record.phase == UpstreamPhase::Ready));
}

BOOST_AUTO_TEST_CASE(givesAnAddressToItsLatestOwnerOnly)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("old", 1, 1));
    fleet.run(50ms);
    fleet.heartbeat(leader, upstream("new", 5, 1));
    fleet.run(50ms);
    // A heartbeat that a partition held back arrives after its sender has ended.
    fleet.heartbeat(leader, upstream("old", 1, 2));
    fleet.run(50ms);
    const auto &records = fleet.node(leader).state().upstreams();
    BOOST_TEST((records.at(UpstreamId("old")).phase == UpstreamPhase::Gone));
    BOOST_TEST((records.at(UpstreamId("new")).phase == UpstreamPhase::Ready));
}

BOOST_AUTO_TEST_CASE(placesNothingAtADrainingUpstreamOnceItIsAcknowledged)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    auto draining = upstream("u", 1, 2);
    draining.phase = UpstreamPhase::Draining;
    const auto token = fleet.heartbeat(leader, draining);
    while (!fleet.answer(token))
        fleet.run(5ms);
    fb::AdmissionT admission;
    admission.request = 1;
    admission.service = "tools";
    admission.timeLeft = admission.patience = 1'000'000;
    admission.finishIn = -1;
    admission.budget = -1;
    fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
    fleet.run(50ms);
    const auto messages = fleet.sentTo("g");
    BOOST_TEST_REQUIRE(messages.size() == 1U);
    BOOST_TEST(std::holds_alternative<fb::RefusalT>(messages.front()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAGatewayIsLost)

namespace {

auto gatewayPresence(std::uint64_t boot) -> PeerFrame
{
    fb::PresenceT presence;
    presence.boot = boot;
    presence.role = static_cast<std::uint8_t>(Role::Gateway);
    presence.address = "10.1.0.1:8000";
    presence.ready = true;
    return PeerFrame(Message(std::move(presence)));
}

} // namespace

BOOST_AUTO_TEST_CASE(sendsNoCallerThereFromTheLossOfItsConnectionUntilItIsBack)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    auto &node = fleet.node(leader);
    node.receive(fleet.now(), InstanceId("10.1.0.1"), gatewayPresence(1));
    BOOST_TEST(node.directory(fleet.now()).size() == 1U);
    node.peerLost(fleet.now(), InstanceId("10.1.0.1"));
    BOOST_TEST(node.directory(fleet.now()).empty());
    node.receive(fleet.now(), InstanceId("10.1.0.1"), gatewayPresence(1));
    BOOST_TEST(node.directory(fleet.now()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(sendsNoCallerThereOnceItIsSilentForASecond)
{
    Fleet fleet;
    const auto leader = fleet.waitForLeader();
    fleet.node(leader).receive(fleet.now(), InstanceId("10.1.0.1"), gatewayPresence(1));
    fleet.run(500ms);
    BOOST_TEST(fleet.node(leader).directory(fleet.now()).size() == 1U);
    fleet.run(500ms);
    BOOST_TEST(fleet.node(leader).directory(fleet.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenACustomerHasALimit)

BOOST_AUTO_TEST_CASE(countsWhatAFormerLeaderLetThrough)
{
    Fleet fleet;
    auto leader = fleet.waitForLeader();
    Configuration configuration;
    configuration.version = 2;
    configuration.customers.push_back({CustomerId("c"), {"key"}, 0, 10, 10});
    fleet.node(leader).putConfiguration(fleet.now(), fleet.nextToken(), configuration, "two");
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    RequestId last = 0;
    // Requests that end at once, until the limit refuses one.
    const auto askUntilRefused = [&] {
        int granted = 0;
        while (true) {
            fb::AdmissionT admission;
            admission.request = ++last;
            admission.customer = "c";
            admission.service = "tools";
            admission.budget = admission.finishIn = -1;
            admission.timeLeft = admission.patience = 1'000'000;
            fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
            fleet.run(10ms);
            const auto answers = fleet.sentTo("g");
            if (answers.empty() || std::holds_alternative<fb::RefusalT>(answers.front()))
                return granted;
            ++granted;
            fb::CompletionT completion;
            completion.request = last;
            completion.final = true;
            fleet.node(leader).receive(fleet.now(), InstanceId("g"),
                                       PeerFrame(Message(completion)));
        }
    };
    // Ten a second for five seconds, and ten more.
    BOOST_TEST(askUntilRefused() == 60);
    fleet.run(200ms);
    fleet.kill(leader);
    leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 2));
    fleet.run(50ms);
    BOOST_TEST(askUntilRefused() <= 1);
    fleet.run(5s);
    fleet.heartbeat(leader, upstream("u", 1, 3));
    BOOST_TEST(askUntilRefused() >= 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAProgramSpendsItsBudget)

BOOST_AUTO_TEST_CASE(refusesTheNextTurnAlsoAfterAllInstancesWereKilled)
{
    Fleet fleet;
    auto leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 1));
    fleet.run(50ms);
    const auto ask = [&](RequestId request) {
        fb::AdmissionT admission;
        admission.request = request;
        admission.service = "tools";
        admission.program = "c/p";
        admission.budget = 1000;
        admission.mostTokens = 600;
        admission.timeLeft = admission.patience = 1'000'000;
        admission.finishIn = -1;
        fleet.node(leader).receive(fleet.now(), InstanceId("g"), PeerFrame(Message(admission)));
        fleet.run(60ms);
        return fleet.sentTo("g");
    };
    BOOST_TEST(std::holds_alternative<fb::GrantT>(ask(1).front()));
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.kill(name);
    for (const auto *name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
        fleet.restart(name);
    leader = fleet.waitForLeader();
    fleet.heartbeat(leader, upstream("u", 1, 2));
    fleet.run(50ms);
    const auto answers = ask(2);
    BOOST_TEST_REQUIRE(std::holds_alternative<fb::RefusalT>(answers.front()));
    BOOST_TEST(std::get<fb::RefusalT>(answers.front()).code
               == static_cast<int>(Code::BudgetExhausted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
