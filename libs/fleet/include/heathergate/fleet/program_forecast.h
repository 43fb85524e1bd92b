#pragma once

#include <heathergate/core/core.h>

#include <map>
#include <string>
#include <unordered_map>

namespace heathergate::fleet {

/// Forecasts how many more requests the open programs will send. Programs announce neither their
/// length nor their end: the length is estimated per rank from programs that have ended, and a
/// program that has sent nothing for an idle timeout counts as ended.
class ProgramForecast
{
public:
    /// Records a request of a program; the first request opens the program.
    auto recordRequest(TimePoint now, const CustomerId &customer, const std::string &program,
                       int rank) -> void;
    /// Returns whether a program is open: it has sent a request and does not count as ended.
    [[nodiscard]] auto isKnown(const CustomerId &customer, const std::string &program) const
        -> bool;
    /// Returns the expected total number of requests of a program of this rank.
    [[nodiscard]] auto length(int rank) const -> double;
    /// Returns how many more requests the open programs of a customer are expected to send.
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
