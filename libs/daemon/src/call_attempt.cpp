#include <heathergate/core/json_text.h>
#include <heathergate/daemon/internal/call_runner.h>

/// Attempts of a call at an upstream, and the handling of their failures.
namespace heathergate::daemon::internal {

namespace {

constexpr int kMaxRetries = 3;
/// Maximum size of a buffered response; the output of a model is not bounded by it.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

auto eventOf(const nlohmann::json &data) -> std::string
{
    return "data: " + jsonText(data) + "\n\n";
}

auto chunkOf(const CallRequest &request, const nlohmann::json &delta, const nlohmann::json &reason)
    -> nlohmann::json
{
    return {{"id", request.callId.value},
            {"object", "chat.completion.chunk"},
            {"model", request.model},
            {"choices",
             nlohmann::json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}})}};
}

auto usageOf(const Answer &answer) -> nlohmann::json
{
    return {{"prompt_tokens", answer.promptTokens},
            {"completion_tokens", answer.completionTokens},
            {"cached_tokens", answer.cachedTokens}};
}

auto completionResponse(const CallRequest &request, const Answer &answer) -> http::Response
{
    const nlohmann::json message{{"role", "assistant"}, {"content", answer.text}};
    return jsonResponse(
        {{"id", request.callId.value},
         {"object", "chat.completion"},
         {"model", request.model},
         {"choices",
          nlohmann::json::array(
              {{{"index", 0}, {"message", message}, {"finish_reason", answer.finishReason}}})},
         {"usage", usageOf(answer)}});
}

} // namespace

auto CallRunner::send(TimePoint now, Call &call, const std::string &history) -> void
{
    call.phase = CallPhase::Running;
    call.answer = Answer{};
    call.sentAt = now;
    call.lastProgress = now;
    auto outgoing = call.request.kind == programs::CallKind::Model ? modelRequest(call, history)
                                                                   : serviceRequest(call);
    outgoing.id = m_context.nextNumber();
    outgoing.ownConnection = !call.request.idempotent || call.retries > 0;
    if (!call.request.traceparent.empty())
        outgoing.headers["traceparent"] = call.request.traceparent;
    call.outgoing = outgoing.id;
    m_byOutgoing[outgoing.id] = call.id;
    m_context.effects.emplace_back(SendUpstream{std::move(outgoing)});
    watchProgress(now, call.id, call.outgoing);
}

auto CallRunner::modelRequest(const Call &call, const std::string &history) const -> http::Outgoing
{
    const auto &request = call.request;
    auto messages = nlohmann::json::parse(history, nullptr, false);
    if (!messages.is_array())
        messages = nlohmann::json::array();
    for (const auto &message : request.newMessages)
        messages.push_back(message);
    nlohmann::json body{{"model", request.model},          {"messages", std::move(messages)},
                        {"max_tokens", request.maxTokens}, {"stream", true},
                        {"priority", request.priority},    {"request_id", request.callId.value}};
    if (request.program)
        body["program"] = request.program->customer.value + "/" + request.program->program.value;
    http::Outgoing outgoing;
    outgoing.url = "http://" + call.upstreamAddress + "/v1/chat/completions";
    outgoing.headers["content-type"] = "application/json";
    outgoing.body = jsonText(body);
    return outgoing;
}

auto CallRunner::serviceRequest(const Call &call) const -> http::Outgoing
{
    const auto &request = call.request;
    http::Outgoing outgoing;
    outgoing.method = request.method;
    outgoing.url = "http://" + call.upstreamAddress + request.path;
    if (!request.contentType.empty())
        outgoing.headers["content-type"] = request.contentType;
    outgoing.headers["x-customer"] = request.customer.value;
    // The service must not see the same idempotency key from different customers or programs.
    if (request.program)
        outgoing.headers["idempotency-key"] =
            toHex(hmacSha256(request.customer.value,
                             request.program->program.value + "/" + request.callId.value))
                .substr(0, 32);
    outgoing.body = request.body;
    return outgoing;
}

auto CallRunner::watchProgress(TimePoint now, std::uint64_t id, std::uint64_t outgoing) -> void
{
    auto *call = find(id);
    if (call == nullptr || call->outgoing != outgoing || call->phase != CallPhase::Running)
        return;
    const auto hasStarted = call->answer.status != 0;
    const auto timeout =
        hasStarted ? m_context.settings.progressTimeout : m_context.settings.firstByteTimeout;
    if (now >= call->lastProgress + timeout) {
        m_context.metrics.count("heathergate_silent_upstreams_total",
                                {{"upstream", call->upstream.value}});
        abandonAttempt(now, *call, routing::AttemptOutcome::TimedOut);
        retryOrFail(now, *call, true);
        return;
    }
    m_context.timers.add(call->lastProgress + timeout,
                         [this, id, outgoing](TimePoint at) { watchProgress(at, id, outgoing); });
}

