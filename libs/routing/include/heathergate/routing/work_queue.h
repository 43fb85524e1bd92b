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
    /// Priority class; 0 goes first.
    int priority = 0;
    /// The customer's share inside its class.
    double weight = 1;
    /// Work that its program has had so far, in tokens.
    double attained = 0;
    /// Work it is expected to cause, in tokens.
    double cost = 1;
    TimePoint arrivedAt{};
    TimePoint deadline{};
};

/// The order of work on one lane: strict priority classes; inside a class a fair share for each
/// customer by work done (start-time fair queueing, Goyal et al., 1996); inside a customer the
/// program with the least attained service first, aged so that none waits for ever.
class WorkQueue
{
public:
    explicit WorkQueue(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds a request. Returns false if the queue is full.
    [[nodiscard]] auto push(const WorkItem &item) -> bool;
    /// Takes the request that goes next; nothing if the queue is empty.
    [[nodiscard]] auto pop(TimePoint now) -> std::optional<WorkItem>;
    /// Puts back a request that `pop` returned but that could not be sent, at no charge.
    auto putBack(const WorkItem &item) -> void;
    /// Removes a request. Returns whether it was there.
    auto remove(std::uint64_t request) -> bool;
    /// Takes all requests whose deadline has passed.
    [[nodiscard]] auto takeExpired(TimePoint now) -> std::vector<WorkItem>;
    /// Corrects the charge for a request's work once it is known.
    auto charge(const CustomerId &customer, int priority, double weight, double difference) -> void;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_size;
    }
    /// Returns the earliest deadline of a waiting request.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;

private:
    struct CustomerQueue
    {
        std::vector<WorkItem> items;
        double virtualTime = 0;
    };

    struct PriorityClass
    {
        std::map<CustomerId, CustomerQueue> customers;
        double virtualTime = 0;
        std::size_t waiting = 0;
    };

    [[nodiscard]] static auto nextItem(const CustomerQueue &queue, TimePoint now) -> std::size_t;

    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::map<int, PriorityClass> m_classes;
};

} // namespace heathergate::routing
