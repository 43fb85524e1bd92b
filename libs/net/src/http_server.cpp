#include "http_connection.h"

namespace heathergate::net {

namespace {

/// Maximum time for which sent bytes of a client connection may stay unacknowledged.
constexpr Duration kClientUserTimeout = std::chrono::seconds(6);

} // namespace

HttpServer::HttpServer(EventLoop &loop, Handlers handlers)
    : m_loop(loop)
    , m_handlers(std::move(handlers))
{
    BufferBudget::Holder holder;
    holder.stalestBuffer = [this] { return stalestSince(true); };
    holder.reclaimableBytes = [this] { return reclaimableBytes(); };
    holder.reclaimBuffer = [this] {
        if (!closeOldestEnding(true))
            stalest(true)->giveWay();
    };
    holder.stalestConnection = [this] { return stalestSince(false); };
    holder.reclaimConnection = [this] {
        if (!closeOldestEnding(false))
            stalest(false)->closeForDescriptor();
    };
    m_holder = loop.budget().addHolder(std::move(holder));
}

HttpServer::~HttpServer()
{
    m_loop.budget().removeHolder(m_holder);
}

auto HttpServer::listen(const Endpoint &at) -> Result<void>
{
    auto listener = TcpListener::listen(
        m_loop, at, kClientUserTimeout,
        [this](std::shared_ptr<TcpStream> stream) { accepted(std::move(stream)); });
    if (!listener)
        return tl::unexpected(listener.error());
    m_listener = std::move(*listener);
    return {};
}

auto HttpServer::accepted(std::shared_ptr<TcpStream> stream) -> void
{
    const auto id = ++m_lastConnection;
    m_connections.emplace(id, std::make_unique<Connection>(*this, id, std::move(stream)));
    // The new connection is the last one to give way.
    if (!m_loop.budget().makeRoomForConnection())
        m_connections.at(id)->closeForDescriptor();
}

auto HttpServer::stalest(bool buffersBytes) -> Connection *
{
    Connection *chosen = nullptr;
    for (const auto &[id, connection] : m_connections) {
        if (!connection->canGiveWay(buffersBytes)
            || (chosen != nullptr && connection->progressAt() >= chosen->progressAt()))
            continue;
        connection->checkProgress(!buffersBytes);
        if (chosen == nullptr || connection->progressAt() < chosen->progressAt())
            chosen = connection.get();
    }
    return chosen;
}

auto HttpServer::reclaimableBytes() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto &[id, connection] : m_connections) {
        if (connection->canGiveWay(true))
            sum += connection->chargedBytes();
    }
    for (const auto &ending : m_endingStreams) {
        if (const auto stream = ending.lock(); stream && stream->isOpen())
            sum += stream->bufferedOutput();
    }
    return sum;
}

auto HttpServer::oldestEnding(bool buffersBytes) const -> std::shared_ptr<TcpStream>
{
    for (const auto &ending : m_endingStreams) {
        const auto stream = ending.lock();
        if (stream && stream->isOpen() && (!buffersBytes || stream->bufferedOutput() > 0))
            return stream;
    }
    return nullptr;
}

auto HttpServer::closeOldestEnding(bool buffersBytes) -> bool
{
    const auto stream = oldestEnding(buffersBytes);
    if (stream)
        stream->abort();
    return stream != nullptr;
}

auto HttpServer::stalestSince(bool buffersBytes) -> std::optional<TimePoint>
{
    if (oldestEnding(buffersBytes))
        return TimePoint{}; // Its requests have all ended.
    const auto *connection = stalest(buffersBytes);
    return connection == nullptr ? std::nullopt : std::optional(connection->progressAt());
}

auto HttpServer::find(ExchangeId exchange) -> Connection *
{
    const auto found = m_connections.find(exchange >> internal::kRequestBits);
    if (found == m_connections.end() || !found->second->isServing(exchange))
        return nullptr;
    return found->second.get();
}

auto HttpServer::abandon(std::uint64_t connection) -> void
{
    if (const auto found = m_connections.find(connection); found != m_connections.end())
        found->second->abandon();
}

auto HttpServer::remove(std::uint64_t connection) -> void
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    found->second->stopTimer();
    // The connection may be on the call stack, so it is destroyed at the end of the round.
    std::shared_ptr<Connection> last(std::move(found->second));
    m_connections.erase(found);
    m_loop.defer([last] {});
}

auto HttpServer::respond(ExchangeId exchange, const HttpResponse &response) -> void
{
    if (auto *connection = find(exchange))
        connection->respond(response);
}

auto HttpServer::beginStream(ExchangeId exchange, int status, const HeaderList &headers) -> void
{
    if (auto *connection = find(exchange))
        connection->beginStream(status, headers);
}

auto HttpServer::write(ExchangeId exchange, std::string_view bytes) -> void
{
    if (auto *connection = find(exchange))
        connection->write(bytes);
}

auto HttpServer::pendingOutput(ExchangeId exchange) -> std::size_t
{
    const auto *connection = find(exchange);
    return connection == nullptr ? 0 : connection->pendingOutput();
}

auto HttpServer::endStream(ExchangeId exchange, bool complete) -> void
{
    if (auto *connection = find(exchange))
        connection->endStream(complete);
}

auto HttpServer::abort(ExchangeId exchange) -> void
{
    if (auto *connection = find(exchange))
        connection->closeNow();
}

auto HttpServer::reset(ExchangeId exchange) -> void
{
    if (auto *connection = find(exchange))
        connection->abandon();
}

auto HttpServer::closeIdle() -> void
{
    m_closesIdle = true;
    std::vector<Connection *> idle;
    for (const auto &[id, connection] : m_connections) {
        if (connection->isIdle())
            idle.push_back(connection.get());
    }
    for (auto *connection : idle)
        connection->closeIfUnused();
}

auto HttpServer::stopListening() -> void
{
    m_listener.reset();
}

auto HttpServer::addEnding(const std::shared_ptr<TcpStream> &stream) -> void
{
    std::erase_if(m_endingStreams, [](const auto &known) { return known.expired(); });
    m_endingStreams.push_back(stream);
}

auto HttpServer::connections() const -> std::size_t
{
    const auto ending =
        std::count_if(m_endingStreams.begin(), m_endingStreams.end(), [](const auto &known) {
            const auto stream = known.lock();
            return stream && stream->isOpen();
        });
    return m_connections.size() + static_cast<std::size_t>(ending);
}

} // namespace heathergate::net
