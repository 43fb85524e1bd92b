#pragma once

#include <heathergate/limits/bucket.h>

namespace heathergate::limits {

/// Time for which an instance may use an allowance, measured from when it sent the request.
constexpr Duration kAllowanceTtl = std::chrono::seconds(1);

/// The report and request of one instance for one customer. The totals count from the start of the
/// instance's incarnation, so lost, duplicated and late requests do not corrupt the accounting.
struct AllowanceItem
{
    CustomerId customer;
    Limit limit;
    MicroTokens consumedTotal = 0;
    MicroTokens returnedTotal = 0;
    /// Tokens for requests that wait now.
    MicroTokens want = 0;
    /// Additional tokens in advance, granted only while the bucket is more than half full.
    MicroTokens advance = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AllowanceItem, customer, limit, consumedTotal, returnedTotal,
                                   want, advance)

/// A batch of reports of one instance to the group that owns the customers' buckets.
struct AllowanceRequest
{
    InstanceId instance;
    std::uint64_t incarnation = 0;
    /// Local send time in microseconds; the reply echoes it.
    std::int64_t sentAt = 0;
    std::vector<AllowanceItem> items;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AllowanceRequest, instance, incarnation, sentAt, items)

/// The reply for one customer. `nextToken` is the time until the next token accrues, and
/// `heldElsewhere` is the allowance that other instances hold and may still use or return.
struct AllowanceGrant
{
    CustomerId customer;
    MicroTokens grantedTotal = 0;
    MicroTokens closedTotal = 0;
    Duration nextToken{};
    MicroTokens heldElsewhere = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AllowanceGrant, customer, grantedTotal, closedTotal, nextToken,
                                   heldElsewhere)

struct AllowanceReply
{
    /// Incarnation that sent the request; no other incarnation may use the allowance.
    std::uint64_t incarnation = 0;
    std::int64_t sentAt = 0;
    std::vector<AllowanceGrant> grants;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AllowanceReply, incarnation, sentAt, grants)

/// The buckets of the customers that a replicated group owns. Every replica applies the same
/// requests at the same group times, so a new leader continues with the exact state.
///
/// Invariant: a bucket's level plus all allowance that an instance may still use is at most the
/// burst. Over any window the fleet therefore admits at most burst + rate x window.
class BucketLedger
{
public:
    /// Applies a request at group time `now`.
    auto apply(GroupTime now, const AllowanceRequest &request) -> AllowanceReply;
    /// Removes the holdings past their retention, and the buckets that are full at `now` and have
    /// no holdings left.
    auto removeIdle(GroupTime now) -> void;
    /// Returns the number of buckets.
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_buckets.size();
    }

    friend auto to_json(nlohmann::json &json, const BucketLedger &ledger) -> void;
    friend auto from_json(const nlohmann::json &json, BucketLedger &ledger) -> void;

    /// The allowance of one instance. `closed` is the part that can no longer be used.
    struct Holding
    {
        MicroTokens granted = 0;
        MicroTokens closed = 0;
        MicroTokens returned = 0;
        GroupTime expiresAt{};

        NLOHMANN_DEFINE_TYPE_INTRUSIVE(Holding, granted, closed, returned, expiresAt)
    };

    struct Bucket
    {
        Limit limit;
        MicroTokens level = 0;
        GroupTime updatedAt{};
        std::map<std::string, Holding> holdings;

        NLOHMANN_DEFINE_TYPE_INTRUSIVE(Bucket, limit, level, updatedAt, holdings)
    };

private:
    [[nodiscard]] auto applyItem(GroupTime now, const std::string &holder,
                                 const AllowanceItem &item) -> AllowanceGrant;

    std::map<CustomerId, Bucket> m_buckets;
};

} // namespace heathergate::limits
