#pragma once

#include <heathergate/limits/bucket_ledger.h>

namespace heathergate::limits {

/// The instance's side of the fleet-wide limit: admits from the allowance it holds and says what
/// to report and ask for.
class AllowanceClient
{
public:
    AllowanceClient(InstanceId instance, std::uint64_t incarnation)
        : m_instance(std::move(instance))
        , m_incarnation(incarnation)
    {
    }

    /// Admits one request if there is allowance for it.
    [[nodiscard]] auto tryAdmit(TimePoint now, const CustomerId &customer) -> bool;

    /// Says how many requests of a customer wait for allowance, and under which limit.
    auto setWaiting(const CustomerId &customer, const Limit &limit, std::size_t waiting) -> void;

    /// Returns the report for the customers that `owned` selects; nothing if there is no news to
    /// report and nobody waits.
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

    /// Takes in an answer. Returns the customers for which it says something.
    auto receive(TimePoint now, const AllowanceReply &reply) -> std::vector<CustomerId>;

    /// Returns the owner's last word on a customer; nothing before the first answer.
    [[nodiscard]] auto lastGrant(const CustomerId &customer) const -> const AllowanceGrant *;

    /// Returns when the next report is due.
    [[nodiscard]] auto nextReport() const -> TimePoint;

private:
    struct Account
    {
        Limit limit;
        MicroTokens granted = 0;
        MicroTokens consumed = 0;
        MicroTokens returned = 0;
        MicroTokens reported = 0;
        std::size_t waiting = 0;
        /// Waiting requests that the last report asked for.
        std::size_t requested = 0;
        TimePoint retryAt{};
        TimePoint expiresAt{};
        TimePoint lastReport{};
        TimePoint lastAdmission{};
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
