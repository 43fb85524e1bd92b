#include <heathergate/replay/fleet_backend.h>

namespace heathergate::replay {

namespace {

auto names(const char *prefix, int count) -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (int i = 0; i < count; ++i)
        out.push_back(prefix + std::to_string(i));
    return out;
}

auto engineSettings(const TraceFleet &sizes) -> FakeEngineSettings
{
    FakeEngineSettings settings;
    settings.slots = sizes.slots;
    settings.tokenTime = Duration(sizes.tokenMicros);
    settings.tokenSlope = Duration(sizes.slopeMicros);
    settings.prefillTime = Duration(sizes.prefillMicros);
    settings.cacheTokens = sizes.cacheTokens;
    return settings;
}

} // namespace

FleetBackend::FleetBackend(const Trace &trace, std::uint64_t seed)
    : m_sizes(trace.fleet)
    , m_fleet(seed, names("disk-", trace.fleet.disks), names("entry-", trace.fleet.entries))
{
    for (const auto &name : names("engine-", m_sizes.engines)) {
        auto &engine = m_fleet.addEngine(name, engineSettings(m_sizes));
        engine.recordsRequests = false;
    }
    for (const auto &name : names("service-", m_sizes.services))
        m_fleet.addService(name).recordsRequests = false;
    static_cast<void>(m_fleet.start());
    for (const auto &customer : trace.customers)
        m_keys[customer.name] = m_fleet.addCustomer(customer.name, customer.rate, customer.burst,
                                                    customer.budget, customer.priority);
}

auto FleetBackend::run(Duration time) -> void
{
    m_fleet.run(time);
    for (const auto &[id, target] : m_fleet.targets()) {
        if (!target.engine || target.isDown)
            continue;
        m_busySlots += std::min(target.slots, target.engine->requests());
        m_slotSteps += target.slots;
    }
}

auto FleetBackend::startProgram(const TraceProgram &program) -> void
{
    nlohmann::json body{{"id", program.name}, {"budget", program.budget}};
    if (program.maxTurns > 0)
        body["max_turns"] = program.maxTurns;
    m_fleet.send(entryFor(program.name, 0),
                 Fleet::callerRequest(m_keys.at(program.customer), "POST", "/v1/programs", body));
    // The program is started through two instances, because the first one may have crashed.
    m_fleet.send(entryFor(program.name, 1),
                 Fleet::callerRequest(m_keys.at(program.customer), "POST", "/v1/programs", body));
}

auto FleetBackend::submit(const ReplayCall &call, int tries) -> Ticket
{
    const auto &key = m_keys.at(call.customer);
    http::Request request;
    if (call.service.empty()) {
        auto messages = nlohmann::json::array();
        if (!call.system.empty())
            messages.push_back({{"role", "system"}, {"content", call.system}});
        messages.push_back({{"role", "user"}, {"content", call.model}});
        request = Fleet::callerRequest(
            key, "POST", "/v1/chat/completions",
            {{"model", "quill"}, {"max_tokens", call.tokens}, {"messages", std::move(messages)}});
    } else {
        request = Fleet::callerRequest(key, "POST", "/v1/services/registrar/" + call.service,
                                       {{"program", call.program}});
    }
    request.headers["x-program-id"] = call.program;
    request.headers["idempotency-key"] = call.idempotencyKey;
    return m_fleet.send(entryFor(call.program, tries), request);
}

auto FleetBackend::answer(Ticket ticket) -> std::optional<ReplayAnswer>
{
    const auto &received = m_fleet.received(ticket);
    if (!received.ended)
        return std::nullopt;
    const auto code = static_cast<Code>(received.code());
    ReplayAnswer answer;
    answer.success = received.status == 200;
    answer.overRate = code == Code::RateExceeded;
    answer.limited =
        code == Code::TurnLimit || code == Code::BudgetExhausted || code == Code::ProgramEnded;
    answer.unknown = code == Code::OutcomeUnknown;
    return answer;
}

auto FleetBackend::inject(const TraceFailure &failure) -> void
{
    const auto &target = failure.target;
    if (failure.what == "kill-engine")
        m_fleet.crashTarget(target);
    else if (failure.what == "revive-engine")
        m_fleet.restartTarget(target);
    else if (failure.what == "silence-engine")
        m_fleet.target(target).isUnresponsive = true;
    else if (failure.what == "kill-instance")
        m_fleet.crash(target);
    else if (failure.what == "restart-instance")
        m_fleet.restart(target);
    else if (failure.what == "freeze-instance")
        m_fleet.setSuspended(target, true);
    else if (failure.what == "thaw-instance")
        m_fleet.setSuspended(target, false);
    else if (failure.what == "cut-instance")
        m_fleet.setIsolated(target, true);
    else if (failure.what == "heal-instance")
        m_fleet.setIsolated(target, false);
}

auto FleetBackend::computedPromptTokens() -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &[id, target] : m_fleet.targets())
        sum += target.engine ? target.engine->computedPromptTokens() : 0;
    return sum;
}

auto FleetBackend::occupancy() -> double
{
    return m_slotSteps == 0 ? 0 : m_busySlots / m_slotSteps;
}

auto FleetBackend::violations() -> std::vector<std::string>
{
    std::map<std::string, int> runs;
    for (const auto &[id, target] : m_fleet.targets()) {
        for (const auto &[key, count] : target.runs)
            runs[key] += count;
    }
    std::vector<std::string> violations;
    for (const auto &[key, count] : runs) {
        if (count > 1)
            violations.push_back("services executed one idempotency key " + std::to_string(count)
                                 + " times");
    }
    return violations;
}

auto FleetBackend::entryFor(const std::string &program, int tries) const -> std::string
{
    const auto start = hash64(program) + static_cast<std::uint64_t>(tries);
    return "entry-" + std::to_string(start % static_cast<std::uint64_t>(m_sizes.entries));
}

} // namespace heathergate::replay
