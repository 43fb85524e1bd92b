#pragma once

#include <heathergate/core/core.h>

/// A randomized soak of the real programs: a fleet of processes on loopback, callers and upstream
/// stand-ins in the soak's own process, faults from outside, and checks of what callers and
/// upstreams see. docs/design/soak.md explains it.
namespace heathergate::soak {

/// Addresses of one run. Each instance and each upstream has a loopback address of its own, so
/// that runs with different networks do not meet.
class Network
{
public:
    /// `network` is the second number of all addresses, 1 to 250.
    explicit Network(int network)
        : m_network(network)
    {
    }

    [[nodiscard]] auto control(int number) const -> std::string
    {
        return host(1, number);
    }
    [[nodiscard]] auto gateway(int number) const -> std::string
    {
        return host(2, number);
    }
    [[nodiscard]] auto upstream(int number) const -> std::string
    {
        return host(3, number);
    }

    static constexpr std::uint16_t kCallerPort = 18'080;
    static constexpr std::uint16_t kReadinessPort = 18'081;
    static constexpr std::uint16_t kControlPort = 18'082;
    static constexpr std::uint16_t kDirectoryPort = 18'083;
    static constexpr std::uint16_t kPeerPort = 18'084;
    /// Where the fault proxies take the connections that are meant for peer ports.
    static constexpr std::uint16_t kPeerProxyPort = 18'085;
    static constexpr std::uint16_t kUpstreamPort = 18'086;
    static constexpr std::uint16_t kUpstreamProxyPort = 18'087;

private:
    [[nodiscard]] auto host(int kind, int number) const -> std::string
    {
        return "127." + std::to_string(m_network) + "." + std::to_string(kind) + "."
               + std::to_string(number + 1);
    }

    int m_network;
};

} // namespace heathergate::soak
