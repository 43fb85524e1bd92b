#pragma once

#include <heathergate/wire/wire.h>

#include <functional>

namespace heathergate::daemon {

/// Sends requests to the leaders of groups. It locates the leader, retries after lost messages and
/// leader changes, and fails the request at its deadline. Commands may reach a group more than
/// once, so they must be idempotent.
class GroupClient
{
public:
    /// Called with the reply's body, or with the error of the group or of this client.
    using Callback = std::function<void(TimePoint, Result<std::string>)>;

    GroupClient(std::vector<InstanceId> hosts, Random random)
        : m_hosts(std::move(hosts))
        , m_random(random)
        , m_lastId(m_random.next() >> 1)
    {
    }

    /// Sends a request to the leader of `group`.
    auto call(TimePoint now, GroupId group, wire::RequestKind kind, std::string body,
              TimePoint deadline, Callback callback) -> void;
    /// Handles a reply.
    auto receive(TimePoint now, const InstanceId &from, const wire::Reply &reply) -> void;
    /// Resends requests without a reply and fails those whose deadline has passed.
    auto tick(TimePoint now) -> void;
    /// Returns the instance that is assumed to lead a group.
    [[nodiscard]] auto leaderOf(GroupId group) -> InstanceId;
    /// Assumes the next host as the leader after the current one did not respond.
    auto suspectLeader(GroupId group) -> void;
    /// Sets a leader that was found by other means.
    auto setLeader(GroupId group, const InstanceId &leader) -> void;

    /// Moves out the messages to send.
    [[nodiscard]] auto takeMessages() -> std::vector<std::pair<InstanceId, wire::PeerMessage>>
    {
        return std::exchange(m_messages, {});
    }
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

private:
    struct Pending
    {
        wire::Request request;
        TimePoint deadline{};
        TimePoint retryAt{};
        InstanceId sentTo;
        bool awaitsReply = false;
        Callback callback;
    };

    auto send(TimePoint now, Pending &pending) -> void;

    std::vector<InstanceId> m_hosts;
    Random m_random;
    std::map<GroupId, InstanceId> m_leaders;
    std::map<std::uint64_t, Pending> m_pending;
    /// Starts at a random number, so that a reply to a request of an earlier incarnation matches no
    /// pending request.
    std::uint64_t m_lastId;
    std::vector<std::pair<InstanceId, wire::PeerMessage>> m_messages;
};

} // namespace heathergate::daemon
