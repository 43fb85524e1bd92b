#pragma once

#include <heathergate/core/core.h>

/// A randomized soak test of the real programs: a fleet of processes on loopback, simulated callers
/// and upstreams in the soak's own process, fault injection from outside, and checks of the
/// requests and answers at callers and upstreams. See docs/design/soak.md.
namespace heathergate::soak {

/// Loopback addresses and ports of one run. Each instance and each upstream has its own address, so
/// that runs with different networks can run in parallel.
class Network
{
public:
    /// Creates a network whose addresses have `network`, 1 to 250, as their second octet.
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
    /// Port of the fault proxies in front of the peer ports.
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
