#pragma once

#include <heathergate/net/net.h>

#include <set>

namespace heathergate::soak {

/// A TCP proxy that forwards connections to one address and injects faults: delays, resets,
/// blackholed connections, and partitions in one or both directions.
class FaultProxy
{
public:
    /// The direction in which a partition drops bytes.
    enum class Direction { ToServer, ToClient, Both };

    FaultProxy(net::EventLoop &loop, Endpoint at, Endpoint server);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    auto operator=(const FaultProxy &) -> FaultProxy & = delete;

    /// Starts listening. Fails with `Code::BadSetting`.
    [[nodiscard]] auto open() -> Result<void>;

    /// Delays all bytes by this time; zero forwards them immediately.
    auto setDelay(Duration delay) -> void
    {
        m_delay = delay;
    }
    /// Resets a share of the open connections, from 0 to 1.
    auto reset(double share, Random &random) -> void;
    /// Drops all further bytes of a share of the open connections. New connections work.
    auto blackhole(double share, Random &random) -> void;
    /// Drops all bytes in a direction, on open and new connections, until `heal`. Connections that
    /// lost bytes stay blackholed afterwards, because a TCP stream with a gap cannot resume.
    auto partition(Direction direction) -> void;
    auto heal() -> void
    {
        m_partition.reset();
    }

private:
    class Pipe;

    auto accepted(std::shared_ptr<net::TcpStream> client) -> void;

    net::EventLoop &m_loop;
    Endpoint m_at;
    Endpoint m_server;
    Duration m_delay{};
    std::optional<Direction> m_partition;
    std::unique_ptr<net::TcpListener> m_listener;
    std::set<std::shared_ptr<Pipe>> m_pipes;
};

} // namespace heathergate::soak
