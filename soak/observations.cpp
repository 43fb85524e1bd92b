#include "observations.h"

#include <algorithm>

namespace heathergate::soak {

namespace {

constexpr int kUnknownKey = 401;

/// Returns whether a status states that the request was not executed and will not be.
auto reportsNotExecuted(int status) -> bool
{
    return status == 429 || status == 503 || status == 408 || status == 421 || status == 402;
}

auto isSuccess(int status) -> bool
{
    return status >= 200 && status < 300;
}

} // namespace

auto Disturbances::isUndisturbed(const std::string &subject, TimePoint from, TimePoint until) const
    -> bool
{
    const auto spans = m_spans.find(subject);
    if (spans == m_spans.end())
        return true;
    return std::none_of(spans->second.begin(), spans->second.end(), [&](const auto &span) {
        return span.first <= until && from <= span.second;
    });
}

auto Observations::issued(IssuedRequest request) -> void
{
    const auto id = request.id;
    m_requests[id].issued = std::move(request);
}

auto Observations::ran(const ObservedRun &run) -> void
{
    const auto request = m_requests.find(run.id);
    if (request == m_requests.end())
        return reportViolation("unknown request", run.id + " at " + run.upstream.value);
    auto &runs = m_runs[run.id];
    runs.push_back(run);
    m_runTimes[run.customer].push_back(run.at);
    checkRun(request->second, run, runs.size());
    checkTimely(request->second, run, runs.size());
    checkToldLeaving(request->second.issued, run);
    checkRefusal(run.id);
}

auto Observations::checkRun(const Request &request, const ObservedRun &run, std::size_t runs)
    -> void
{
    const auto &issued = request.issued;
    if (issued.kind == RequestKind::RunsOnce && runs > 1)
        reportViolation("at most one execution", run.id + " was executed " + std::to_string(runs)
                                                     + " times, last at " + run.upstream.value);
    if (run.method != issued.method || run.target != issued.target)
        reportViolation("request forwarded unchanged",
                        run.id + ": " + run.method + " " + run.target);
    if (run.body != issued.history + issued.body)
        reportViolation(issued.previousTurn.empty() ? "request forwarded unchanged"
                                                    : "history complete and unchanged",
                        run.id + ": " + std::to_string(run.body.size()) + " bytes in place of "
                            + std::to_string(issued.history.size()) + " + "
                            + std::to_string(issued.body.size()) + ", after '" + issued.previousTurn
                            + "'");
    if (run.customer != issued.customer)
        reportViolation("customer matches the key", run.id + " was executed for '" + run.customer
                                                        + "', sent by '" + issued.customer + "'");
    if (run.carriesKey)
        reportViolation("no caller key at upstreams", run.id + " at " + run.upstream.value);
}

auto Observations::checkTimely(const Request &request, const ObservedRun &run, std::size_t runs)
    -> void
{
    const auto &issued = request.issued;
    const auto from = issued.sentAt - Disturbances::kSettlingTime;
    if (!m_disturbances.isUndisturbed(issued.gateway.value, from, run.at)
        || !m_disturbances.isUndisturbed(kControlSubject, from, run.at))
        return;
    const auto withdrawn = m_withdrawn.find(issued.key);
    if (withdrawn != m_withdrawn.end() && issued.sentAt > withdrawn->second + kPropagationLimit)
        reportViolation("withdrawn key refused",
                        run.id + " sent "
                            + std::to_string((issued.sentAt - withdrawn->second).count())
                            + " us after the withdrawal");
    const auto leaving = m_leaving.find(run.upstream);
    if (runs == 1 && leaving != m_leaving.end()
        && issued.sentAt > leaving->second + kPropagationLimit)
        reportViolation("no new work at a leaving upstream",
                        run.id + " reached " + run.upstream.value);
}

auto Observations::checkToldLeaving(const IssuedRequest &issued, const ObservedRun &run) -> void
{
    const auto told = m_toldLeaving.find({issued.gateway, run.upstream});
    if (told == m_toldLeaving.end() || issued.sentAt <= told->second + kPropagationLimit
        || !m_disturbances.isUndisturbed(issued.gateway.value, told->second, run.at))
        return;
    reportViolation("no new work at an upstream that has stated that it leaves",
                    run.id + " reached " + run.upstream.value + " through " + issued.gateway.value);
}

auto Observations::checkRefusal(const std::string &id) -> void
{
    const auto &request = m_requests.at(id);
    if (!request.answer || !m_runs.contains(id))
        return;
    const auto status = request.answer->status;
    const auto mayRepeat = request.issued.kind != RequestKind::RunsOnce && status != 402;
    if (reportsNotExecuted(status) && !mayRepeat)
        reportViolation("refused request not executed",
                        id + " was executed and answered " + std::to_string(status));
}

/// Reports the refusal of a key that is in effect at all instances.
auto Observations::checkDenial(const Request &request) -> void
{
    const auto &issued = request.issued;
    const auto from = issued.sentAt - Disturbances::kSettlingTime;
    const auto given = m_given.find(issued.key);
    const auto isInEffect =
        given != m_given.end() && issued.sentAt > given->second + kPropagationLimit;
    if (isInEffect && !m_withdrawn.contains(issued.key)
        && m_disturbances.isUndisturbed(issued.gateway.value, from, request.answer->at)
        && m_disturbances.isUndisturbed(kControlSubject, from, request.answer->at))
        reportViolation("valid key accepted", issued.id + " at " + issued.gateway.value);
}

auto Observations::versionReceived(const std::string &stream, const std::string &id,
                                   const std::string &version) -> void
{
    const auto [begun, isNew] = m_streamVersions.try_emplace(stream, version);
    if (!isNew && begun->second != version)
        reportViolation("one software version in a stream",
                        id + " resumed " + stream + " of " + begun->second + " at " + version);
}

auto Observations::produced(const std::string &id, const std::string &signature,
                            const std::string &body) -> void
{
    m_produced[id][signature] = body;
}

auto Observations::answered(const ObservedAnswer &answer) -> void
{
    const auto request = m_requests.find(answer.id);
    if (request == m_requests.end())
        return reportViolation("unknown answer", answer.id);
    ++m_byStatus[answer.complete ? answer.status : 0];
    request->second.answer = answer;
    if (!answer.leaving.empty())
        m_toldLeaving.try_emplace({request->second.issued.gateway, answer.leaving}, answer.at);
    checkRefusal(answer.id);
    if (answer.status == kUnknownKey)
        checkDenial(request->second);
    if (!answer.complete || !isSuccess(answer.status))
        return;
    const auto produced = m_produced.find(answer.id);
    const auto known = produced == m_produced.end() ? std::map<std::string, std::string>::iterator{}
                                                    : produced->second.find(answer.signature);
    if (produced == m_produced.end() || known == produced->second.end())
        return reportViolation("complete answer of the request",
                               answer.id + " has the signature '" + answer.signature + "'");
    if (request->second.issued.kind != RequestKind::Turn && known->second != answer.body)
        reportViolation("complete answer of the request",
                        answer.id + " got " + std::to_string(answer.body.size()) + " bytes of "
                            + std::to_string(known->second.size()));
}

auto Observations::eventReceived(const std::string &id, std::uint64_t last, std::uint64_t event,
                                 const std::string &data, const std::string &expected) -> void
{
    if (event != last + 1)
        reportViolation("events in order",
                        id + ": " + std::to_string(event) + " after " + std::to_string(last));
    if (data != expected)
        reportViolation("events of the request", id + ": " + data);
}

auto Observations::turnDenied(const std::string &id, const std::string &previousTurn) -> void
{
    reportViolation("history kept", id + ": turn '" + previousTurn + "' was denied");
}

auto Observations::streamTruncated(const std::string &id, std::uint64_t events) -> void
{
    reportViolation("truncated stream not reported as complete",
                    id + " ended after event " + std::to_string(events));
}

auto Observations::interruptedByGracefulStop(const std::string &id, const InstanceId &gateway)
    -> void
{
    reportViolation("graceful stop interrupts no request", id + " at " + gateway.value);
}

auto Observations::tokensReceived(const std::string &program, std::int64_t tokens,
                                  std::int64_t allowed) -> void
{
    auto &sum = m_tokens[program];
    const auto before = sum;
    sum += tokens;
    if (sum > allowed && before <= allowed)
        reportViolation("token budget",
                        program + " got " + std::to_string(sum) + " of " + std::to_string(allowed));
}

auto Observations::configurationAcknowledged(std::uint64_t version, TimePoint at) -> void
{
    m_acknowledged.try_emplace(version, at);
}

auto Observations::configurationRead(TimePoint sentAt, std::uint64_t version,
                                     const std::string &document) -> void
{
    const auto sent = m_sent.find(version);
    if (sent == m_sent.end() || sent->second != document)
        reportViolation("configuration unchanged", "version " + std::to_string(version));
    for (const auto &[newer, at] : m_acknowledged) {
        if (newer > version && at + kPropagationLimit < sentAt)
            return reportViolation("configuration version never decreases",
                                   "read " + std::to_string(version) + " after "
                                       + std::to_string(newer));
    }
}

auto Observations::finish() -> void
{
    for (auto &[customer, times] : m_runTimes) {
        const auto limit = m_limits.find(customer);
        if (limit == m_limits.end() || limit->second.ratePerSecond <= 0)
            continue;
        const auto window = std::chrono::duration<double>(kRateWindow).count();
        const auto maxRuns =
            (limit->second.ratePerSecond * window + limit->second.burst) * (1 + kRateTolerance)
            + kRateSlack;
        std::sort(times.begin(), times.end());
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > kRateWindow)
                ++first;
            if (static_cast<double>(last - first + 1) <= maxRuns)
                continue;
            reportViolation("rate and burst", customer + " ran " + std::to_string(last - first + 1)
                                                  + " requests in a window, limit "
                                                  + std::to_string(maxRuns));
            break;
        }
    }
}

} // namespace heathergate::soak
