#pragma once

#include <heathergate/core/core.h>
#include <heathergate/fleet/configuration.h>
#include <heathergate/fleet/messages.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace heathergate::fleet {

/// Identifies a stream in all attempts of its caller; 0 for none.
using StreamId = std::uint64_t;

/// Returns the identifier of a stream, from its customer and the name of the caller's attempt that
/// brought its first event.
[[nodiscard]] auto streamIdOf(const CustomerId &customer, std::string_view firstAttempt)
    -> StreamId;

/// What is known of the software version that began a stream.
struct StreamOrigin
{
    enum class Kind {
        /// The stream is new, or no version of the service is known to have run it.
        Any,
        /// The stream can only go on at `version`.
        One,
        /// The version that began it is not known.
        Unknown,
    };

    Kind kind = Kind::Any;
    std::string version = {};
    /// No other version of the service is known.
    bool isOnlyVersion = false;
};

/// Returns a text for logs and metrics.
[[nodiscard]] auto originText(StreamOrigin::Kind kind) -> std::string_view;

/// Replicated record of the software versions of upstreams that began streams, so that a stream
/// goes on only at the version that began it. Streams are recorded only while the upstreams of some
/// service have, or had within the retention, several versions: otherwise there is only one version
/// that can have begun a stream. Designed for this load: 7,000 new streams per second during the
/// roll-out of a version, each of which is resumed within seconds.
class StreamOrigins
{
public:
    /// Time for which a recorded stream and a version that no longer serves are remembered, unless
    /// routes permit longer streams.
    static constexpr GroupTime kMinRetention = std::chrono::seconds(60);
    /// Maximum number of recorded streams; the oldest are dropped first.
    static constexpr std::size_t kMaxStreams = 65'536;

    /// Sets the time for which streams are remembered, at least `kMinRetention`.
    auto setRetention(GroupTime retention) -> void
    {
        m_retention = std::max(retention, kMinRetention);
    }
    /// Sets the software versions of the upstreams of a service.
    auto setServing(GroupTime now, const ServiceId &service, const std::set<std::string> &versions)
        -> void;
    /// Records which version of a service begins or resumes a stream.
    auto record(GroupTime now, StreamId stream, const ServiceId &service,
                const std::string &version) -> void;

    /// Returns whether a stream has to be recorded before its first event is forwarded.
    [[nodiscard]] auto isRecording(GroupTime now) const -> bool;
    [[nodiscard]] auto isRecorded(StreamId stream, const ServiceId &service,
                                  const std::string &version) const -> bool;
    /// Returns what is known of the version of `service` that began a stream.
    [[nodiscard]] auto originOf(GroupTime now, StreamId stream, const ServiceId &service) const
        -> StreamOrigin;
    /// Returns the number of recorded streams.
    [[nodiscard]] auto size() const -> std::size_t
    {
        return m_streams.size();
    }

    [[nodiscard]] auto snapshot() const -> fb::StreamOriginsT;
    auto restore(const fb::StreamOriginsT &table) -> void;

private:
    /// The end of the time for which a version serves that is still in use.
    static constexpr GroupTime kServing = GroupTime::max();

    struct ServiceVersions
    {
        /// The versions in use, and those that served within the retention, with the time at which
        /// the last upstream of the version was removed.
        std::map<std::string, GroupTime> servedUntil;
        /// The only version before others were added.
        std::string beforeMixing;
    };

    struct OriginVersion
    {
        ServiceId service;
        std::string version;

        auto operator==(const OriginVersion &) const -> bool = default;
    };

    struct Stream
    {
        GroupTime at{};
        /// Positions in `m_versions`; one for each service that the stream ran at.
        std::vector<std::uint32_t> versions;
    };

    [[nodiscard]] auto isMixed(GroupTime now, const ServiceVersions &service) const -> bool;
    /// Returns the version of a service that has only one.
    [[nodiscard]] auto onlyVersionOf(GroupTime now, const ServiceVersions &service) const
        -> StreamOrigin;
    [[nodiscard]] auto isRemembered(GroupTime now, GroupTime servedUntil) const -> bool;
    [[nodiscard]] auto positionOf(const ServiceId &service, const std::string &version)
        -> std::uint32_t;
    auto removeExpired(GroupTime now) -> void;

    GroupTime m_retention = kMinRetention;
    std::map<ServiceId, ServiceVersions> m_services;
    std::optional<GroupTime> m_recordingSince;
    /// Time of the newest stream that was dropped because there were too many.
    std::optional<GroupTime> m_droppedAt;
    std::vector<OriginVersion> m_versions;
    std::unordered_map<StreamId, Stream> m_streams;
    /// The recorded streams by the time of their record.
    std::deque<std::pair<GroupTime, StreamId>> m_byTime;
};

} // namespace heathergate::fleet
