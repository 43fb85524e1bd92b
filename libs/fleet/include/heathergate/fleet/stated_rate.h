#pragma once

#include <heathergate/core/core.h>

#include <algorithm>
#include <optional>

namespace heathergate::fleet {

/// The rate of requests that an upstream states that it accepts from all instances together. A
/// token bucket that holds no more than the tokens of a short time, so that the rate also holds
/// over short windows. Designed for this load: an overloaded upstream that slows down or fails if
/// it is sent more.
class StatedRate
{
public:
    /// Notes that the upstream stated a rate, in requests per second.
    auto state(TimePoint now, double perSecond) -> void;
    /// Notes that a request that was placed at `placedAt` was answered without a stated rate.
    /// Returns whether this ends the limit: a request that was placed before the last statement
    /// does not.
    [[nodiscard]] auto lift(TimePoint placedAt) -> bool;
    /// Returns the rate in requests per second; nothing if there is no limit.
    [[nodiscard]] auto perSecond() const -> std::optional<double>
    {
        return m_perSecond;
    }
    /// Returns whether a request may be sent now.
    [[nodiscard]] auto allows(TimePoint now) const -> bool;
    /// Counts a request that is sent now.
    auto take(TimePoint now) -> void;

private:
    /// Rate at which requests are sent even if less is stated; their answers show when the limit
    /// has ended.
    static constexpr double kMinPerSecond = 0.5;
    /// Time whose tokens the bucket holds.
    static constexpr std::chrono::duration<double> kBurstTime = std::chrono::milliseconds(250);

    [[nodiscard]] auto tokensAt(TimePoint now) const -> double;

    std::optional<double> m_perSecond;
    TimePoint m_statedAt{};
    double m_tokens = 0;
    TimePoint m_refilledAt{};
};

} // namespace heathergate::fleet
