#pragma once

#include <cstdint>

namespace heathergate {

/// A small deterministic random number generator (SplitMix64, Steele et al. 2014). Components that
/// need randomness receive a generator, so that a run can be reproduced from its seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /// Returns the next 64 random bits.
    auto next() -> std::uint64_t
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        auto z = m_state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /// Returns a number in [0, bound); 0 if the bound is 0.
    auto below(std::uint64_t bound) -> std::uint64_t
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /// Returns a number in [0, 1).
    auto unit() -> double
    {
        return static_cast<double>(next() >> 11) * 0x1.0p-53;
    }

private:
    std::uint64_t m_state;
};

} // namespace heathergate
