#pragma once

#include <heathergate/core/core.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace heathergate::routing {

/// A request that waits for an upstream.
struct WorkItem
{
    std::uint64_t request = 0;
    CustomerId customer;
    /// Priority class; 0 is served first.
    int priority = 0;
    /// Weight of the customer within its priority class.
    double weight = 1;
    /// Service that the program has attained so far, in tokens.
    double attained = 0;
    /// Expected work of the request, in tokens.
    double cost = 1;
    TimePoint arrivedAt{};
    TimePoint deadline{};
};

/// The queue of requests of one lane. Priority classes are served strictly in order. Within a class
/// each customer gets a fair share of the work (start-time fair queueing, Goyal et al., 1996).
/// Within a customer the program with the least attained service is served first, with aging so
/// that no request starves.
class WorkQueue
{
public:
    explicit WorkQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds a request. Returns false if the queue is full.
    [[nodiscard]] auto push(const WorkItem &item) -> bool;
    /// Removes and returns the next request; nothing if the queue is empty.
    [[nodiscard]] auto pop(TimePoint now) -> std::optional<WorkItem>;
    /// Puts a request that `pop` returned, but that could not be sent, back into the queue and
    /// reverts its charge.
    auto putBack(const WorkItem &item) -> void;
    /// Removes a request. Returns whether it was queued.
    auto remove(std::uint64_t request) -> bool;
    /// Removes and returns all requests whose deadline has passed.
    [[nodiscard]] auto takeExpired(TimePoint now) -> std::vector<WorkItem>;
    /// Adds `difference`, in tokens, to the customer's charge once the actual work of a request is
    /// known.
    auto charge(const CustomerId &customer, int priority, double weight, double difference) -> void;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_size;
    }
    /// Returns the earliest deadline of a queued request; `TimePoint::max()` if the queue is empty.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

private:
    struct CustomerQueue
    {
        std::vector<WorkItem> items;
        /// Work charged to the customer, in tokens divided by its weight; raised to the virtual
        /// time of the class when the customer becomes active again.
        double virtualTime = 0;
    };

    struct PriorityClass
    {
        std::map<CustomerId, CustomerQueue> customers;
        /// Maximum virtual time at which a customer of the class was served.
        double virtualTime = 0;
        std::size_t waiting = 0;
    };

    [[nodiscard]] static auto nextItem(const CustomerQueue &queue, TimePoint now) -> std::size_t;

    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::map<int, PriorityClass> m_classes;
};

} // namespace heathergate::routing
