#pragma once

#include <heathergate/daemon/effects.h>
#include <heathergate/daemon/settings.h>

#include <memory>

namespace heathergate::daemon {

namespace internal {
struct EntryContext;
class CallRunner;
class CallerApi;
class OperatorApi;
class UpstreamApi;
} // namespace internal

/// The entry role of an instance, which serves callers, operators and announcing upstreams. It is
/// a state machine without I/O and has no durable state.
class EntryNode
{
public:
    /// Creates a node. `settings` must outlive it; `bootId` is unique to each start of the process.
    EntryNode(const Settings &settings, std::uint64_t bootId, Random random);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    auto operator=(const EntryNode &) -> EntryNode & = delete;

    /// Handles a request; the response is produced as effects for `token`.
    auto httpRequest(TimePoint now, http::Token token, const http::Request &request) -> void;
    /// Handles the disconnection of the sender of a request.
    auto httpClosed(TimePoint now, http::Token token) -> void;
    /// Handles an event of a request to an upstream.
    auto upstreamEvent(TimePoint now, const http::ClientEvent &event) -> void;
    /// Handles a message from another instance, or from the replica host of this one.
    auto peerMessage(TimePoint now, const InstanceId &from, const wire::PeerMessage &message)
        -> void;
    /// Runs the timers that are due.
    auto tick(TimePoint now) -> void;
    /// Starts to drain: the directory no longer lists this instance.
    auto drain(TimePoint now) -> void;
    /// Returns whether the drain is complete: no directory lists the address any more and no call
    /// is in progress.
    [[nodiscard]] auto isDrained(TimePoint now) const -> bool;
    /// Deregisters the instance from the fleet.
    auto leave(TimePoint now) -> void;

    /// Moves out the effects.
    [[nodiscard]] auto takeEffects() -> std::vector<Effect>;
    /// Returns the latest time by which `tick` has to be called.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;
    /// Returns the peer address of another instance, from the settings or the control state.
    [[nodiscard]] auto peerAddress(const InstanceId &id) const -> std::optional<Endpoint>;
    /// Returns the revision of the control state that is applied here.
    [[nodiscard]] auto revision() const -> control::Revision;
    /// Returns whether requests can be admitted.
    [[nodiscard]] auto isReady(TimePoint now) const -> bool;

private:
    auto feedReceived(TimePoint now, const InstanceId &from, const wire::FeedMessage &message)
        -> void;
    auto applyInstanceLoads(const wire::FeedMessage &message) -> void;
    auto follow(TimePoint now) -> void;
    auto join(TimePoint now) -> void;
    auto checkMembership(TimePoint now) -> void;
    auto checkFreshness(TimePoint now) -> void;
    auto health(TimePoint now, http::Token token, bool readiness) -> void;

    const Settings &m_settings;
    std::unique_ptr<internal::EntryContext> m_context;
    std::unique_ptr<internal::CallRunner> m_runner;
    std::unique_ptr<internal::CallerApi> m_callerApi;
    std::unique_ptr<internal::OperatorApi> m_operatorApi;
    std::unique_ptr<internal::UpstreamApi> m_upstreamApi;
    TimePoint m_nextFollow{};
    TimePoint m_lastControlReplyAt{};
    bool m_joining = false;
    bool m_wasFresh = false;
    /// Time from which no caller uses a directory answer that lists this instance; set when the
    /// drain starts.
    std::optional<TimePoint> m_drainedAt;
};

} // namespace heathergate::daemon
