#include <heathergate/fleet/program_forecast.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Assumed number of requests of a program until programs have ended: several turns with a few
/// calls each.
constexpr double kInitialLength = 12;
/// Minimum weight of the newest program in the estimated length.
constexpr double kMinSampleWeight = 0.05;
/// A program that exceeds the estimated length is expected to send this fraction of it again.
constexpr double kMinRemainingFraction = 0.25;
/// Time without a request after which a program counts as ended; longer than a turn and the pause
/// that follows it.
constexpr Duration kIdleTimeout = std::chrono::milliseconds(2500);

} // namespace

auto ProgramForecast::recordRequest(TimePoint now, const CustomerId &customer,
                                    const std::string &program, int rank) -> void
{
    auto &entry = m_programs[customer].try_emplace(program, Program{rank, 0, now}).first->second;
    entry.requestsSent += 1;
    entry.lastRequestAt = now;
}

auto ProgramForecast::isKnown(const CustomerId &customer, const std::string &program) const -> bool
{
    const auto programs = m_programs.find(customer);
    return programs != m_programs.end() && programs->second.contains(program);
}

auto ProgramForecast::length(int rank) const -> double
{
    const auto known = m_lengths.find(rank);
    return known == m_lengths.end() ? kInitialLength : known->second.mean;
}

auto ProgramForecast::remaining(TimePoint now, const CustomerId &customer) -> double
{
    const auto found = m_programs.find(customer);
    if (found == m_programs.end())
        return 0;
    removeEnded(now, found->second);
    double sum = 0;
    for (const auto &[name, program] : found->second) {
        const auto expected = length(program.rank);
        sum += std::max(expected - program.requestsSent, expected * kMinRemainingFraction);
    }
    return sum;
}

auto ProgramForecast::removeEnded(TimePoint now, std::unordered_map<std::string, Program> &programs)
    -> void
{
    std::erase_if(programs, [&](const auto &item) {
        const auto &program = item.second;
        if (now - program.lastRequestAt < kIdleTimeout)
            return false;
        auto &length = m_lengths.try_emplace(program.rank, Length{kInitialLength, 1}).first->second;
        ++length.samples;
        length.mean +=
            std::max(kMinSampleWeight, 1.0 / length.samples) * (program.requestsSent - length.mean);
        return true;
    });
}

} // namespace heathergate::fleet
