#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <string>
#include <unordered_map>

namespace heathergate::fleet {

/// Forecasts how many requests the programs that are under way will still send. Programs do not
/// tell their length or their end; the length is learned per rank from those that have ended, and
/// a program that has sent nothing for a while counts as ended.
class ProgramForecast
{
public:
    /// Notes a request of a program; the first one begins it.
    auto recordRequest(TimePoint now, const CustomerId &customer, const std::string &program,
                       int rank) -> void;
    /// Returns whether a program has sent a request and does not count as ended.
    [[nodiscard]] auto isKnown(const CustomerId &customer, const std::string &program) const
        -> bool;
    /// Returns how many requests a program of this rank sends in all.
    [[nodiscard]] auto length(int rank) const -> double;
    /// Returns how many requests the open programs of a customer are still going to send.
    [[nodiscard]] auto remaining(TimePoint now, const CustomerId &customer) -> double;

private:
    struct Program
    {
        int rank = 0;
        double requestsSent = 0;
        TimePoint lastRequestAt{};
    };

    struct Length
    {
        double mean = 0;
        int samples = 0;
    };

    auto removeEnded(TimePoint now, std::unordered_map<std::string, Program> &programs) -> void;

    std::unordered_map<CustomerId, std::unordered_map<std::string, Program>> m_programs;
    std::map<int, Length> m_lengths;
};

} // namespace heathergate::fleet
