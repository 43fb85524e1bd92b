#include <heathergate/fleet/poison_register.h>

namespace heathergate::fleet {

namespace {

/// Broken responses after which a request is refused.
constexpr int kMaxFailures = 3;
/// Time after its last failure for which the failures of a request count.
constexpr Duration kSuspectRetention = std::chrono::seconds(120);
constexpr Duration kSweepInterval = std::chrono::seconds(10);

} // namespace

auto PoisonRegister::recordFailure(TimePoint now, std::uint64_t fingerprint) -> void
{
    removeExpired(now);
    auto &suspect = m_suspects[fingerprint];
    ++suspect.failures;
    suspect.lastFailureAt = now;
    m_changes.push_back({fingerprint, suspect.failures});
}

auto PoisonRegister::recordSuccess(std::uint64_t fingerprint) -> void
{
    if (m_suspects.erase(fingerprint) > 0)
        m_changes.push_back({fingerprint, 0});
}

auto PoisonRegister::restore(const RequestFailures &known, TimePoint lastFailureAt) -> void
{
    m_suspects[known.fingerprint] = {known.failures, lastFailureAt};
}

auto PoisonRegister::isPoison(TimePoint now, std::uint64_t fingerprint) const -> bool
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.failures >= kMaxFailures
           && now - found->second.lastFailureAt < kSuspectRetention;
}

auto PoisonRegister::removeExpired(TimePoint now) -> void
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + kSweepInterval;
    std::erase_if(m_suspects, [&](const auto &item) {
        return now - item.second.lastFailureAt >= kSuspectRetention;
    });
}

} // namespace heathergate::fleet
