#include <heathergate/fleet/gateway.h>
#include <heathergate/fleet/history_set.h>

/// Histories in the gateway: reads the earlier turns of a request before it is placed, and stores
/// its turn before the response ends.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Maximum time for which a request waits for its earlier turns.
constexpr Duration kReadTimeout = std::chrono::milliseconds(1200);
/// Retry delay for a caller whose earlier turns cannot be read now.
constexpr Duration kHistoryRetryAfter = std::chrono::milliseconds(200);

} // namespace

auto Gateway::announceReplicas(TimePoint now, const fb::FeedT &message) -> void
{
    if (!message.histories)
        return;
    m_history.setReplicas(now, replicaSetOf(*message.histories));
    takeHistoryOutput(now);
}

auto Gateway::readHistory(TimePoint now, Call &call) -> void
{
    call.phase = Phase::Reading;
    m_history.read(now, call.request.token, {call.customer, call.request.previousTurn},
                   std::min(call.startBy, now + kReadTimeout));
    takeHistoryOutput(now);
}

auto Gateway::storeTurn(TimePoint now, Call &call) -> void
{
    // The engine has finished, so that its slot is free and the budget is settled.
    reportOutcome(now, call, AttemptOutcome::Answered, true);
    call.settledByLeader = true;
    m_byAttempt.erase(call.attempt);
    if (std::exchange(call.delivered, Delivery::Events) == Delivery::Nothing)
        m_effects.emplace_back(ForwardHead{call.request.token, call.attempt});
    call.phase = Phase::Storing;
    history::Turn turn;
    turn.key = {call.customer, history::TurnId(call.request.name)};
    turn.previous = call.request.previousTurn;
    turn.input = call.request.body ? *call.request.body : std::string();
    turn.output = std::move(call.output);
    turn.retention = call.retention;
    m_history.write(now, call.request.token, std::move(turn), call.history, call.deadline);
    takeHistoryOutput(now);
}

auto Gateway::turnStored(TimePoint now, Call &call, bool isDurable) -> void
{
    // Without its turn, the response must not look complete.
    m_effects.emplace_back(EndResponse{call.request.token, isDurable});
    finish(now, call, AttemptOutcome::Answered, isDurable ? "answered" : "turn_not_stored");
}

auto Gateway::takeHistoryOutput(TimePoint now) -> void
{
    for (auto &out : m_history.takeMessages())
        m_effects.emplace_back(PeerOut{out.to, PeerFrame(std::move(out.message))});
    if (m_history.takeStaleReport())
        m_link.requestPresenceNow(now); // The answer of the leader names the current replicas.
    for (auto &result : m_history.takeResults()) {
        const auto found = m_calls.find(result.ticket);
        if (found == m_calls.end())
            continue;
        auto &call = found->second;
        using history::ClientOutcome;
        const auto outcome = result.outcome;
        m_log.add(now,
                  outcome == ClientOutcome::Found || outcome == ClientOutcome::Stored
                      ? LogImportance::Routine
                      : LogImportance::Important,
                  "history", call.phase == Phase::Storing ? "write" : "read",
                  {{"request", call.request.name},
                   {"previous", call.request.previousTurn.value},
                   {"outcome", static_cast<int>(outcome)},
                   {"bytes", result.chain ? result.chain->size() : 0},
                   {"replicas_version", m_history.replicas().version},
                   {"total_ms", now - call.arrivedAt}});
        if (call.phase == Phase::Storing) {
            turnStored(now, call, outcome == ClientOutcome::Stored);
        } else if (outcome == ClientOutcome::Found) {
            call.history = std::move(result.chain);
            submit(now, call);
        } else {
            call.settledByLeader = true; // It was not submitted.
            refuse(now, call, AttemptOutcome::Cancelled,
                   outcome == ClientOutcome::Absent
                       ? Error{Code::UnknownTurn, "no such turn of this customer", Ran::No, {}}
                       : Error{Code::HistoryUnavailable, "the earlier turns cannot be read now",
                               Ran::No, kHistoryRetryAfter});
        }
    }
}

} // namespace heathergate::fleet
