/// Measures the cost of each role at several sizes. docs/CAPACITY.md is calculated from the
/// results.

#include <heathergate/daemon/daemon.h>
#include <heathergate/log/log.h>
#include <heathergate/routing/routing.h>
#include <heathergate/testing/consensus_group.h>

#include <benchmark/benchmark.h>

#include <filesystem>
#include <malloc.h>

using namespace heathergate;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow(1h);

auto heapBytes() -> double
{
    return static_cast<double>(mallinfo2().uordblks);
}

auto targets(std::int64_t count) -> std::vector<routing::Target>
{
    std::vector<routing::Target> out;
    for (std::int64_t i = 0; i < count; ++i)
        out.push_back({UpstreamId("engine-" + std::to_string(i)),
                       1,
                       FailureDomainId("a"),
                       {"model:quill"},
                       64,
                       100'000,
                       false});
    return out;
}

auto queryFor(Random &random, std::int64_t count) -> routing::RouteQuery
{
    routing::RouteQuery query;
    query.lane = "model:quill";
    query.affinity = random.next() | 1;
    query.holders = {UpstreamId("engine-" + std::to_string(random.below(count)))};
    for (std::int64_t i = 1; i <= 20; ++i)
        query.prompt.prefixes.push_back({random.next(), i * 100});
    return query;
}

/// Measures a routing decision among `range` upstreams, including dispatch and completion.
auto routingDecision(benchmark::State &state) -> void
{
    routing::Router<routing::PrefixAffinity> router(FailureDomainId("a"));
    router.setTargets(targets(state.range(0)));
    Random random(1);
    std::vector<routing::RouteQuery> queries;
    for (int i = 0; i < 1000; ++i)
        queries.push_back(queryFor(random, state.range(0)));
    std::size_t next = 0;
    for (auto _ : state) {
        const auto &query = queries[next++ % queries.size()];
        const auto chosen = router.choose(kNow, query, random);
        router.dispatched(*chosen, query.prompt);
        router.finished(kNow, *chosen, 1, routing::AttemptOutcome::Success);
    }
}
BENCHMARK(routingDecision)->Arg(8)->Arg(380)->Arg(3800);

/// Measures the choice of an upstream without the bookkeeping of dispatch and completion.
auto routingChoice(benchmark::State &state) -> void
{
    routing::Router<routing::PrefixAffinity> router(FailureDomainId("a"));
    router.setTargets(targets(state.range(0)));
    Random random(1);
    std::vector<routing::RouteQuery> queries;
    for (int i = 0; i < 1000; ++i) {
        queries.push_back(queryFor(random, state.range(0)));
        router.dispatched(queries.back().holders.front(), queries.back().prompt);
        router.finished(kNow, queries.back().holders.front(), 1, routing::AttemptOutcome::Success);
    }
    std::size_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(kNow, queries[next++ % queries.size()], random));
}
BENCHMARK(routingChoice)->Arg(8)->Arg(380)->Arg(3800);

