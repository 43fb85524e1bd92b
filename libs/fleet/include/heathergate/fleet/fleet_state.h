#pragma once

#include <heathergate/fleet/configuration_change.h>
#include <heathergate/fleet/messages.h>
#include <heathergate/fleet/stream_origins.h>

#include <deque>
#include <set>

namespace heathergate::fleet {

/// Key of a program's budget: its customer and its identifier.
using ProgramKey = std::string;

/// Identifies one admission across the whole fleet and all incarnations.
using RequestId = std::uint64_t;

/// Replicated record of an upstream.
struct UpstreamRecord
{
    UpstreamId id;
    ServiceId service;
    Endpoint address;
    FailureDomainId domain;
    /// Number of requests that it runs concurrently.
    int slots = 1;
    UpstreamPhase phase = UpstreamPhase::Ready;
    /// Version of its software; empty if it is not known.
    std::string softwareVersion;
    /// Start time of the incarnation, on the upstream's own clock.
    std::chrono::milliseconds startedAt{};
    /// Sequence number of the last heartbeat that changed this record.
    std::uint64_t sequence = 0;
    /// Time of the last change of this record. Once the upstream is removed, this is the time of
    /// its removal, from which the retention of the record counts.
    GroupTime changedAt{};
};

/// Token budget of a program. A reservation counts in full until it is settled, so that the budget
/// is not exceeded even if a completion is lost.
struct ProgramBudget
{
    std::int64_t spent = 0;
    std::map<RequestId, std::int64_t> outstanding;
    GroupTime usedAt{};

    [[nodiscard]] auto reserved() const -> std::int64_t;
};

/// Number of a customer's requests that were admitted between the previous entry and this time.
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

/// A request whose use of its customer's limit is recorded.
struct RecordedRequest
{
    RequestId request = 0;
    /// Time of the record.
    GroupTime at{};
};

/// What the commands of one log entry led to.
struct AppliedBatch
{
    std::vector<ReserveOutcome> reservations;
    /// Why a configuration was not applied.
    std::optional<Error> configurationError;
};

/// The replicated state of every control instance, changed only by committed commands: the active
/// configuration, the upstreams, the budgets of programs, the recent use of customers' limits, the
/// origins of streams, the instances that are being retired, and the evacuated failure domains.
class FleetState
{
public:
    /// Applies the commands of one log entry.
    auto apply(GroupTime now, const fb::CommandBatchT &batch) -> AppliedBatch;
    /// Returns the command that replaces the active configuration. Its size follows that of the
    /// difference.
    [[nodiscard]] auto commandFor(const Configuration &configuration,
                                  const std::string &document) const -> fb::SetConfigurationT;

    /// Returns the active configuration.
    [[nodiscard]] auto configuration() const -> const ActiveConfiguration &
    {
        return m_configuration;
    }
    /// Returns the change that leads from a version, 0 for none, to the active configuration.
    [[nodiscard]] auto changeSince(std::uint64_t version) const -> ConfigurationChange
    {
        return m_history.since(version, m_configuration);
    }
    /// Returns the configuration in the format in which the operator sent it.
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
    /// Returns whether a program has generated tokens or has a reservation, apart from that of
    /// `request`.
    [[nodiscard]] auto hasStarted(const ProgramKey &program, RequestId request) const -> bool;
    /// Returns the admitted requests of each customer within the last `kUsageRetention`.
    [[nodiscard]] auto usage() const
        -> const std::unordered_map<CustomerId, std::deque<CustomerUse>> &
    {
        return m_usage;
    }
    /// Returns the recently admitted requests whose use is recorded, the oldest first.
    [[nodiscard]] auto recordedRequests() const -> const std::deque<RecordedRequest> &
    {
        return m_recordedRequests;
    }
    /// A request whose responses were broken off, and the time of the last failure.
    struct FailedRequest
    {
        int failures = 0;
        GroupTime at{};
    };
    /// Returns the requests whose responses were broken off recently, by their fingerprints.
    [[nodiscard]] auto failedRequests() const
        -> const std::unordered_map<std::uint64_t, FailedRequest> &
    {
        return m_failedRequests;
    }
    /// Time for which usage is retained; the maximum quota window that a new leader can restore.
    static constexpr GroupTime kUsageRetention = std::chrono::seconds(15);
    /// Returns which software versions began the recent streams.
    [[nodiscard]] auto streams() const -> const StreamOrigins &
    {
        return m_streams;
    }
    [[nodiscard]] auto retiring() const -> const std::set<InstanceId> &
    {
        return m_retiring;
    }
    /// Returns the failure domains whose upstreams receive no requests.
    [[nodiscard]] auto evacuated() const -> const std::set<FailureDomainId> &
    {
        return m_evacuated;
    }
    /// Returns whether an order to evacuate a failure domain, or to end that, has been applied.
    [[nodiscard]] auto wasEvacuated(const FailureDomainId &domain) const -> bool
    {
        return m_evacuatedBefore.contains(domain);
    }

    /// Returns the complete state in serialized form.
    [[nodiscard]] auto snapshot() const -> std::string;
    /// Replaces the state with that of a snapshot. Fails with `Code::BadFrame`.
    [[nodiscard]] auto restore(std::string_view bytes) -> Result<void>;

private:
    [[nodiscard]] auto reserve(GroupTime now, const fb::ReserveT &command) -> bool;
    auto settle(GroupTime now, const fb::SettleT &command) -> void;
    /// Fails with `Code::BadFrame` or, if the base is not the active version, `Code::OutOfOrder`.
    [[nodiscard]] auto setConfiguration(const fb::SetConfigurationT &command) -> Result<void>;
    [[nodiscard]] auto activate(const ConfigurationChange &change, std::string document)
        -> Result<void>;
    auto setEvacuation(const fb::SetEvacuationT &command) -> void;
    auto setUpstream(GroupTime now, const fb::UpstreamT &upstream) -> void;
    /// Notes which software versions the upstreams of a service have.
    auto updateServingVersions(GroupTime now, const ServiceId &service) -> void;
    auto recordFailures(GroupTime now, const fb::RecordFailuresT &command) -> void;
    auto recordUsage(GroupTime now, const fb::CustomerUseT &used) -> void;
    auto removeExpired(GroupTime now) -> void;

    ActiveConfiguration m_configuration;
    ConfigurationHistory m_history;
    std::string m_document;
    std::map<UpstreamId, UpstreamRecord> m_upstreams;
    std::uint64_t m_upstreamChanges = 0;
    std::unordered_map<ProgramKey, ProgramBudget> m_budgets;
    std::unordered_map<CustomerId, std::deque<CustomerUse>> m_usage;
    std::deque<RecordedRequest> m_recordedRequests;
    std::unordered_map<std::uint64_t, FailedRequest> m_failedRequests;
    StreamOrigins m_streams;
    std::set<InstanceId> m_retiring;
    std::set<FailureDomainId> m_evacuated;
    std::set<FailureDomainId> m_evacuatedBefore;
    GroupTime m_lastSweep{};
    std::chrono::microseconds m_retention{};
};

/// Converts an upstream's record to its FlatBuffers table.
[[nodiscard]] auto toTable(const UpstreamRecord &record) -> fb::UpstreamT;
/// Converts a FlatBuffers table to an upstream's record.
[[nodiscard]] auto fromTable(const fb::UpstreamT &table) -> UpstreamRecord;

} // namespace heathergate::fleet
