#include <heathergate/fleet/control_node.h>

/// Streams: at which software version they go on, and the records that tell it.
namespace heathergate::fleet {

namespace {

using telemetry::LogImportance;

} // namespace

auto ControlNode::originOf(TimePoint now, const fb::AdmissionT &message) -> StreamOrigin
{
    if (!message.resumes)
        return {};
    auto origin = m_state.streams().originOf(m_replica.groupTime(now), message.stream,
                                             ServiceId(message.service));
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

auto ControlNode::recordStream(TimePoint now, RequestId request, AdmissionState &state) -> void
{
    const auto &placement = *state.placement;
    const auto upstream = m_state.upstreams().find(placement.upstream);
    state.awaitsRecord = false;
    if (state.stream == 0 || upstream == m_state.upstreams().end()
        || !m_state.streams().isRecording(m_replica.groupTime(now)))
        return;
    const auto service = upstream->second.service;
    const auto version = placement.softwareVersion;
    const std::pair record(state.stream, service);
    // A record of another version may be on its way to the log, and would replace the applied one.
    if (!m_openStreamRecords.contains(record)
        && m_state.streams().isRecorded(state.stream, service, version))
        return;
    state.awaitsRecord = true;
    m_openStreamRecords.insert(record);
    m_log.add(now, LogImportance::Routine, "admission", "stream_recorded",
              {{"admission", request},
               {"stream", state.stream},
               {"upstream", placement.upstream.value},
               {"software", version},
               {"term", m_replica.term()}});
    auto command = std::make_unique<fb::CommandT>();
    command->stream = std::make_unique<fb::RecordStreamT>();
    command->stream->stream = state.stream;
    command->stream->service = service.value;
    command->stream->softwareVersion = version;
    const auto settled = [this, request, version, record](TimePoint at, bool committed) {
        if (const auto open = m_openStreamRecords.find(record); open != m_openStreamRecords.end())
            m_openStreamRecords.erase(open);
        const auto found = m_admissions.find(request);
        if (found == m_admissions.end() || !found->second.awaitsRecord)
            return;
        // A later placement of the request waits for its own record.
        const auto &current = found->second.placement;
        if (!current || current->softwareVersion != version)
            return;
        if (!committed)
            return recordStream(at, request, found->second);
        found->second.awaitsRecord = false;
        grantIfReady(at, request, found->second);
    };
    propose(std::move(command), true, settled);
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
