#pragma once

#include <heathergate/control/commands.h>

#include <deque>

namespace heathergate::control {

/// Number of crashes of distinct upstream incarnations after which a request is refused.
constexpr std::size_t kPoisonCrashes = 2;

/// The replicated control state, a deterministic function of the control log. Disk instances apply
/// the log itself; the other instances receive the same entries in feeds.
class ControlState
{
public:
    /// Applies the command at position `revision`, which was proposed at group time `time`. If
    /// the outcome of a command with the same edit id is cached, that outcome is returned instead.
    auto apply(Revision revision, GroupTime time, const ControlCommand &command) -> ControlOutcome;

    /// Advances to a position whose entry contains no command.
    auto skip(Revision revision) -> void
    {
        m_revision = revision;
    }

    [[nodiscard]] auto revision() const -> Revision
    {
        return m_revision;
    }

    [[nodiscard]] auto rows() const -> const std::map<CustomerId, TableRow> &
    {
        return m_rows;
    }
    /// Returns the row of a customer; null if there is none.
    [[nodiscard]] auto row(const CustomerId &customer) const -> const TableRow *;
    /// Returns the record of the key with this keyed hash; null if it is unknown or revoked.
    [[nodiscard]] auto key(const std::string &keyHash) const -> const KeyRecord *;
    [[nodiscard]] auto keys() const -> const std::map<std::string, KeyRecord> &
    {
        return m_keys;
    }
    [[nodiscard]] auto upstreams() const -> const std::map<UpstreamId, UpstreamRecord> &
    {
        return m_upstreams;
    }
    [[nodiscard]] auto instances() const -> const std::map<InstanceId, InstanceRecord> &
    {
        return m_instances;
    }
    [[nodiscard]] auto orders() const -> const std::map<std::uint64_t, OrderRecord> &
    {
        return m_orders;
    }
    [[nodiscard]] auto roleLeases() const -> const std::map<std::string, RoleLease> &
    {
        return m_roleLeases;
    }
    [[nodiscard]] auto replacements() const -> const std::vector<ReplacementRecord> &
    {
        return m_replacements;
    }
    /// Returns whether requests with this fingerprint are refused in the entire fleet.
    [[nodiscard]] auto isPoison(const std::string &fingerprint) const -> bool;
    /// Returns whether a request with this fingerprint was running when an upstream crashed and has
    /// neither been cleared nor expired since.
    [[nodiscard]] auto isSuspect(const std::string &fingerprint) const -> bool;

    friend auto to_json(nlohmann::json &json, const ControlState &state) -> void;
    friend auto from_json(const nlohmann::json &json, ControlState &state) -> void;

    /// The upstream incarnations that crashed while they executed a request.
    struct SuspectRecord
    {
        /// UPSTREAM#INCARNATION
        std::set<std::string> crashes;
        GroupTime lastCrash{};

        NLOHMANN_DEFINE_TYPE_INTRUSIVE(SuspectRecord, crashes, lastCrash)
    };

    /// The outcome of an edit, cached for resends.
    struct CachedEdit
    {
        std::string editId;
        ControlOutcome outcome;

        NLOHMANN_DEFINE_TYPE_INTRUSIVE(CachedEdit, editId, outcome)
    };

private:
    auto applyOne(const EditRow &edit) -> ControlOutcome;
    auto applyOne(const IssueKey &issue) -> ControlOutcome;
    auto applyOne(const RevokeKey &revocation) -> ControlOutcome;
    auto applyOne(const AnnounceUpstream &announce) -> ControlOutcome;
    auto applyOne(const RemoveUpstream &removal) -> ControlOutcome;
    auto applyOne(const DrainUpstream &drain) -> ControlOutcome;
    auto applyOne(const JoinInstance &join) -> ControlOutcome;
    auto applyOne(const DrainInstance &drain) -> ControlOutcome;
    auto applyOne(const RemoveInstance &removal) -> ControlOutcome;
    auto applyOne(const ClaimRole &claim) -> ControlOutcome;
    auto applyOne(const IssueOrder &order) -> ControlOutcome;
    auto applyOne(const ResolveOrder &resolution) -> ControlOutcome;
    auto applyOne(const ReportCrash &report) -> ControlOutcome;
    auto applyOne(const ClearSuspect &cleared) -> ControlOutcome;
    auto applyOne(const StartReplacement &start) -> ControlOutcome;
    auto applyOne(const EndReplacement &end) -> ControlOutcome;

    [[nodiscard]] auto accepted() const -> ControlOutcome;
    [[nodiscard]] auto refused(Code code, std::string detail) const -> ControlOutcome;
    [[nodiscard]] auto cachedOutcome(const std::string &editId) const -> const ControlOutcome *;
    auto cacheOutcome(const std::string &editId, const ControlOutcome &outcome) -> void;

    Revision m_revision = 0;
    GroupTime m_time{};
    std::map<CustomerId, TableRow> m_rows;
    /// By the keyed hash of the key.
    std::map<std::string, KeyRecord> m_keys;
    std::map<UpstreamId, UpstreamRecord> m_upstreams;
    std::map<InstanceId, InstanceRecord> m_instances;
    std::map<std::string, RoleLease> m_roleLeases;
    std::map<std::uint64_t, OrderRecord> m_orders;
    /// By the fingerprint of the request.
    std::map<std::string, SuspectRecord> m_suspects;
    std::vector<ReplacementRecord> m_replacements;
    /// Oldest first.
    std::deque<CachedEdit> m_edits;
    /// The outcomes of `m_edits`, by edit id.
    std::map<std::string, ControlOutcome> m_outcomes;
};

} // namespace heathergate::control
