#pragma once

#include <heathergate/limits/bucket_ledger.h>

namespace heathergate::limits {

/// The instance's part of the fleet-wide limit. It admits requests from the allowance that the
/// instance holds, and builds the reports that return unused allowance and request more.
class AllowanceClient
{
public:
    AllowanceClient(InstanceId instance, std::uint64_t incarnation)
        : m_instance(std::move(instance))
        , m_incarnation(incarnation)
    {
    }

    /// Admits one request if the instance holds allowance for it. Returns whether it was admitted.
    [[nodiscard]] auto tryAdmit(TimePoint now, const CustomerId &customer) -> bool;

    /// Sets the number of a customer's requests that wait for allowance, and the limit that
    /// applies.
    auto setWaiting(const CustomerId &customer, const Limit &limit, std::size_t waiting) -> void;

    /// Returns the report for the customers that `owned` selects; nothing if no report is due.
    template <typename Predicate>
    [[nodiscard]] auto makeRequest(TimePoint now, Predicate owned)
        -> std::optional<AllowanceRequest>
    {
        AllowanceRequest request{m_instance, m_incarnation, now.time_since_epoch().count(), {}};
        for (auto &[customer, account] : m_accounts) {
            dropExpired(now, account);
            if (now >= reportDue(account) && owned(customer))
                request.items.push_back(report(now, customer, account));
        }
        if (request.items.empty())
            return std::nullopt;
        return request;
    }

    /// Processes a reply. Returns the known customers that it contains grants for.
    auto receive(TimePoint now, const AllowanceReply &reply) -> std::vector<CustomerId>;

    /// Returns the owner's last grant for a customer; null before the first reply.
    [[nodiscard]] auto lastGrant(const CustomerId &customer) const -> const AllowanceGrant *;

    /// Returns when the next report is due; `TimePoint::max()` if none is.
    [[nodiscard]] auto nextReport() const -> TimePoint;

private:
    struct Account
    {
        Limit limit;
        // Totals since the start of the incarnation.
        MicroTokens granted = 0;
        MicroTokens consumed = 0;
        MicroTokens returned = 0;
        /// Sum of `consumed` and `returned` in the last report.
        MicroTokens reported = 0;
        std::size_t waiting = 0;
        /// Number of waiting requests that the last report requested allowance for.
        std::size_t requested = 0;
        /// Time at which requests that still wait after a reply are reported, unless they are
        /// reported earlier because the report interval has passed.
        TimePoint retryAt{};
        /// Time at which the granted allowance becomes invalid.
        TimePoint expiresAt{};
        TimePoint lastReport{};
        TimePoint lastAdmission{};
        /// Exponentially decayed number of recent admissions.
        double recentRate = 0;
        std::optional<AllowanceGrant> lastGrant;
    };

    static auto dropExpired(TimePoint now, Account &account) -> void;
    [[nodiscard]] static auto reportDue(const Account &account) -> TimePoint;
    [[nodiscard]] static auto report(TimePoint now, const CustomerId &customer, Account &account)
        -> AllowanceItem;

    InstanceId m_instance;
    std::uint64_t m_incarnation;
    std::map<CustomerId, Account> m_accounts;
};

} // namespace heathergate::limits