auto CallRunner::upstreamEvent(TimePoint now, const http::ClientEvent &event) -> bool
{
    const auto found = m_byOutgoing.find(event.id);
    if (found == m_byOutgoing.end())
        return false;
    auto *call = find(found->second);
    if (call == nullptr || call->outgoing != event.id) {
        m_byOutgoing.erase(found);
        return true;
    }
    call->lastProgress = now;
    if (const auto *head = std::get_if<http::AnswerHead>(&event.what)) {
        call->answer.status = head->status;
        const auto type = head->headers.find("content-type");
        call->answer.contentType = type == head->headers.end() ? "" : type->second;
        const auto boot = head->headers.find("x-boot-id");
        const auto record = m_context.view.state().upstreams().find(call->upstream);
        // If another process answers the probe, the one that ran the request has failed.
        const auto restarted = call->phase == CallPhase::Probing && boot != head->headers.end()
                               && record != m_context.view.state().upstreams().end()
                               && record->second.offer.bootId != boot->second;
        if (restarted)
            call->answer.status = 0;
    } else if (const auto *data = std::get_if<http::AnswerData>(&event.what)) {
        answerData(now, *call, data->bytes);
    } else {
        const auto end = std::get<http::AnswerEnd>(event.what);
        m_byOutgoing.erase(found);
        call->outgoing = 0;
        if (call->phase == CallPhase::Probing)
            probeEnded(now, *call, end.complete && call->answer.status != 0);
        else
            attemptEnded(now, *call, end);
    }
    return true;
}

auto CallRunner::answerData(TimePoint now, Call &call, const std::string &bytes) -> void
{
    auto &answer = call.answer;
    if (call.phase != CallPhase::Running)
        return;
    const auto isModelStream =
        call.request.kind == programs::CallKind::Model && answer.status == kStatusOk;
    if (!isModelStream) {
        if (answer.body.size() + bytes.size() <= kMaxAnswerBytes) {
            answer.body += bytes;
            return;
        }
        abandonAttempt(now, call, routing::AttemptOutcome::Failure);
        failCall(now, call, programs::CallResult::Unknown,
                 Error{Code::UpstreamFailed, "the answer is too large", Ran::Yes, {}});
        return;
    }
    for (const auto &data : answer.events.feed(bytes)) {
        modelChunk(call, data);
        if (answer.done)
            break;
    }
    forwardText(call);
    if (answer.exceededMaxTokens) {
        cancelOutgoing(call);
        complete(now, call);
    }
}

auto CallRunner::modelChunk(Call &call, const std::string &data) -> void
{
    auto &answer = call.answer;
    if (data == "[DONE]") {
        answer.done = true;
        return;
    }
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object())
        return;
    if (const auto choices = json.find("choices");
        choices != json.end() && choices->is_array() && !choices->empty()) {
        const auto &choice = choices->front();
        const auto delta = choice.value("delta", nlohmann::json::object());
        const auto content = delta.find("content");
        if (content != delta.end() && content->is_string()) {
            // The engine is stopped when it exceeds the reserved tokens.
            if (answer.completionTokens >= call.request.maxTokens) {
                answer.finishReason = "length";
                answer.exceededMaxTokens = true;
                answer.done = true;
                return;
            }
            answer.text += content->get<std::string>();
            ++answer.completionTokens;
        }
        const auto reason = choice.find("finish_reason");
        if (reason != choice.end() && reason->is_string())
            answer.finishReason = reason->get<std::string>();
    }
    if (const auto usage = json.find("usage"); usage != json.end() && usage->is_object()) {
        answer.completionTokens = usage->value("completion_tokens", answer.completionTokens);
        answer.promptTokens = usage->value("prompt_tokens", answer.promptTokens);
        answer.cachedTokens = usage->value("cached_tokens", answer.cachedTokens);
    }
}

auto CallRunner::forwardText(Call &call) -> void
{
    if (!call.request.stream || call.request.token == 0)
        return;
    const auto &text = call.answer.text;
    auto &forwarded = call.forwardedText;
    // A retry generates the text from the beginning, including the part that was already forwarded.
    if (text.size() <= forwarded.size() || !text.starts_with(forwarded))
        return;
    if (!std::exchange(call.streamStarted, true)) {
        m_context.metrics.observe("heathergate_first_token_seconds",
                                  {{"customer", call.request.customer.value}},
                                  call.lastProgress - call.arrivedAt);
        m_context.effects.emplace_back(
            BeginStream{call.request.token,
                        {kStatusOk,
                         {{"content-type", "text/event-stream"}, {"cache-control", "no-store"}},
                         {}}});
    }
    const auto added = text.substr(forwarded.size());
    forwarded = text;
    m_context.effects.emplace_back(StreamData{
        call.request.token, eventOf(chunkOf(call.request, {{"content", added}}, nullptr))});
}

