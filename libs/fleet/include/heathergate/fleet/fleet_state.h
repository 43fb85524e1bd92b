#pragma once

#include <heathergate/fleet/configuration.h>
#include <heathergate/fleet/messages.h>

#include <deque>
#include <set>

namespace heathergate::fleet {

/// Key of a program's budget: its customer and its identifier.
using ProgramKey = std::string;

/// Identifies one admission over the whole fleet and all incarnations.
using RequestId = std::uint64_t;

/// An upstream as the fleet knows it.
struct UpstreamRecord
{
    UpstreamId id;
    ServiceId service;
    Endpoint address;
    FailureDomainId domain;
    /// Requests that it works on at the same time.
    int slots = 1;
    UpstreamPhase phase = UpstreamPhase::Ready;
    /// Start of the incarnation, on the upstream's own clock.
    std::chrono::milliseconds startedAt{};
    /// Number of the last heartbeat that changed this record.
    std::uint64_t sequence = 0;
    /// When the upstream left or was found gone.
    GroupTime goneAt{};
};

/// What a program may still generate. A reservation counts in full until it is settled, so the
/// budget holds whatever is lost on the way.
struct ProgramBudget
{
    std::int64_t spent = 0;
    std::map<RequestId, std::int64_t> outstanding;
    GroupTime usedAt{};

    [[nodiscard]] auto reserved() const -> std::int64_t;
};

/// Requests of a customer that were let through up to a time, since the entry before.
struct CustomerUse
{
    GroupTime at{};
    std::uint32_t count = 0;
};

/// Outcome of a reservation.
struct ReserveOutcome
{
    RequestId request = 0;
    bool granted = false;
};

/// The state that every control instance holds, changed only by committed commands: the
/// configuration in force, the upstreams, the budgets of programs, what customers used of their
/// limits lately, and the instances that are being emptied.
class FleetState
{
public:
    /// Applies the commands of one log entry. Returns the outcomes of its reservations.
    auto apply(GroupTime now, const fb::CommandBatchT &batch) -> std::vector<ReserveOutcome>;

    /// Returns the configuration in force.
    [[nodiscard]] auto configuration() const -> const ActiveConfiguration &
    {
        return m_configuration;
    }
    /// Returns the configuration as instances exchange it; empty while there is none.
    [[nodiscard]] auto configurationContent() const -> const std::string &
    {
        return m_content;
    }
    /// Returns the configuration as the operator sent it.
    [[nodiscard]] auto configurationDocument() const -> const std::string &
    {
        return m_document;
    }
    [[nodiscard]] auto upstreams() const -> const std::map<UpstreamId, UpstreamRecord> &
    {
        return m_upstreams;
    }
    /// Counts changes of the upstreams.
    [[nodiscard]] auto upstreamChanges() const -> std::uint64_t
    {
        return m_upstreamChanges;
    }
    [[nodiscard]] auto budgets() const -> const std::unordered_map<ProgramKey, ProgramBudget> &
    {
        return m_budgets;
    }
    /// Returns what customers used of their limits within the last `kUsageRetention`.
    [[nodiscard]] auto usage() const
        -> const std::unordered_map<CustomerId, std::deque<CustomerUse>> &
    {
        return m_usage;
    }
    /// Longest window of a limit that a new leader can know.
    static constexpr GroupTime kUsageRetention = std::chrono::seconds(15);
    [[nodiscard]] auto retiring() const -> const std::set<InstanceId> &
    {
        return m_retiring;
    }

    /// Returns the whole state for a snapshot.
    [[nodiscard]] auto snapshot() const -> std::string;
    /// Replaces the state by a snapshot's. Fails with `Code::BadFrame`.
    [[nodiscard]] auto restore(std::string_view bytes) -> Result<void>;

private:
    [[nodiscard]] auto reserve(GroupTime now, const fb::ReserveT &command) -> bool;
    auto settle(GroupTime now, const fb::SettleT &command) -> void;
    auto setConfiguration(const fb::SetConfigurationT &command) -> void;
    auto setUpstream(GroupTime now, const fb::UpstreamT &upstream) -> void;
    auto noteUse(GroupTime now, const fb::CustomerUseT &used) -> void;
    auto forgetOld(GroupTime now) -> void;

    ActiveConfiguration m_configuration;
    std::string m_content;
    std::string m_document;
    std::map<UpstreamId, UpstreamRecord> m_upstreams;
    std::uint64_t m_upstreamChanges = 0;
    std::unordered_map<ProgramKey, ProgramBudget> m_budgets;
    std::unordered_map<CustomerId, std::deque<CustomerUse>> m_usage;
    std::set<InstanceId> m_retiring;
    GroupTime m_lastSweep{};
    std::chrono::microseconds m_retention{};
};

/// Returns the exchanged form of an upstream.
[[nodiscard]] auto toTable(const UpstreamRecord &record) -> fb::UpstreamT;
/// Reads an upstream's exchanged form.
[[nodiscard]] auto fromTable(const fb::UpstreamT &table) -> UpstreamRecord;

} // namespace heathergate::fleet
