#include <heathergate/fleet/control_node.h>

/// Streams: at which software version they go on, and the records that tell it.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

/// Returns the software version that a stream is recorded with; empty if it is not known.
auto recordedVersionOf(const Placement &placement) -> std::string
{
    return placement.certainty == IncarnationCertainty::Doubtful ? std::string()
                                                                 : placement.softwareVersion;
}

} // namespace

auto ControlNode::originOf(TimePoint now, const fb::AdmissionT &message) -> StreamOrigin
{
    if (!message.resumes)
        return {};
    auto origin = m_state.streams().originOf(m_replica.groupTime(now), message.stream,
                                             ServiceId(message.service));
    if (!origin.isOnlyVersion && m_doubtedStreams.contains(message.stream))
        origin = {StreamOrigin::Kind::Unknown};
    m_metrics.count("heathergate_streams_resumed_total",
                    {{"origin", std::string(originText(origin.kind))}});
    m_log.add(now, LogImportance::Important, "admission", "stream_resumed",
              {{"admission", message.request},
               {"stream", message.stream},
               {"service", message.service},
               {"origin", originText(origin.kind)},
               {"software", origin.version},
               {"recorded", m_state.streams().size()},
               {"term", m_replica.term()}});
    return origin;
}

auto ControlNode::needsRecord(TimePoint now, StreamId stream, const ServiceId &service,
                              const Placement &placement) const -> bool
{
    const auto &streams = m_state.streams();
    // While one version serves, a stream without a record counts as one of it.
    return streams.isRecording(m_replica.groupTime(now))
           || placement.certainty == IncarnationCertainty::Doubtful
           || streams.isRecorded(stream, service, {});
}

auto ControlNode::recordStream(TimePoint now, RequestId request, AdmissionState &state) -> void
{
    const auto &placement = *state.placement;
    const auto upstream = m_state.upstreams().find(placement.upstream);
    state.awaitsRecord = false;
    if (state.stream == 0 || upstream == m_state.upstreams().end())
        return;
    const auto service = upstream->second.service;
    if (placement.certainty == IncarnationCertainty::Unconfirmed)
        m_unconfirmedStreams.add(placement.upstream, state.stream);
    else
        m_unconfirmedStreams.remove(state.stream);
    if (!needsRecord(now, state.stream, service, placement))
        return;
    const auto version = recordedVersionOf(placement);
    // A record of another version may be on its way to the log, and would replace the applied one.
    if (!m_openStreamRecords.contains({state.stream, service})
        && m_state.streams().isRecorded(state.stream, service, version))
        return;
    state.awaitsRecord = true;
    m_log.add(now, LogImportance::Routine, "admission", "stream_recorded",
              {{"admission", request},
               {"stream", state.stream},
               {"upstream", placement.upstream.value},
               {"software", version},
               {"term", m_replica.term()}});
    const auto settled = [this, request, version](TimePoint at, bool committed) {
        const auto found = m_admissions.find(request);
        if (found == m_admissions.end() || !found->second.awaitsRecord)
            return;
        // A later placement of the request waits for its own record.
        const auto &current = found->second.placement;
        if (!current || recordedVersionOf(*current) != version)
            return;
        if (!committed)
            return recordStream(at, request, found->second);
        found->second.awaitsRecord = false;
        grantIfReady(at, request, found->second);
    };
    proposeStreamRecord(state.stream, service, version, settled);
}

auto ControlNode::proposeStreamRecord(StreamId stream, const ServiceId &service,
                                      const std::string &version, CommitHandler handler) -> void
{
    const std::pair record(stream, service);
    m_openStreamRecords.insert(record);
    auto command = std::make_unique<fb::CommandT>();
    command->stream = std::make_unique<fb::RecordStreamT>();
    command->stream->stream = stream;
    command->stream->service = service.value;
    command->stream->softwareVersion = version;
    propose(std::move(command), true,
            [this, record, handler = std::move(handler)](TimePoint at, bool committed) {
                if (const auto open = m_openStreamRecords.find(record);
                    open != m_openStreamRecords.end())
                    m_openStreamRecords.erase(open);
                handler(at, committed);
            });
}

auto ControlNode::checkUnconfirmedStreams(TimePoint now, const UpstreamRecord &heartbeat) -> void
{
    const auto known = m_state.upstreams().find(heartbeat.id);
    const auto isSame =
        known != m_state.upstreams().end() && known->second.startedAt == heartbeat.startedAt;
    if (isSame)
        static_cast<void>(m_unconfirmedStreams.take(heartbeat.id));
    else
        doubtStreams(now, heartbeat.id);
}

auto ControlNode::doubtStreams(TimePoint now, const UpstreamId &upstream) -> void
{
    const auto known = m_state.upstreams().find(upstream);
    for (const auto stream : m_unconfirmedStreams.take(upstream)) {
        if (known == m_state.upstreams().end())
            continue;
        m_log.add(now, LogImportance::Important, "admission", "stream_doubted",
                  {{"stream", stream}, {"upstream", upstream.value}, {"term", m_replica.term()}});
        m_doubtedStreams.insert(stream);
        proposeStreamRecord(stream, known->second.service, {},
                            [this, stream](TimePoint, bool committed) {
                                if (committed)
                                    m_doubtedStreams.erase(stream);
                            });
    }
}

auto ControlNode::withdrawPlacement(RequestId request) -> void
{
    const auto found = m_admissions.find(request);
    if (found == m_admissions.end())
        return;
    found->second.placement.reset();
    found->second.awaitsRecord = false;
}

} // namespace heathergate::fleet