auto CallRunner::attemptEnded(TimePoint now, Call &call, const http::AnswerEnd &end) -> void
{
    const auto &answer = call.answer;
    const auto isModel = call.request.kind == programs::CallKind::Model;
    if (!end.complete) {
        attemptFailed(now, call, end.sent, end.sent);
        return;
    }
    if (isModel && answer.status == kStatusOk && !answer.done) {
        attemptFailed(now, call, true, true);
        return;
    }
    const auto textDiffers =
        isModel && answer.status == kStatusOk && !answer.text.starts_with(call.forwardedText);
    if (textDiffers) {
        releaseUpstream(now, call, routing::AttemptOutcome::Success);
        failCall(
            now, call, programs::CallResult::Unknown,
            Error{Code::UpstreamFailed, "a repeated attempt gave another answer", Ran::Yes, {}});
        return;
    }
    const auto isOverloaded =
        answer.status == kStatusTooManyRequests || answer.status == kStatusUnavailable;
    if (isModel && isOverloaded) {
        releaseUpstream(now, call, routing::AttemptOutcome::Failure);
        retryOrFail(now, call, true);
        return;
    }
    if (isModel && answer.status != kStatusOk) {
        releaseUpstream(now, call, attemptOutcomeOf(answer));
        failCall(now, call, programs::CallResult::NotRun,
                 Error{Code::UpstreamFailed,
                       "the engine answered with status " + std::to_string(answer.status),
                       Ran::Unknown,
                       {}});
        return;
    }
    complete(now, call);
}

auto CallRunner::cancelOutgoing(Call &call) -> bool
{
    const auto outgoing = std::exchange(call.outgoing, 0);
    if (outgoing == 0)
        return false;
    m_byOutgoing.erase(outgoing);
    m_context.effects.emplace_back(CancelUpstream{outgoing});
    return true;
}

auto CallRunner::abandonAttempt(TimePoint now, Call &call, routing::AttemptOutcome attemptOutcome)
    -> void
{
    if (cancelOutgoing(call))
        releaseUpstream(now, call, attemptOutcome);
}

auto CallRunner::attemptFailed(TimePoint now, Call &call, bool sent, bool connectionLost) -> void
{
    releaseUpstream(now, call, routing::AttemptOutcome::Failure);
    if (connectionLost)
        probe(now, call);
    else
        retryOrFail(now, call, sent);
}

auto CallRunner::probe(TimePoint, Call &call) -> void
{
    call.phase = CallPhase::Probing;
    call.answer = Answer{};
    http::Outgoing outgoing;
    outgoing.id = m_context.nextNumber();
    outgoing.method = "GET";
    outgoing.url = "http://" + call.upstreamAddress + "/health";
    outgoing.ownConnection = true;
    call.outgoing = outgoing.id;
    m_byOutgoing[outgoing.id] = call.id;
    m_context.effects.emplace_back(SendUpstream{std::move(outgoing)});
}

auto CallRunner::probeEnded(TimePoint now, Call &call, bool isReachable) -> void
{
    if (isReachable) {
        retryOrFail(now, call, true);
        return;
    }
    constexpr Duration kReportDeadline = std::chrono::seconds(5);
    m_context.applyControl(
        now,
        control::ReportCrash{call.request.fingerprint, call.upstream, call.upstreamIncarnation},
        now + kReportDeadline,
        [this, id = call.id](TimePoint at, const Result<control::ControlOutcome> &outcome) {
            auto *reported = find(id);
            if (reported == nullptr)
                return;
            if (outcome && outcome->number >= control::kPoisonCrashes)
                failCall(at, *reported, programs::CallResult::Unknown,
                         Error{Code::PoisonRequest,
                               "upstreams died each time while this request ran",
                               Ran::Unknown,
                               {}});
            else
                retryOrFail(at, *reported, true);
        });
}

