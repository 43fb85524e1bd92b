#include <heathergate/limits/bucket_ledger.h>

namespace heathergate::limits {

namespace {

/// Time after its expiry for which the record of a holding is retained.
constexpr Duration kHoldingRetention = std::chrono::hours(1);

using Bucket = BucketLedger::Bucket;
using Holding = BucketLedger::Holding;

auto outstanding(const Bucket &bucket) -> MicroTokens
{
    MicroTokens sum = 0;
    for (const auto &[holder, holding] : bucket.holdings)
        sum += holding.granted - holding.closed;
    return sum;
}

/// Counts expired allowance as used, because its holder may have admitted requests with it before
/// it failed.
auto closeExpired(Bucket &bucket, GroupTime now) -> void
{
    for (auto &[holder, holding] : bucket.holdings) {
        if (holding.expiresAt <= now)
            holding.closed = holding.granted;
    }
}

auto refill(Bucket &bucket, GroupTime now) -> void
{
    const auto headroom = std::max<MicroTokens>(0, bucket.limit.burst - outstanding(bucket));
    const auto gained = accrued(bucket.limit.rate, now - bucket.updatedAt);
    bucket.level = std::min(headroom, bucket.level + gained);
    bucket.updatedAt = std::max(bucket.updatedAt, now);
}

/// Applies the allowance that a holder has used and returned since its last report.
auto settle(Bucket &bucket, Holding &holding, const AllowanceItem &item) -> void
{
    const auto reported = item.consumedTotal + item.returnedTotal;
    // A holder whose record was removed continues with its own totals.
    if (reported > holding.granted)
        holding.granted = holding.closed = reported;
    const auto open = holding.granted - holding.closed;
    const auto newlyClosed = std::clamp<MicroTokens>(reported - holding.closed, 0, open);
    const auto newlyReturned = std::max<MicroTokens>(0, item.returnedTotal - holding.returned);
    holding.closed += newlyClosed;
    holding.returned = std::max(holding.returned, item.returnedTotal);
    bucket.level += std::min(newlyReturned, newlyClosed);
}

auto timeToNextToken(const Bucket &bucket) -> Duration
{
    if (bucket.level >= kOneToken)
        return Duration::zero();
    if (bucket.limit.rate <= 0)
        return std::chrono::hours(1);
    return Duration((kOneToken - bucket.level) * 1'000'000 / bucket.limit.rate + 1);
}

auto wholeTokens(MicroTokens amount) -> MicroTokens
{
    return amount - amount % kOneToken;
}

} // namespace

auto BucketLedger::apply(GroupTime now, const AllowanceRequest &request) -> AllowanceReply
{
    AllowanceReply reply;
    reply.incarnation = request.incarnation;
    reply.sentAt = request.sentAt;
    const auto holder = request.instance.value + "#" + std::to_string(request.incarnation);
    for (const auto &item : request.items)
        reply.grants.push_back(applyItem(now, holder, item));
    return reply;
}

auto BucketLedger::applyItem(GroupTime now, const std::string &holder, const AllowanceItem &item)
    -> AllowanceGrant
{
    const auto found = m_buckets.find(item.customer);
    if (found == m_buckets.end()) {
        // Only full buckets are removed, so a new record starts with a full bucket.
        m_buckets[item.customer] = Bucket{item.limit, item.limit.burst, now, {}};
    }
    auto &bucket = m_buckets[item.customer];
    closeExpired(bucket, now);
    refill(bucket, now);
    auto &holding = bucket.holdings[holder];
    settle(bucket, holding, item);
    if (item.limit.revision > bucket.limit.revision)
        bucket.limit = item.limit;
    refill(bucket, now);

    const auto open = holding.granted - holding.closed;
    const auto needed = std::min(item.want, wholeTokens(bucket.level));
    bucket.level -= needed;
    // Allowance granted in advance can remain unused at an idle instance, so a bucket below half of
    // its burst grants none.
    const auto spare = wholeTokens(std::max<MicroTokens>(0, bucket.level - bucket.limit.burst / 2));
    const auto advanceTokens = std::min(std::max<MicroTokens>(0, item.advance - open), spare);
    bucket.level -= advanceTokens;
    holding.granted += needed + advanceTokens;
    holding.expiresAt = now + elapsedUpperBound(kAllowanceTtl);
    return {item.customer, holding.granted, holding.closed, timeToNextToken(bucket),
            outstanding(bucket) - (holding.granted - holding.closed)};
}

auto BucketLedger::removeIdle(GroupTime now) -> void
{
    for (auto item = m_buckets.begin(); item != m_buckets.end();) {
        auto &bucket = item->second;
        closeExpired(bucket, now);
        std::erase_if(bucket.holdings, [now](const auto &holding) {
            return holding.second.expiresAt + kHoldingRetention < now;
        });
        const auto level = bucket.level + accrued(bucket.limit.rate, now - bucket.updatedAt);
        const auto isRemovable = bucket.holdings.empty() && level >= bucket.limit.burst;
        item = isRemovable ? m_buckets.erase(item) : std::next(item);
    }
}

auto to_json(nlohmann::json &json, const BucketLedger &ledger) -> void
{
    json = ledger.m_buckets;
}

auto from_json(const nlohmann::json &json, BucketLedger &ledger) -> void
{
    json.get_to(ledger.m_buckets);
}

} // namespace heathergate::limits
