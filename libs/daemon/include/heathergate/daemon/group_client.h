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
    void call(TimePoint now, GroupId group, wire::RequestKind kind, std::string body,
              TimePoint deadline, Callback callback);
    /// Takes in a reply.
    void receive(TimePoint now, const InstanceId &from, const wire::Reply &reply);
    /// Lets time pass.
    void tick(TimePoint now);
    /// Returns the instance that is thought to lead a group.
    [[nodiscard]] auto leaderOf(GroupId group) -> InstanceId;
    /// Moves on to another host after a silent one.
    void suspectLeader(GroupId group);
    /// Notes a leader learnt elsewhere.
    void setLeader(GroupId group, const InstanceId &leader);

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

    void send(TimePoint now, Pending &pending);

    std::vector<InstanceId> m_hosts;
    Random m_random;
    std::map<GroupId, InstanceId> m_leaders;
    std::map<std::uint64_t, Pending> m_pending;
    /// Starts at random, so that an answer to a former incarnation's request matches none.
    std::uint64_t m_lastId;
    std::vector<std::pair<InstanceId, wire::PeerMessage>> m_messages;
};

} // namespace heathergate::daemon
