#include "fault_proxy.h"

namespace heathergate::soak {

namespace {

/// Long enough that the proxy's own sockets do not time out before the tested ones do.
constexpr Duration kUserTimeout = std::chrono::seconds(30);

} // namespace

/// One forwarded connection.
class FaultProxy::Pipe : public std::enable_shared_from_this<FaultProxy::Pipe>
{
public:
    Pipe(FaultProxy &proxy, std::shared_ptr<net::TcpStream> client)
        : m_proxy(proxy)
        , m_client(std::move(client))
    {
    }

    auto open() -> bool
    {
        m_server = net::TcpStream::connect(m_proxy.m_loop, m_proxy.m_server, kUserTimeout);
        if (!m_server) {
            m_client->abort();
            return false;
        }
        m_client->setHandlers(
            {{},
             [this](std::string_view bytes) { forward(m_server, bytes, Direction::ToServer); },
             [this](bool clean) { closed(m_server, clean, Direction::ToServer); },
             {}});
        m_server->setHandlers(
            {{},
             [this](std::string_view bytes) { forward(m_client, bytes, Direction::ToClient); },
             [this](bool clean) { closed(m_client, clean, Direction::ToClient); },
             {}});
        return true;
    }

    auto abort() -> void
    {
        m_client->abort();
        m_server->abort();
        remove();
    }

    auto blackhole() -> void
    {
        m_blackholed[0] = m_blackholed[1] = true;
    }

private:
    [[nodiscard]] auto dropsBytes(Direction direction) const -> bool
    {
        const auto &blocked = m_proxy.m_partition;
        return m_blackholed[static_cast<std::size_t>(direction)]
               || (blocked && (*blocked == Direction::Both || *blocked == direction));
    }

    auto forward(const std::shared_ptr<net::TcpStream> &to, std::string_view bytes,
                 Direction direction) -> void
    {
        if (dropsBytes(direction)) {
            m_blackholed[static_cast<std::size_t>(direction)] = true;
            return;
        }
        later([to, text = std::string(bytes)] { to->write(text); });
    }

    auto closed(const std::shared_ptr<net::TcpStream> &other, bool clean, Direction direction)
        -> void
    {
        if (dropsBytes(direction)) {
            m_blackholed[0] = m_blackholed[1] = true; // The close is dropped as well.
            return;
        }
        later([self = shared_from_this(), other, clean] {
            if (clean)
                other->closeAfterWrite();
            else
                other->abort();
            self->remove();
        });
    }

    /// Runs an action after the delay. Actions keep their order if the delay changes.
    auto later(net::EventLoop::Action action) -> void
    {
        auto &loop = m_proxy.m_loop;
        m_notBefore = std::max(m_notBefore, loop.now() + m_proxy.m_delay);
        if (m_notBefore <= loop.now())
            action();
        else
            loop.at(m_notBefore, std::move(action));
    }

    auto remove() -> void
    {
        m_proxy.m_loop.defer([self = shared_from_this()] {});
        m_proxy.m_pipes.erase(shared_from_this());
    }

    FaultProxy &m_proxy;
    std::shared_ptr<net::TcpStream> m_client;
    std::shared_ptr<net::TcpStream> m_server;
    std::array<bool, 2> m_blackholed{};
    TimePoint m_notBefore{};
};

FaultProxy::FaultProxy(net::EventLoop &loop, Endpoint at, Endpoint server)
    : m_loop(loop)
    , m_at(std::move(at))
    , m_server(std::move(server))
{
}

FaultProxy::~FaultProxy() = default;

auto FaultProxy::open() -> Result<void>
{
    auto listener = net::TcpListener::listen(
        m_loop, m_at, kUserTimeout,
        [this](std::shared_ptr<net::TcpStream> client) { accepted(std::move(client)); });
    if (!listener)
        return tl::unexpected(listener.error());
    m_listener = std::move(*listener);
    return {};
}

auto FaultProxy::accepted(std::shared_ptr<net::TcpStream> client) -> void
{
    auto pipe = std::make_shared<Pipe>(*this, std::move(client));
    if (pipe->open())
        m_pipes.insert(std::move(pipe));
}

auto FaultProxy::reset(double share, Random &random) -> void
{
    for (const auto &pipe : std::set(m_pipes)) {
        if (random.unit() < share)
            pipe->abort();
    }
}

auto FaultProxy::blackhole(double share, Random &random) -> void
{
    for (const auto &pipe : m_pipes) {
        if (random.unit() < share)
            pipe->blackhole();
    }
}

auto FaultProxy::partition(Direction direction) -> void
{
    m_partition = direction;
}

} // namespace heathergate::soak
