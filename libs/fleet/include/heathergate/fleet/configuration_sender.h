#pragma once

#include <heathergate/core/core.h>
#include <heathergate/fleet/messages.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace heathergate::fleet {

/// Decides what the leader sends to which gateway to bring all of them to the active version of the
/// configuration. Each gateway is sent one change at a time, in pieces, the next one once it has
/// confirmed the last; the unconfirmed bytes of all gateways together are limited, so that neither
/// the memory of the leader nor the delay of other messages depends on the size of the
/// configuration or of the fleet. A state machine without I/O.
class ConfigurationSender
{
public:
    /// Returns the encoded change from a version, 0 for none, to the active one.
    using BodySource = std::function<std::string(std::uint64_t base)>;

    /// A piece to be sent to a gateway.
    struct Piece
    {
        InstanceId to;
        fb::ConfigurationPieceT message;
    };

    /// Maximum size of the content of one piece.
    static constexpr std::size_t kMaxPieceBytes = 32UL * 1024;
    /// Limit of the unconfirmed bytes of all gateways together.
    static constexpr std::size_t kMaxBytesInFlight = 512UL * 1024;
    /// Bytes of encoded changes from which on no further one is begun until others have ended.
    static constexpr std::size_t kMaxBytesHeld = 4UL * 1024 * 1024;
    /// Time after which a piece without confirmation no longer counts as on its way. Its gateway is
    /// sent nothing until it reports again.
    static constexpr Duration kPieceTimeout = std::chrono::milliseconds(700);

    /// Notes the version that is now active.
    auto activate(std::uint64_t version) -> void;
    /// Handles a gateway's report of the version that it has in force.
    auto reported(const InstanceId &gateway, std::uint64_t inForce) -> void;
    /// Handles the confirmation of a piece.
    auto confirmed(const InstanceId &gateway, const fb::ConfigurationProgressT &progress) -> void;
    auto remove(const InstanceId &gateway) -> void;

    /// Returns the pieces that may be sent now.
    [[nodiscard]] auto takePieces(TimePoint now, const BodySource &source) -> std::vector<Piece>;
    /// Returns the time at which `takePieces` has to be called again.
    [[nodiscard]] auto nextDeadline() const -> TimePoint;
    [[nodiscard]] auto bytesInFlight() const -> std::size_t
    {
        return m_bytesInFlight;
    }
    /// Returns the bytes of all encoded changes in memory.
    [[nodiscard]] auto bytesHeld() const -> std::size_t;

private:
    /// An encoded change, shared by all gateways that are sent it.
    struct Body
    {
        std::uint64_t base = 0;
        std::uint64_t version = 0;
        std::uint64_t digest = 0;
        std::string bytes;
    };
    using BodyPtr = std::shared_ptr<const Body>;

    struct Transfer
    {
        BodyPtr body;
        /// Bytes that the gateway has confirmed.
        std::size_t offset = 0;
    };

    struct Target
    {
        std::uint64_t inForce = 0;
        /// The gateway could not apply a change, so that it is sent a complete configuration.
        bool needsComplete = false;
        bool isQueued = false;
        /// A piece timed out, and the gateway has not reported since.
        bool isSilent = false;
        std::optional<Transfer> transfer;
        std::size_t bytesInFlight = 0;
        TimePoint sentAt{};
    };

    auto enqueue(const InstanceId &gateway, Target &target) -> void;
    auto release(Target &target) -> void;
    auto expirePieces(TimePoint now) -> void;
    [[nodiscard]] auto bodyFrom(std::uint64_t base, const BodySource &source) -> BodyPtr;
    /// Selects the change to send; keeps one of which the gateway already has a part. Returns
    /// whether there is one: it has to wait while too many others are held.
    [[nodiscard]] auto selectBody(Target &target, const BodySource &source) -> bool;

    std::uint64_t m_version = 0;
    std::map<InstanceId, Target> m_targets;
    /// Gateways that can be sent a piece, in the order of sending.
    std::deque<InstanceId> m_queue;
    /// Changes to the active version, by their base.
    std::map<std::uint64_t, BodyPtr> m_bodies;
    /// All changes that are cached or being sent.
    std::vector<std::weak_ptr<const Body>> m_held;
    std::size_t m_bytesInFlight = 0;
    /// Time at which the oldest unconfirmed piece may time out.
    TimePoint m_nextExpiry = TimePoint::max();
};

/// Assembles the pieces of a change that a gateway receives.
class ConfigurationReceiver
{
public:
    /// Adds a piece. Returns the bytes of the change once they are complete, and an empty string
    /// before. Pieces out of order are ignored; `received` tells the sender where to go on. Fails
    /// with `Code::BadFrame` if the complete bytes are damaged.
    [[nodiscard]] auto add(const fb::ConfigurationPieceT &piece) -> Result<std::string>;
    /// Returns the bytes received of the change that the last piece belongs to.
    [[nodiscard]] auto received() const -> std::size_t
    {
        return m_bytes.size();
    }

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_digest = 0;
    std::string m_bytes;
};

} // namespace heathergate::fleet
