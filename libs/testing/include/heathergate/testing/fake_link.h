#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <set>

namespace heathergate::testing {

/// Probabilities and delays of the faults of a link.
struct LinkFaults
{
    double drop = 0;
    double duplicate = 0;
    Duration minDelay = std::chrono::milliseconds(1);
    Duration maxDelay = std::chrono::milliseconds(1);
};

/// Delivers messages between named nodes under a test's clock. Messages can be dropped, duplicated,
/// delayed and reordered, and each direction between two nodes can be partitioned.
template <typename Message>
class FakeLink
{
public:
    struct Delivery
    {
        std::string from;
        std::string to;
        Message message;
    };

    explicit FakeLink(std::uint64_t seed)
        : m_random(seed)
    {
    }

    auto setFaults(const LinkFaults &faults) -> void
    {
        m_faults = faults;
    }

    /// Drops all messages from one node to another, or ends the partition.
    auto setPartitioned(const std::string &from, const std::string &to, bool partitioned) -> void
    {
        if (partitioned)
            m_partitions.emplace(from, to);
        else
            m_partitions.erase({from, to});
    }

    auto healPartitions() -> void
    {
        m_partitions.clear();
    }

    auto send(TimePoint now, const std::string &from, const std::string &to, Message message)
        -> void
    {
        const auto copies = m_random.unit() < m_faults.duplicate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_random.unit() < m_faults.drop)
                continue;
            const auto spread =
                static_cast<std::uint64_t>((m_faults.maxDelay - m_faults.minDelay).count());
            const auto delay =
                m_faults.minDelay + Duration(static_cast<std::int64_t>(m_random.below(spread + 1)));
            m_inFlight.emplace(now + delay, Delivery{from, to, message});
        }
    }

    /// Returns the messages that arrive up to `now`. Messages that are due during a partition are
    /// lost.
    [[nodiscard]] auto arrived(TimePoint now) -> std::vector<Delivery>
    {
        std::vector<Delivery> deliveries;
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= now) {
            auto &delivery = m_inFlight.begin()->second;
            if (!m_partitions.contains({delivery.from, delivery.to}))
                deliveries.push_back(std::move(delivery));
            m_inFlight.erase(m_inFlight.begin());
        }
        return deliveries;
    }

private:
    Random m_random;
    LinkFaults m_faults;
    std::multimap<TimePoint, Delivery> m_inFlight;
    std::set<std::pair<std::string, std::string>> m_partitions;
};

} // namespace heathergate::testing
