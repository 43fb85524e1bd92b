#pragma once

#include <heathergate/net/net.h>

#include <set>

namespace heathergate::soak {

/// Forwards connections to one address and harms them on order: delays, resets, silence in one or
/// both directions.
class FaultProxy
{
public:
    /// Which bytes no longer arrive.
    enum class Direction { ToServer, ToClient, Both };

    FaultProxy(net::EventLoop &loop, Endpoint at, Endpoint server);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    auto operator=(const FaultProxy &) -> FaultProxy & = delete;

    /// Starts to listen. Fails with `Code::BadSetting`.
    [[nodiscard]] auto open() -> Result<void>;

    /// Holds all bytes back for this long; zero forwards them at once.
    auto setDelay(Duration delay) -> void
    {
        m_delay = delay;
    }
    /// Resets a share of the open connections.
    auto reset(double share, Random &random) -> void;
    /// Lets a share of the open connections go silent for good; new ones work.
    auto blackhole(double share, Random &random) -> void;
    /// Lets nothing through in a direction, on open and new connections, until `heal`. What was
    /// on its way meanwhile is lost, so connections that lost bytes stay silent.
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
