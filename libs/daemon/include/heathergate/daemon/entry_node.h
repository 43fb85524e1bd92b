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

/// The role that every instance has: it serves callers, operators and announcing upstreams. A
/// state machine without I/O; all it holds can be lost.
class EntryNode
{
public:
    /// Creates a node. `settings` must outlive it; `bootId` is chosen anew at each start.
    EntryNode(const Settings &settings, std::uint64_t bootId, Random random);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    auto operator=(const EntryNode &) -> EntryNode & = delete;

    /// Takes in a request; its answer comes as effects for `token`.
    auto httpRequest(TimePoint now, http::Token token, const http::Request &request) -> void;
    /// Says that the sender of a request is gone.
    auto httpClosed(TimePoint now, http::Token token) -> void;
    /// Takes in an event of a request to an upstream.
    auto upstreamEvent(TimePoint now, const http::ClientEvent &event) -> void;
    /// Takes in a message of another instance, or of the disk role of this one.
    auto peerMessage(TimePoint now, const InstanceId &from, const wire::PeerMessage &message)
        -> void;
    /// Lets time pass.
    auto tick(TimePoint now) -> void;
    /// Starts leaving the fleet: the directory no longer names this instance.
    auto drain(TimePoint now) -> void;
    /// Returns whether the instance has left: nobody learns its address any more and nothing is
    /// under way.
    [[nodiscard]] auto isDrained(TimePoint now) const -> bool;
    /// Says goodbye to the fleet.
    auto leave(TimePoint now) -> void;

    /// Returns and forgets the effects.
    [[nodiscard]] auto takeEffects() -> std::vector<Effect>;
    /// Returns the latest time by which `tick` has to be called.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;
    /// Returns where another instance listens for its peers, as the control state says.
    [[nodiscard]] auto peerAddress(const InstanceId &id) const -> std::optional<Endpoint>;
    /// Returns the revision of the control state in force here.
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
    std::optional<TimePoint> m_drainedAt;
};

} // namespace heathergate::daemon
