#include <heathergate/limits/allowance_client.h>

#include <cmath>

namespace heathergate::limits {

namespace {

/// Time after a report at which further waiting requests or changed usage are reported. After a
/// reply, waiting requests may be reported earlier.
constexpr Duration kReportInterval = std::chrono::milliseconds(20);
/// Interval at which a report that requested allowance is repeated while no reply to it arrives.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
/// Idle time after which an instance returns its unused allowance.
constexpr Duration kIdleReturnDelay = std::chrono::milliseconds(250);
/// Time whose expected admissions are requested in advance.
constexpr Duration kAdvanceWindow = std::chrono::milliseconds(100);
/// Time constant of the decayed admission rate.
constexpr Duration kRateWindow = std::chrono::seconds(1);

} // namespace

auto AllowanceClient::tryAdmit(TimePoint now, const CustomerId &customer) -> bool
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return false;
    auto &account = found->second;
    dropExpired(now, account);
    if (account.granted - account.consumed - account.returned < kOneToken)
        return false;
    account.consumed += kOneToken;
    const auto sinceLastAdmission =
        std::chrono::duration<double>(now - account.lastAdmission) / kRateWindow;
    account.recentRate = account.recentRate * std::exp(-sinceLastAdmission) + 1;
    account.lastAdmission = now;
    return true;
}

auto AllowanceClient::setWaiting(const CustomerId &customer, const Limit &limit,
                                 std::size_t waiting) -> void
{
    auto &account = m_accounts[customer];
    if (limit.revision >= account.limit.revision)
        account.limit = limit;
    account.waiting = waiting;
}

auto AllowanceClient::receive(TimePoint now, const AllowanceReply &reply) -> std::vector<CustomerId>
{
    std::vector<CustomerId> customers;
    if (reply.incarnation != m_incarnation)
        return customers;
    const TimePoint sentAt{Duration(reply.sentAt)};
    for (const auto &grant : reply.grants) {
        const auto found = m_accounts.find(grant.customer);
        if (found == m_accounts.end())
            continue;
        auto &account = found->second;
        account.lastGrant = grant;
        account.requested = 0;
        account.retryAt = now;
        if (grant.nextToken > Duration::zero())
            account.retryAt += std::clamp(grant.nextToken, kReportInterval, kRetryInterval);
        customers.push_back(grant.customer);
        if (grant.grantedTotal <= account.granted)
            continue;
        account.granted = grant.grantedTotal;
        // The owner may have closed allowance that expired by its own clock.
        const auto used = account.consumed + account.returned;
        if (grant.closedTotal > used)
            account.consumed += grant.closedTotal - used;
        account.expiresAt = std::max(account.expiresAt, sentAt + kAllowanceTtl);
    }
    return customers;
}

auto AllowanceClient::lastGrant(const CustomerId &customer) const -> const AllowanceGrant *
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end() || !found->second.lastGrant)
        return nullptr;
    return &*found->second.lastGrant;
}

auto AllowanceClient::nextReport() const -> TimePoint
{
    auto next = TimePoint::max();
    for (const auto &[customer, account] : m_accounts)
        next = std::min(next, reportDue(account));
    return next;
}

auto AllowanceClient::dropExpired(TimePoint now, Account &account) -> void
{
    if (now >= account.expiresAt)
        account.consumed = std::max(account.consumed, account.granted - account.returned);
}

auto AllowanceClient::reportDue(const Account &account) -> TimePoint
{
    if (account.waiting > account.requested)
        return std::min(account.lastReport + kReportInterval,
                        account.requested == 0 ? account.retryAt : TimePoint::max());
    if (account.waiting > 0)
        return account.lastReport + kRetryInterval;
    if (account.consumed + account.returned != account.reported)
        return account.lastReport + kReportInterval;
    const auto held = account.granted - account.consumed - account.returned;
    return held > 0 ? account.lastAdmission + kIdleReturnDelay : TimePoint::max();
}

auto AllowanceClient::report(TimePoint now, const CustomerId &customer, Account &account)
    -> AllowanceItem
{
    const auto held = account.granted - account.consumed - account.returned;
    if (account.waiting == 0 && held > 0 && now - account.lastAdmission >= kIdleReturnDelay)
        account.returned += held;
    account.reported = account.consumed + account.returned;
    account.lastReport = now;
    account.requested = account.waiting;
    AllowanceItem item{customer, account.limit, account.consumed, account.returned, 0, 0};
    const auto open = account.granted - account.consumed - account.returned;
    const auto wanted = static_cast<MicroTokens>(account.waiting) * kOneToken;
    item.want = std::max<MicroTokens>(0, wanted - open);
    const auto advanceTokens =
        account.recentRate * (std::chrono::duration<double>(kAdvanceWindow) / kRateWindow);
    const auto idle = now - account.lastAdmission >= kIdleReturnDelay;
    item.advance = idle ? 0 : static_cast<MicroTokens>(std::ceil(advanceTokens)) * kOneToken;
    return item;
}

} // namespace heathergate::limits
