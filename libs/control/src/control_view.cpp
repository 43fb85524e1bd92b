#include <heathergate/control/control_view.h>

namespace heathergate::control {

auto ControlView::receive(const Feed &feed) -> bool
{
    const auto before = m_state.revision();
    if (feed.state) {
        const auto state = decode<ControlState>(*feed.state);
        if (state && state->revision() > m_state.revision())
            m_state = *state;
    }
    for (const auto &entry : feed.entries) {
        if (entry.revision != m_state.revision() + 1)
            continue;
        const auto command = decodeVariant<ControlCommand>(entry.command);
        if (command)
            m_state.apply(entry.revision, entry.time, *command);
        else
            m_state.skip(entry.revision);
    }
    if (feed.requestedAt != 0 && m_state.revision() >= feed.leaderRevision) {
        const TimePoint requested{Duration(feed.requestedAt)};
        m_confirmedAt = std::max(m_confirmedAt.value_or(requested), requested);
    }
    return m_state.revision() != before;
}

} // namespace heathergate::control
