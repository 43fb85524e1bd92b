#pragma once

#include <heathergate/control/control_state.h>

namespace heathergate::control {

/// An entry of the control log as it is sent to instances. An empty command only advances the
/// revision.
struct FeedEntry
{
    Revision revision = 0;
    GroupTime time{};
    std::string command;
};

/// An update from the control leader to an instance. It contains the entries after the instance's
/// revision, or the complete state if those entries are no longer retained. It confirms that
/// `leaderRevision` was the newest committed revision at a time after the request with
/// `requestedAt` was sent.
struct Feed
{
    /// Local time of the instance when it sent its request, in microseconds; 0 if the feed was not
    /// requested.
    std::int64_t requestedAt = 0;
    Revision leaderRevision = 0;
    std::optional<std::string> state;
    std::vector<FeedEntry> entries;
};

/// Time without confirmation after which an instance treats its configuration as stale.
constexpr Duration kFreshnessBound = std::chrono::milliseconds(3500);

/// An instance's copy of the control state. Its revision never decreases. The view also tracks
/// until when the state is confirmed as current.
class ControlView
{
public:
    /// Applies a feed and returns whether the state has changed. Entries that do not directly
    /// follow the current revision are ignored.
    auto receive(const Feed &feed) -> bool;

    [[nodiscard]] auto state() const -> const ControlState &
    {
        return m_state;
    }

    /// Returns whether the state was confirmed recently enough to admit requests based on it.
    [[nodiscard]] auto isFresh(TimePoint now) const -> bool
    {
        return m_confirmedAt && now < *m_confirmedAt + elapsedLowerBound(kFreshnessBound);
    }

    /// Returns the time until which the state is fresh; nothing if it was never confirmed.
    [[nodiscard]] auto freshUntil() const -> std::optional<TimePoint>
    {
        if (!m_confirmedAt)
            return std::nullopt;
        return *m_confirmedAt + elapsedLowerBound(kFreshnessBound);
    }

private:
    ControlState m_state;
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace heathergate::control
