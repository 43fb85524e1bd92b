#include <heathergate/programs/program_ledger.h>

#include <algorithm>

namespace heathergate::programs {

namespace {

auto refused(Code code, std::string detail, Ran ran = Ran::No, Duration retryAfter = {})
    -> ProgramOutcome
{
    ProgramOutcome outcome;
    outcome.error = Error{code, std::move(detail), ran, retryAfter};
    return outcome;
}

auto unknownProgram(const ProgramKey &key) -> ProgramOutcome
{
    return refused(Code::UnknownProgram, "no program " + key.program.value);
}

auto recordedAnswer(const CallRecord &record) -> ProgramOutcome
{
    ProgramOutcome outcome;
    outcome.turn = record.turn;
    outcome.status = record.status;
    outcome.contentType = record.contentType;
    outcome.answer = record.answer;
    return outcome;
}

auto isPastRetention(const Program &program, GroupTime now) -> bool
{
    return program.status != ProgramStatus::Active && program.lastActivity + kRetention < now;
}

} // namespace

auto ProgramLedger::apply(GroupTime now, const ProgramCommand &command) -> ProgramOutcome
{
    return std::visit([&](const auto &item) { return applyCommand(now, item); }, command);
}

auto ProgramLedger::find(const ProgramKey &key) const -> const Program *
{
    const auto found = m_programs.find(key);
    return found == m_programs.end() ? nullptr : &found->second;
}

auto ProgramLedger::historyOf(const Program &program) -> std::string
{
    std::string joined = "[";
    for (const auto &turn : program.history) {
        const auto inner = std::string_view(turn).substr(1, turn.size() - 2);
        if (inner.empty())
            continue;
        if (joined.size() > 1)
            joined += ',';
        joined += inner;
    }
    return joined + "]";
}

auto ProgramLedger::applyCommand(GroupTime now, const StartProgram &start) -> ProgramOutcome
{
    const auto known = m_programs.find(start.key);
    if (known != m_programs.end() && known->second.startId == start.startId)
        return {};
    if (known != m_programs.end())
        return refused(Code::AlreadyExists, "program " + start.key.program.value + " exists");
    const auto root = m_programs.find(rootOf(start.key));
    const auto isRoot = rootOf(start.key) == start.key;
    if (!isRoot && root == m_programs.end())
        return unknownProgram(rootOf(start.key));
    if (!isRoot && root->second.status != ProgramStatus::Active)
        return refused(Code::ProgramEnded, "the root program has ended");
    Program program;
    program.limits = start.limits;
    program.startId = start.startId;
    program.startedAt = now;
    program.lastActivity = now;
    scheduleSweep(nextExpiry(program));
    m_programs.emplace(start.key, std::move(program));
    return {};
}

auto ProgramLedger::applyCommand(GroupTime now, const BeginCall &begin) -> ProgramOutcome
{
    if (begin.standalone && !m_programs.contains(begin.key)) {
        Program implicitProgram;
        implicitProgram.limits.idle = kRetention;
        implicitProgram.startedAt = now;
        implicitProgram.lastActivity = now;
        scheduleSweep(nextExpiry(implicitProgram));
        m_programs.emplace(begin.key, std::move(implicitProgram));
    }
    const auto found = m_programs.find(begin.key);
    if (found == m_programs.end())
        return unknownProgram(begin.key);
    auto &program = found->second;
    if (const auto known = program.calls.find(begin.call); known != program.calls.end())
        return resend(now, program, known->second, begin);
    supersedeInterrupted(program, m_programs.at(rootOf(begin.key)));
    if (const auto allowed = checkBegin(program, begin); !allowed)
        return refused(allowed.error().code, allowed.error().detail, Ran::No,
                       allowed.error().retryAfter);
    program.repeats = program.lastDigest == begin.digest ? program.repeats + 1 : 1;
    program.lastDigest = begin.digest;
    if (begin.kind == CallKind::Model && program.repeats > kLoopLimit) {
        end(begin.key, program, ProgramStatus::Expired, "loop", now);
        return refused(Code::ProgramEnded, "the program repeats the same request");
    }
    auto &root = m_programs.at(rootOf(begin.key));
    root.reserved += begin.reserve;
    root.lastActivity = now;
    program.lastActivity = now;
    program.active = begin.call;
    if (begin.kind == CallKind::Model)
        ++program.turns;
    CallRecord record;
    record.kind = begin.kind;
    record.idempotent = begin.idempotent;
    record.turn = program.turns;
    record.digest = begin.digest;
    record.reserved = begin.reserve;
    auto &stored = program.calls[begin.call] = std::move(record);
    return startAttempt(program, stored, begin);
}

auto ProgramLedger::supersedeInterrupted(Program &program, Program &root) -> void
{
    const auto active = program.calls.find(program.active);
    if (active == program.calls.end() || active->second.state != CallState::Interrupted)
        return;
    // The upstream may have executed the call, so its complete reservation counts as spent.
    auto &record = active->second;
    root.spent += record.reserved;
    releaseReservation(program, root, record);
    record.state = CallState::Unknown;
}

auto ProgramLedger::checkBegin(const Program &program, const BeginCall &begin) const -> Result<void>
{
    constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(50);
    const auto &root = m_programs.at(rootOf(begin.key));
    if (program.status != ProgramStatus::Active || root.status != ProgramStatus::Active)
        return fail(Code::ProgramEnded, "the program has ended");
    if (!program.active.empty())
        return fail(Code::CallInProgress, "the program's call " + program.active.value + " runs",
                    Ran::No, kBusyRetryDelay);
    if (begin.turn != 0 && begin.turn != program.turns + 1)
        return fail(Code::OutOfOrder, "the next turn is " + std::to_string(program.turns + 1));
    if (begin.kind == CallKind::Model && program.limits.maxTurns > 0
        && program.turns >= program.limits.maxTurns)
        return fail(Code::TurnLimit,
                    "all " + std::to_string(program.limits.maxTurns) + " turns are used");
    const auto remaining = root.limits.budget - root.spent - root.reserved;
    if (begin.reserve > remaining)
        return fail(Code::BudgetExhausted, "needs " + std::to_string(begin.reserve) + " tokens, "
                                               + std::to_string(remaining) + " are left");
    return {};
}

auto ProgramLedger::resend(GroupTime now, Program &program, CallRecord &record,
                           const BeginCall &begin) -> ProgramOutcome
{
    if (record.digest != begin.digest)
        return refused(Code::KeyReusedWithOtherBody,
                       "call " + begin.call.value + " was made with another request");
    if (record.state == CallState::Completed)
        return recordedAnswer(record);
    if (record.state == CallState::Unknown)
        return refused(Code::OutcomeUnknown, "the call may have run before", Ran::Unknown);
    if (program.status != ProgramStatus::Active)
        return refused(Code::ProgramEnded, "the program has ended");
    const auto sameSender =
        record.placement.instance == begin.placement.instance
        && record.placement.instanceIncarnation == begin.placement.instanceIncarnation
        && record.placement.request == begin.placement.request;
    const auto isRetry = sameSender && begin.retryOf == record.attempt && begin.retryOf > 0;
    if (record.state == CallState::Running && !isRetry) {
        // The same command may be delivered twice. The attempt it started still belongs to the
        // sender, so the outcome returns the same attempt number.
        const auto sameCommand = sameSender && begin.retryOf == record.attempt - 1
                                 && record.placement.upstream == begin.placement.upstream;
        if (!sameCommand)
            return refused(Code::CallInProgress, "the call is running now", Ran::Unknown,
                           std::chrono::milliseconds(100));
        --record.attempt;
    }
    program.lastActivity = now;
    return startAttempt(program, record, begin);
}

auto ProgramLedger::startAttempt(Program &program, CallRecord &record, const BeginCall &begin)
    -> ProgramOutcome
{
    setState({begin.key, begin.call}, record, CallState::Interrupted);
    record.placement = begin.placement;
    setState({begin.key, begin.call}, record, CallState::Running);
    ++record.attempt;
    ProgramOutcome outcome;
    outcome.attempt = record.attempt;
    outcome.turn = record.turn;
    if (record.kind != CallKind::Model)
        return outcome;
    const MemoryHolder holder{begin.placement.upstream, begin.placement.upstreamIncarnation};
    addHolder(begin.key, program, holder);
    outcome.history = historyOf(program);
    return outcome;
}

auto ProgramLedger::applyCommand(GroupTime now, const FinishCall &finish) -> ProgramOutcome
{
    const auto found = m_programs.find(finish.key);
    if (found == m_programs.end())
        return unknownProgram(finish.key);
    auto &program = found->second;
    const auto known = program.calls.find(finish.call);
    if (known == program.calls.end())
        return refused(Code::OutOfOrder, "the call is not known", Ran::Unknown);
    auto &record = known->second;
    if (record.state == CallState::Completed && record.attempt == finish.attempt)
        return recordedAnswer(record);
    // A sender that was assumed to have failed may still deliver the answer of the last attempt.
    const auto acceptsAnswer =
        record.state == CallState::Running || record.state == CallState::Interrupted
        || (record.state == CallState::Unknown && record.kind == CallKind::Service);
    if (record.attempt != finish.attempt || !acceptsAnswer)
        return refused(Code::OutOfOrder, "the attempt is not the current one", Ran::Unknown);
    auto &root = m_programs.at(rootOf(finish.key));
    program.lastActivity = now;
    root.lastActivity = now;
    if (finish.result == CallResult::NotRun) {
        releaseReservation(program, root, record);
        setState({finish.key, finish.call}, record, CallState::Interrupted);
        if (record.kind == CallKind::Model)
            --program.turns;
        program.calls.erase(known);
        return {};
    }
    if (finish.result == CallResult::Unknown) {
        // The tokens that the call may have used stay reserved, so that the budget is not exceeded
        // whether or not it ran.
        setState({finish.key, finish.call}, record,
                 record.idempotent ? CallState::Interrupted : CallState::Unknown);
        if (record.state == CallState::Unknown && program.active == finish.call)
            program.active = CallId();
        return {};
    }
    // Instances cut off calls that exceed their reservation, so a program is never charged more
    // than the reservation.
    root.spent += std::clamp<std::int64_t>(finish.used, 0, record.reserved);
    releaseReservation(program, root, record);
    setState({finish.key, finish.call}, record, CallState::Completed);
    record.status = finish.status;
    record.contentType = finish.contentType;
    record.answer = finish.answer;
    if (finish.messages.size() > 2)
        program.history.push_back(finish.messages);
    if (program.status != ProgramStatus::Active)
        releaseMemory(finish.key, program);
    return recordedAnswer(record);
}

auto ProgramLedger::applyCommand(GroupTime now, const SettleCall &settlement) -> ProgramOutcome
{
    const auto found = m_programs.find(settlement.key);
    if (found == m_programs.end())
        return unknownProgram(settlement.key);
    auto &program = found->second;
    const auto known = program.calls.find(settlement.call);
    if (known == program.calls.end() || known->second.state != CallState::Unknown)
        return refused(Code::BadRequest, "no call of unknown outcome has this key");
    auto &record = known->second;
    auto &root = m_programs.at(rootOf(settlement.key));
    program.lastActivity = now;
    const auto reservedTokens = record.reserved;
    releaseReservation(program, root, record);
    if (!settlement.ran) {
        program.calls.erase(known);
        return {};
    }
    root.spent += reservedTokens;
    record.state = CallState::Completed;
    record.status = settlement.status;
    record.contentType = "application/json";
    record.answer = settlement.answer;
    return recordedAnswer(record);
}

auto ProgramLedger::applyCommand(GroupTime now, const EndProgram &endCommand) -> ProgramOutcome
{
    const auto found = m_programs.find(endCommand.key);
    if (found == m_programs.end())
        return unknownProgram(endCommand.key);
    if (found->second.status == ProgramStatus::Active)
        end(endCommand.key, found->second, ProgramStatus::Ended, "ended by the caller", now);
    return {};
}

auto ProgramLedger::applyCommand(GroupTime, const InstanceRemoved &removal) -> ProgramOutcome
{
    const auto found = m_running.find({removal.instance, removal.incarnation});
    if (found == m_running.end())
        return {};
    for (const auto &ref : std::set<CallRef>(found->second)) {
        auto &program = m_programs.at(ref.first);
        auto &record = program.calls.at(ref.second);
        setState(ref, record, record.idempotent ? CallState::Interrupted : CallState::Unknown);
        if (record.state == CallState::Unknown && program.active == ref.second)
            program.active = CallId();
    }
    return {};
}

auto ProgramLedger::applyCommand(GroupTime, const MemoryReleased &release) -> ProgramOutcome
{
    const MemoryHolder holder{release.upstream, release.upstreamIncarnation};
    m_releases.erase({release.key, holder});
    dropHolderEntry(release.key, holder);
    return {};
}

auto ProgramLedger::applyCommand(GroupTime, const UpstreamRemoved &removal) -> ProgramOutcome
{
    const MemoryHolder holder{removal.upstream, removal.incarnation};
    const auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return {};
    for (const auto &key : found->second) {
        m_releases.erase({key, holder});
        if (const auto program = m_programs.find(key); program != m_programs.end())
            std::erase(program->second.holders, holder);
    }
    m_holders.erase(found);
    return {};
}

auto ProgramLedger::applyCommand(GroupTime now, const Sweep &) -> ProgramOutcome
{
    constexpr Duration kMaxSweepInterval = std::chrono::minutes(10);
    m_buckets.removeIdle(now);
    m_nextSweep = now + kMaxSweepInterval;
    for (auto item = m_programs.begin(); item != m_programs.end();) {
        auto &program = item->second;
        const auto reason = expiryReason(program, now);
        if (!reason.empty())
            end(item->first, program, ProgramStatus::Expired, reason, now);
        const auto isRoot = rootOf(item->first) == item->first;
        const auto isRemovable =
            isRoot ? isPastRetention(program, now) : !m_programs.contains(rootOf(item->first));
        if (isRemovable)
            dropFromIndexes(item->first, program);
        else
            scheduleSweep(nextExpiry(program));
        item = isRemovable ? m_programs.erase(item) : std::next(item);
    }
    return {};
}

auto ProgramLedger::applyCommand(GroupTime now, const limits::AllowanceRequest &request)
    -> ProgramOutcome
{
    ProgramOutcome outcome;
    outcome.allowance = m_buckets.apply(now, request);
    return outcome;
}

auto ProgramLedger::releaseReservation(Program &program, Program &root, CallRecord &record) -> void
{
    root.reserved -= std::exchange(record.reserved, 0);
    if (!program.active.empty() && program.calls.contains(program.active)
        && &program.calls.at(program.active) == &record)
        program.active = CallId();
}

auto ProgramLedger::releaseMemory(const ProgramKey &key, Program &program) -> void
{
    for (const auto &holder : program.holders)
        m_releases.insert({key, holder});
    // A running attempt may still allocate memory at its upstream, so the memory is released again
    // when the attempt ends.
    const auto active = program.calls.find(program.active);
    const auto running = active != program.calls.end() && active->second.kind == CallKind::Model;
    const auto holder = running ? program.holders.back() : MemoryHolder{};
    program.holders.clear();
    if (running)
        program.holders.push_back(holder);
}

auto ProgramLedger::end(const ProgramKey &key, Program &program, ProgramStatus status,
                        std::string reason, GroupTime now) -> void
{
    program.status = status;
    program.endReason = std::move(reason);
    program.lastActivity = now;
    scheduleSweep(nextExpiry(program));
    releaseMemory(key, program);
    if (rootOf(key) != key)
        return;
    const auto prefix = key.program.value + ".";
    for (auto child = m_programs.upper_bound(key); child != m_programs.end(); ++child) {
        if (child->first.customer != key.customer
            || child->first.program.value.substr(0, key.program.value.size()) != key.program.value)
            break;
        if (child->first.program.value.starts_with(prefix)
            && child->second.status == ProgramStatus::Active)
            end(child->first, child->second, status, "the root program ended", now);
    }
}

auto ProgramLedger::expiryReason(const Program &program, GroupTime now) const -> std::string
{
    if (program.status != ProgramStatus::Active)
        return {};
    const auto &limits = program.limits;
    if (limits.lifetime > Duration::zero() && now > program.startedAt + limits.lifetime)
        return "lifetime";
    if (limits.idle > Duration::zero() && now > program.lastActivity + limits.idle
        && program.active.empty())
        return "idle";
    return {};
}

auto to_json(nlohmann::json &json, const ProgramLedger &ledger) -> void
{
    auto programs = nlohmann::json::array();
    for (const auto &[key, program] : ledger.m_programs)
        programs.push_back({key, program});
    json = {{"programs", std::move(programs)},
            {"releases", ledger.m_releases},
            {"buckets", ledger.m_buckets}};
}

auto from_json(const nlohmann::json &json, ProgramLedger &ledger) -> void
{
    ledger.m_programs.clear();
    for (const auto &item : json.at("programs"))
        ledger.m_programs.emplace(item.at(0).get<ProgramKey>(), item.at(1).get<Program>());
    json.at("releases").get_to(ledger.m_releases);
    json.at("buckets").get_to(ledger.m_buckets);
    ledger.rebuildIndexes();
}

} // namespace heathergate::programs
