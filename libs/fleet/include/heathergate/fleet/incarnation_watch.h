#pragma once

#include <heathergate/core/core.h>

#include <cstdint>

namespace heathergate::fleet {

/// How certain it is that an upstream is still the incarnation of its last heartbeat.
enum class IncarnationCertainty : std::uint8_t {
    /// A connection to it has been open since before that heartbeat.
    Known,
    /// For some time since that heartbeat no connection was open that would have ended with it.
    Unconfirmed,
    /// It has closed all connections of an instance since that heartbeat.
    Doubtful,
};

/// Watches whether an upstream may have been replaced by another incarnation at its address, one
/// that has sent no heartbeat yet and may run other software. Responses do not tell incarnations
/// apart, but the connections to an upstream end with it.
class IncarnationWatch
{
public:
    /// Records a heartbeat of the incarnation; `isConnected` tells whether a connection to the
    /// upstream is open.
    auto heartbeat(bool isConnected) -> void
    {
        m_certainty = isConnected ? IncarnationCertainty::Known : IncarnationCertainty::Unconfirmed;
    }
    /// Records that a request is sent, over an open connection or a new one.
    auto requestSent(bool isConnected) -> void
    {
        if (!isConnected && m_certainty == IncarnationCertainty::Known)
            m_certainty = IncarnationCertainty::Unconfirmed;
    }
    /// Records that the upstream has closed all connections of an instance. Returns whether that is
    /// news.
    [[nodiscard]] auto connectionsLost(TimePoint now) -> bool
    {
        if (m_certainty == IncarnationCertainty::Doubtful)
            return false;
        m_certainty = IncarnationCertainty::Doubtful;
        m_lostAt = now;
        return true;
    }
    /// Returns whether another incarnation may serve already. Right after its connections were
    /// closed an upstream is at most down.
    [[nodiscard]] auto mayHaveRestarted(TimePoint now) const -> bool
    {
        return m_certainty == IncarnationCertainty::Doubtful && now - m_lostAt >= kMinRestartTime;
    }
    [[nodiscard]] auto certainty() const -> IncarnationCertainty
    {
        return m_certainty;
    }

private:
    /// Time that a process takes to start at least.
    static constexpr Duration kMinRestartTime = std::chrono::milliseconds(20);

    TimePoint m_lostAt{};
    IncarnationCertainty m_certainty = IncarnationCertainty::Unconfirmed;
};

} // namespace heathergate::fleet
