#pragma once

#include <heathergate/control/control_state.h>

namespace heathergate::control {

/// An entry of the control log as it is fed to instances. An empty command only moves on.
struct FeedEntry
{
    Revision revision = 0;
    GroupTime time{};
    std::string command;
};

/// What the control leader sends to an instance: entries behind the revision it has, or the whole
/// state if those are no longer held. It confirms that `leaderRevision` was the newest committed
/// revision at a time after the request with `requestedAt` was sent.
struct Feed
{
    /// Local time of the instance when it asked; zero if the feed was not asked for.
    std::int64_t requestedAt = 0;
    Revision leaderRevision = 0;
    std::optional<std::string> state;
    std::vector<FeedEntry> entries;
};

/// Time without confirmation after which an instance no longer trusts its configuration.
constexpr Duration kFreshnessBound = std::chrono::milliseconds(3500);

/// An instance's copy of the control state. It only moves forward, and knows until when it is
/// confirmed.
class ControlView
{
public:
    /// Takes in a feed. Returns whether the state has changed. Entries that do not follow
    /// directly on the held revision are ignored.
    auto receive(const Feed &feed) -> bool;

    [[nodiscard]] auto state() const -> const ControlState &
    {
        return m_state;
    }

    /// Returns whether the state was confirmed recently enough to admit requests by it.
    [[nodiscard]] auto isFresh(TimePoint now) const -> bool
    {
        return m_confirmedAt && now < *m_confirmedAt + elapsedLowerBound(kFreshnessBound);
    }

    /// Returns when the state stops being fresh; nothing if it never was.
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
