#pragma once

#include <heathergate/wire/wire.h>

#include <functional>

namespace heathergate::daemon {

/// Sends requests to the leaders of groups, wherever they are: finds the leader, tries again after
/// lost messages and changes of leader, and gives up at the deadline. Commands may reach a group
/// more than once, so they must be idempotent.
class GroupClient
{
public:
    /// Called with the reply's body, or with the error that the group or the client gave.
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
    /// Takes in a reply.
    auto receive(TimePoint now, const InstanceId &from, const wire::Reply &reply) -> void;
    /// Lets time pass.
    auto tick(TimePoint now) -> void;
    /// Returns the instance that is thought to lead a group.
    [[nodiscard]] auto leaderOf(GroupId group) -> InstanceId;
    /// Moves on to another host after a silent one.
    auto suspectLeader(GroupId group) -> void;
    /// Notes a leader learnt elsewhere.
    auto setLeader(GroupId group, const InstanceId &leader) -> void;

    /// Returns and forgets the messages to send.
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
    /// Starts at random, so that an answer to a former incarnation's request matches none.
    std::uint64_t m_lastId;
    std::vector<std::pair<InstanceId, wire::PeerMessage>> m_messages;
};

} // namespace heathergate::daemon
