#include <heathergate/programs/program_ledger.h>

#include <algorithm>

/// The indexes of the ledger: running calls, memory holders and the next expiry.
namespace heathergate::programs {

auto ProgramLedger::setState(const CallRef &ref, CallRecord &record, CallState state) -> void
{
    const SenderId sender{record.placement.instance, record.placement.instanceIncarnation};
    if (record.state == CallState::Running) {
        const auto calls = m_running.find(sender);
        if (calls != m_running.end())
            calls->second.erase(ref);
        if (calls != m_running.end() && calls->second.empty())
            m_running.erase(calls);
    }
    record.state = state;
    if (state == CallState::Running)
        m_running[sender].insert(ref);
}

auto ProgramLedger::addHolder(const ProgramKey &key, Program &program, const MemoryHolder &holder)
    -> void
{
    std::erase(program.holders, holder);
    program.holders.push_back(holder);
    m_holders[holder].insert(key);
}

auto ProgramLedger::dropHolderEntry(const ProgramKey &key, const MemoryHolder &holder) -> void
{
    const auto program = m_programs.find(key);
    const auto stillHeld =
        program != m_programs.end()
        && std::find(program->second.holders.begin(), program->second.holders.end(), holder)
               != program->second.holders.end();
    const auto found = m_holders.find(holder);
    if (stillHeld || found == m_holders.end())
        return;
    found->second.erase(key);
    if (found->second.empty())
        m_holders.erase(found);
}

auto ProgramLedger::dropFromIndexes(const ProgramKey &key, Program &program) -> void
{
    for (auto &[id, record] : program.calls) {
        if (record.state == CallState::Running)
            setState({key, id}, record, CallState::Interrupted);
    }
    const auto holders = std::exchange(program.holders, {});
    for (const auto &holder : holders) {
        if (!m_releases.contains({key, holder}))
            dropHolderEntry(key, holder);
    }
}

auto ProgramLedger::scheduleSweep(GroupTime at) -> void
{
    m_nextSweep = std::min(m_nextSweep, at);
}

auto ProgramLedger::nextExpiry(const Program &program) -> GroupTime
{
    if (program.status != ProgramStatus::Active)
        return program.lastActivity + kRetention;
    auto next = GroupTime::max();
    if (program.limits.lifetime > Duration::zero())
        next = std::min(next, program.startedAt + program.limits.lifetime);
    if (program.limits.idle > Duration::zero())
        next = std::min(next, program.lastActivity + program.limits.idle);
    return next;
}

auto ProgramLedger::rebuildIndexes() -> void
{
    m_running.clear();
    m_holders.clear();
    m_nextSweep = GroupTime::zero();
    for (const auto &[key, program] : m_programs) {
        for (const auto &[id, record] : program.calls) {
            if (record.state == CallState::Running)
                m_running[{record.placement.instance, record.placement.instanceIncarnation}].insert(
                    {key, id});
        }
        for (const auto &holder : program.holders)
            m_holders[holder].insert(key);
    }
    for (const auto &item : m_releases)
        m_holders[item.holder].insert(item.key);
}

} // namespace heathergate::programs
