#include <heathergate/fleet/configuration_sender.h>

namespace heathergate::fleet {

namespace {

/// Limit of the cached changes to the active version.
constexpr std::size_t kMaxCachedBodies = 8;

} // namespace

auto ConfigurationSender::activate(std::uint64_t version) -> void
{
    m_version = version;
    m_bodies.clear();
    for (auto &[gateway, target] : m_targets) {
        if (target.isSilent)
            target.transfer.reset();
        enqueue(gateway, target);
    }
}

auto ConfigurationSender::reported(const InstanceId &gateway, std::uint64_t inForce) -> void
{
    auto &target = m_targets[gateway];
    target.inForce = inForce;
    target.isSilent = false;
    enqueue(gateway, target);
}

auto ConfigurationSender::confirmed(const InstanceId &gateway,
                                    const fb::ConfigurationProgressT &progress) -> void
{
    const auto found = m_targets.find(gateway);
    if (found == m_targets.end())
        return;
    auto &target = found->second;
    target.inForce = progress.inForce;
    target.isSilent = false;
    release(target);
    if (target.transfer && target.transfer->body->version == progress.version) {
        const auto size = target.transfer->body->bytes.size();
        if (progress.inForce < progress.version && progress.received >= size) {
            // A further attempt waits for the next report, so that failures do not make a loop.
            target.needsComplete = true;
            target.transfer.reset();
            return;
        }
        target.transfer->offset = std::min<std::size_t>(progress.received, size);
        if (progress.inForce >= progress.version)
            target.needsComplete = false;
    }
    enqueue(gateway, target);
}

auto ConfigurationSender::remove(const InstanceId &gateway) -> void
{
    const auto found = m_targets.find(gateway);
    if (found == m_targets.end())
        return;
    release(found->second);
    m_targets.erase(found);
}

auto ConfigurationSender::enqueue(const InstanceId &gateway, Target &target) -> void
{
    if (target.inForce >= m_version) {
        target.transfer.reset();
        release(target);
        return;
    }
    if (target.bytesInFlight > 0 || target.isSilent || std::exchange(target.isQueued, true))
        return;
    m_queue.push_back(gateway);
}

auto ConfigurationSender::release(Target &target) -> void
{
    m_bytesInFlight -= std::exchange(target.bytesInFlight, 0);
}

auto ConfigurationSender::expirePieces(TimePoint now) -> void
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = TimePoint::max();
    for (auto &[gateway, target] : m_targets) {
        if (target.bytesInFlight == 0)
            continue;
        if (now - target.sentAt >= kPieceTimeout) {
            release(target);
            target.isSilent = true;
            if (target.transfer && target.transfer->body->version != m_version)
                target.transfer.reset();
        } else {
            m_nextExpiry = std::min(m_nextExpiry, target.sentAt + kPieceTimeout);
        }
    }
}

auto ConfigurationSender::bodyFrom(std::uint64_t base, const BodySource &source) -> BodyPtr
{
    const auto cached = m_bodies.find(base);
    if (cached != m_bodies.end())
        return cached->second;
    if (m_bodies.size() >= kMaxCachedBodies)
        m_bodies.clear();
    Body body;
    body.base = base;
    body.version = m_version;
    body.bytes = source(base);
    body.digest = hash64(body.bytes);
    const auto held = std::make_shared<const Body>(std::move(body));
    std::erase_if(m_held, [](const auto &item) { return item.expired(); });
    m_held.push_back(held);
    return m_bodies[base] = held;
}

auto ConfigurationSender::bytesHeld() const -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto &item : m_held) {
        if (const auto body = item.lock())
            bytes += body->bytes.size();
    }
    return bytes;
}

auto ConfigurationSender::selectBody(Target &target, const BodySource &source) -> bool
{
    const auto base = target.needsComplete ? 0 : target.inForce;
    const auto isUsable =
        target.transfer && target.transfer->body->version > target.inForce
        && (target.transfer->body->base == base || target.transfer->body->base == 0)
        && (target.transfer->body->version == m_version || target.transfer->offset > 0);
    if (isUsable)
        return true;
    target.transfer.reset();
    if (!m_bodies.contains(base) && bytesHeld() >= kMaxBytesHeld) {
        m_bodies.clear();
        if (bytesHeld() >= kMaxBytesHeld)
            return false;
    }
    target.transfer = Transfer{bodyFrom(base, source), 0};
    return true;
}

auto ConfigurationSender::takePieces(TimePoint now, const BodySource &source) -> std::vector<Piece>
{
    expirePieces(now);
    std::vector<Piece> pieces;
    std::deque<InstanceId> deferred;
    while (!m_queue.empty() && m_bytesInFlight < kMaxBytesInFlight) {
        const auto gateway = m_queue.front();
        m_queue.pop_front();
        const auto found = m_targets.find(gateway);
        if (found == m_targets.end())
            continue;
        auto &target = found->second;
        target.isQueued = false;
        if (target.inForce >= m_version || target.bytesInFlight > 0 || target.isSilent)
            continue;
        if (!selectBody(target, source)) {
            target.isQueued = true;
            deferred.push_back(gateway);
            continue;
        }
        const auto &[body, offset] = *target.transfer;
        Piece piece;
        piece.to = gateway;
        piece.message.base = body->base;
        piece.message.version = body->version;
        piece.message.digest = body->digest;
        piece.message.size = body->bytes.size();
        piece.message.offset = offset;
        piece.message.bytes = toBytes(std::string_view(body->bytes).substr(offset, kMaxPieceBytes));
        target.bytesInFlight = piece.message.bytes.size();
        target.sentAt = now;
        m_bytesInFlight += target.bytesInFlight;
        m_nextExpiry = std::min(m_nextExpiry, now + kPieceTimeout);
        pieces.push_back(std::move(piece));
    }
    m_queue.insert(m_queue.begin(), deferred.begin(), deferred.end());
    return pieces;
}

auto ConfigurationSender::nextDeadline() const -> TimePoint
{
    return m_nextExpiry;
}

auto ConfigurationReceiver::add(const fb::ConfigurationPieceT &piece) -> Result<std::string>
{
    if (piece.version != m_version || piece.digest != m_digest) {
        m_version = piece.version;
        m_digest = piece.digest;
        m_bytes.clear();
    }
    if (piece.offset == m_bytes.size())
        m_bytes.append(piece.bytes.begin(), piece.bytes.end());
    if (m_bytes.size() < piece.size)
        return std::string();
    m_version = 0;
    auto bytes = std::exchange(m_bytes, {});
    if (bytes.size() != piece.size || hash64(bytes) != piece.digest)
        return fail(Code::BadFrame, "the bytes do not match their digest");
    return bytes;
}

} // namespace heathergate::fleet