/// Measures writing and syncing a batch of `range` records of 1 kB.
auto logBatch(benchmark::State &state) -> void
{
    const auto folder = std::filesystem::temp_directory_path() / "heathergate-slopes";
    std::filesystem::remove_all(folder);
    auto files = log::PosixFiles::open(folder.string());
    auto wal = log::WriteAheadLog<log::PosixFiles>::open(
        *files, [](std::uint64_t, std::string_view) { return Result<void>{}; });
    const std::string payload(1000, 'x');
    for (auto _ : state) {
        for (std::int64_t i = 0; i < state.range(0); ++i)
            wal->append(payload);
        if (!wal->commit())
            state.SkipWithError("the commit failed");
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
    std::filesystem::remove_all(folder);
}
BENCHMARK(logBatch)->Arg(1)->Arg(16)->Arg(256)->Iterations(200)->UseRealTime();

/// Measures push and pop of one request while `range` customers have queued requests.
auto workQueue(benchmark::State &state) -> void
{
    routing::WorkQueue queue(1'000'000);
    Random random(1);
    std::uint64_t number = 0;
    const auto item = [&] {
        routing::WorkItem work;
        work.request = ++number;
        work.customer = CustomerId("c" + std::to_string(random.below(state.range(0))));
        work.deadline = kNow + 10s;
        return work;
    };
    for (std::int64_t i = 0; i < 2 * state.range(0); ++i)
        static_cast<void>(queue.push(item()));
    for (auto _ : state) {
        static_cast<void>(queue.push(item()));
        benchmark::DoNotOptimize(queue.pop(kNow));
    }
}
BENCHMARK(workQueue)->Arg(8)->Arg(240)->Arg(2400);

/// Measures the intent and outcome of one turn in a shard with `range` programs, including
/// encoding.
auto ledgerTurn(benchmark::State &state) -> void
{
    const auto before = heapBytes();
    programs::ProgramLedger ledger;
    const auto keyOf = [](std::uint64_t i) {
        return programs::ProgramKey{CustomerId("c" + std::to_string(i % 2400)),
                                    ProgramId("p" + std::to_string(i))};
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        ledger.apply(0s, programs::StartProgram{keyOf(i), {1'000'000'000, 0, 24h, 1h}, "s"});
    state.counters["bytes/program"] = (heapBytes() - before) / static_cast<double>(state.range(0));
    Random random(1);
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    const std::string text(800, 'x');
    for (auto _ : state) {
        programs::BeginCall begin;
        begin.key = keyOf(random.below(state.range(0)));
        begin.call = CallId("call-" + std::to_string(++number));
        begin.idempotent = true;
        begin.digest = "digest " + std::to_string(number);
        begin.reserve = 256;
        begin.placement = {InstanceId("instance-1"), 1, number, UpstreamId("engine-1"), 2};
        programs::FinishCall finish;
        finish.key = begin.key;
        finish.call = begin.call;
        finish.attempt = 1;
        finish.used = 200;
        finish.answer = text;
        finish.messages =
            nlohmann::json::array({{{"role", "assistant"}, {"content", text}}}).dump();
        for (const auto &command :
             {programs::ProgramCommand(begin), programs::ProgramCommand(finish)}) {
            const auto encoded = encodeVariant(command);
            bytes += encoded.size();
            const auto decoded = decodeVariant<programs::ProgramCommand>(encoded);
            benchmark::DoNotOptimize(encode(ledger.apply(1s, *decoded)));
        }
    }
    state.counters["log bytes/turn"] =
        static_cast<double>(bytes) / static_cast<double>(state.iterations());
}
BENCHMARK(ledgerTurn)->Arg(1000)->Arg(10'000)->Arg(80'000)->Iterations(20'000);

/// Measures one allowance request for `range` customers at a bucket ledger.
auto allowanceReport(benchmark::State &state) -> void
{
    limits::BucketLedger ledger;
    limits::AllowanceRequest request{InstanceId("instance-1"), 1, 0, {}};
    for (std::int64_t i = 0; i < state.range(0); ++i)
        request.items.push_back({CustomerId("customer-" + std::to_string(i)),
                                 {100 * limits::kOneToken, 100 * limits::kOneToken, 1},
                                 0,
                                 0,
                                 limits::kOneToken,
                                 0});
    GroupTime time{};
    std::size_t bytes = 0;
    for (auto _ : state) {
        time += 20ms;
        for (auto &item : request.items)
            item.consumedTotal += limits::kOneToken;
        const auto encoded = encodeVariant(programs::ProgramCommand(request));
        bytes += encoded.size();
        const auto decoded = decodeVariant<programs::ProgramCommand>(encoded);
        benchmark::DoNotOptimize(
            encode(ledger.apply(time, std::get<limits::AllowanceRequest>(*decoded))));
    }
    state.counters["bytes/item"] =
        static_cast<double>(bytes) / static_cast<double>(state.iterations() * state.range(0));
}
BENCHMARK(allowanceReport)->Arg(1)->Arg(8)->Arg(64);

/// Measures the commit of one 1 kB entry in a group of `range` voters, without I/O. The time is the
/// sum over all replicas.
auto consensusEntry(benchmark::State &state) -> void
{
    std::vector<std::string> voters;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        voters.push_back("v" + std::to_string(i));
    testing::ConsensusGroup group(1, voters);
    static_cast<void>(group.runUntilLeader(10s));
    const std::string payload(1000, 'x');
    for (auto _ : state) {
        for (int i = 0; i < 100; ++i)
            group.propose(payload);
        group.run(8ms);
    }
    state.counters["us/entry"] =
        benchmark::Counter(static_cast<double>(state.iterations()) * 100 / 1e6,
                           benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(consensusEntry)->Arg(1)->Arg(3)->Arg(5)->Iterations(100);

/// Measures the control leader's answer to one heartbeat, with `range` instances and ten times as
/// many upstreams.
auto controlHeartbeat(benchmark::State &state) -> void
{
    daemon::HostSettings settings;
    settings.self = InstanceId("disk");
    settings.replica = consensus::ReplicaId("disk");
    settings.genesis.voters = {settings.replica};
    daemon::ReplicaHost host(settings, {}, Random(1), kNow);
    auto now = kNow;
    const auto settle = [&] {
        for (int i = 0; i < 3; ++i) {
            for (auto &step : host.takeOutput(now).storage) {
                const auto *write = std::get_if<daemon::GroupWrite>(&step);
                if (write != nullptr)
                    host.synced(now, write->group, write->write.number);
            }
        }
    };
    now += 3s;
    host.tick(now);
    settle();
    const auto before = heapBytes();
    const auto propose = [&](const control::ControlCommand &command) {
        host.receive(
            now, InstanceId("x"),
            wire::Request{1, kControlGroup, wire::RequestKind::Control, encodeVariant(command)});
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        propose(control::JoinInstance{{InstanceId("instance-" + std::to_string(i)), 1,
                                       "10.0.0.1:" + std::to_string(i), "10.0.0.2:1",
                                       FailureDomainId("domain-1")}});
    for (std::int64_t i = 0; i < 10 * state.range(0); ++i) {
        control::UpstreamOffer offer;
        offer.id = UpstreamId("engine-" + std::to_string(i));
        offer.bootId = "boot";
        offer.address = "10.1.0.1:" + std::to_string(i);
        offer.models = {"quill"};
        propose(control::AnnounceUpstream{offer});
    }
    settle();
    state.counters["state bytes"] = heapBytes() - before;
    state.counters["snapshot bytes"] = static_cast<double>(encode(host.controlState()).size());
    std::uint64_t next = 0;
    std::size_t bytesOut = 0;
    std::size_t bytesIn = 0;
    for (auto _ : state) {
        const auto instance = static_cast<std::int64_t>(next++) % state.range(0);
        wire::Follow follow{1, 1, host.controlState().revision(), 5, {}};
        for (std::int64_t i = 0; i < 10; ++i)
            follow.upstreams.push_back(
                {UpstreamId("engine-" + std::to_string(10 * instance + i)), 1, 3});
        const auto in = wire::encodeMessage(follow);
        bytesIn += in.size();
        host.receive(now, InstanceId("instance-" + std::to_string(instance)),
                     *wire::decodeMessage(in));
        for (const auto &[to, message] : host.takeOutput(now).messages)
            bytesOut += wire::encodeMessage(message).size();
    }
    state.counters["bytes in"] =
        static_cast<double>(bytesIn) / static_cast<double>(state.iterations());
    state.counters["bytes out"] =
        static_cast<double>(bytesOut) / static_cast<double>(state.iterations());
}
BENCHMARK(controlHeartbeat)->Arg(18)->Arg(100)->Arg(380)->Iterations(2000);

/// Measures applying one table edit at an instance that holds `range` rows.
auto applyEdit(benchmark::State &state) -> void
{
    control::ControlState rows;
    const auto before = heapBytes();
    control::Revision revision = 0;
    const auto edit = [&](std::int64_t i) {
        const CustomerId customer("customer-" + std::to_string(i));
        const auto *row = rows.row(customer);
        const auto command = encodeVariant(control::ControlCommand(control::EditRow{
            "edit-" + std::to_string(revision), customer, row == nullptr ? 0 : row->revision,
            control::RowValues{10, 10, 1000, 0, 1}}));
        rows.apply(++revision, 1s, *decodeVariant<control::ControlCommand>(command));
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        edit(i);
    state.counters["bytes/row"] = (heapBytes() - before) / static_cast<double>(state.range(0));
    Random random(1);
    for (auto _ : state)
        edit(static_cast<std::int64_t>(random.below(state.range(0))));
}
BENCHMARK(applyEdit)->Arg(240)->Arg(800)->Arg(2400);

} // namespace

BENCHMARK_MAIN();