auto CallRunner::retryOrFail(TimePoint now, Call &call, bool sent) -> void
{
    const auto &request = call.request;
    call.maybeSent = call.maybeSent || sent;
    const auto isSafe = !sent || request.idempotent;
    const auto shouldRetry = request.token != 0 && call.retries < kMaxRetries
                             && now < request.deadline && checkAuthorization(now, call).has_value();
    if (isSafe && shouldRetry && m_retryBudget.withdraw()) {
        ++call.retries;
        call.excluded.insert(call.upstream);
        call.phase = CallPhase::WaitingForProgram;
        m_context.metrics.count("heathergate_retries_total", {{"upstream", call.upstream.value}});
        const auto pause = routing::backoff(call.retries, m_context.random);
        m_context.timers.add(now + pause, [this, id = call.id](TimePoint at) {
            auto *waiting = find(id);
            if (waiting != nullptr && waiting->phase == CallPhase::WaitingForProgram)
                enqueue(at, *waiting);
        });
        return;
    }
    if (!call.maybeSent)
        failCall(now, call,
                 Error{Code::UpstreamFailed, "no upstream could be reached", Ran::No,
                       std::chrono::seconds(1)});
    else if (request.idempotent)
        failCall(
            now, call,
            Error{Code::UpstreamFailed, "the upstreams that were tried failed", Ran::Unknown, {}});
    else
        failCall(now, call,
                 Error{Code::OutcomeUnknown,
                       "the upstream failed after the request was sent",
                       Ran::Unknown,
                       {}});
}

auto CallRunner::failCall(TimePoint now, Call &call, const Error &error) -> void
{
    failCall(now, call,
             call.maybeSent ? programs::CallResult::Unknown : programs::CallResult::NotRun, error);
}

auto CallRunner::failCall(TimePoint now, Call &call, programs::CallResult result,
                          const Error &error) -> void
{
    if (!call.request.program || call.attempt == 0) {
        refuse(now, call, error);
        return;
    }
    call.phase = CallPhase::Finishing;
    programs::FinishCall finish;
    finish.key = *call.request.program;
    finish.call = call.request.callId;
    finish.attempt = call.attempt;
    finish.result = result;
    record(now, call, finish, error,
           [this, id = call.id, error](TimePoint at, const Result<programs::ProgramOutcome> &) {
               if (auto *ended = find(id))
                   refuse(at, *ended, error);
           });
}

auto CallRunner::deadlinePassed(TimePoint now, std::uint64_t id) -> void
{
    auto *call = find(id);
    if (call == nullptr)
        return;
    const Error notRun{Code::DeadlinePassed,
                       "the deadline passed while the request waited",
                       call->otherAttemptRan,
                       {}};
    switch (call->phase) {
    case CallPhase::Admitting:
        refuse(now, *call, notRun);
        return;
    case CallPhase::WaitingForProgram:
    case CallPhase::Queued:
        if (call->retries > 0)
            failCall(now, *call,
                     call->request.idempotent ? programs::CallResult::Unknown
                                              : programs::CallResult::NotRun,
                     Error{Code::DeadlinePassed,
                           "the deadline passed between attempts",
                           call->request.idempotent ? Ran::Unknown : Ran::No,
                           {}});
        else
            refuse(now, *call, notRun);
        return;
    case CallPhase::Running:
        abandonAttempt(now, *call, routing::AttemptOutcome::Neutral);
        failCall(now, *call, programs::CallResult::Unknown,
                 Error{call->request.idempotent ? Code::DeadlinePassed : Code::OutcomeUnknown,
                       "the deadline passed while an upstream worked",
                       Ran::Unknown,
                       {}});
        return;
    case CallPhase::Beginning:
    case CallPhase::Probing:
    case CallPhase::Finishing:
        return;
    }
}

auto CallRunner::deliver(Call &call) -> void
{
    const auto token = std::exchange(call.request.token, 0);
    if (token == 0)
        return;
    m_byToken.erase(token);
    const auto &answer = call.answer;
    if (call.request.kind == programs::CallKind::Service) {
        http::Response response{answer.status, {}, answer.body};
        if (!answer.contentType.empty())
            response.headers["content-type"] = answer.contentType;
        m_context.respond(token, std::move(response));
        return;
    }
    if (!call.request.stream) {
        m_context.respond(token, completionResponse(call.request, answer));
        return;
    }
    if (!call.streamStarted)
        m_context.effects.emplace_back(
            BeginStream{token, {kStatusOk, {{"content-type", "text/event-stream"}}, {}}});
    auto last = chunkOf(call.request, nlohmann::json::object(), answer.finishReason);
    last["usage"] = usageOf(answer);
    m_context.effects.emplace_back(StreamData{token, eventOf(last) + "data: [DONE]\n\n"});
    m_context.effects.emplace_back(EndStream{token, true});
}

auto CallRunner::deliverRecorded(Call &call, const programs::ProgramOutcome &outcome) -> void
{
    call.answer = Answer{};
    call.answer.status = outcome.status;
    call.answer.contentType = outcome.contentType;
    call.answer.body = outcome.answer;
    call.answer.text = outcome.answer;
    call.answer.finishReason = "stop";
    forwardText(call);
    deliver(call);
}

} // namespace heathergate::daemon::internal
