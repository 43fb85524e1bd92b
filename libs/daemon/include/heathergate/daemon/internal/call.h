#pragma once

#include <heathergate/daemon/internal/entry_context.h>
#include <heathergate/http/event_stream.h>
#include <heathergate/routing/routing.h>

namespace heathergate::daemon::internal {

/// Phase of a call in the instance.
enum class CallPhase {
    /// Waits for allowance under its customer's rate.
    Admitting,
    /// Waits for an earlier call of its program on this instance.
    WaitingForProgram,
    /// Waits for a free upstream.
    Queued,
    /// Its intent is being recorded.
    Beginning,
    /// An upstream is executing it.
    Running,
    /// The connection to its upstream was lost; a health probe determines whether the upstream
    /// failed.
    Probing,
    /// Its outcome is being recorded.
    Finishing,
};

/// A validated request of a caller.
struct CallRequest
{
    http::Token token = 0;
    std::string keyHash;
    CustomerId customer;
    int priority = 0;
    double weight = 1;
    /// The program it belongs to; empty for calls that are not recorded.
    std::optional<programs::ProgramKey> program;
    bool standalone = false;
    CallId callId;
    programs::CallKind kind = programs::CallKind::Model;
    bool idempotent = false;
    int turn = 0;
    /// Identifies the content of the request, to detect a reused idempotency key and repeated
    /// calls.
    std::string digest;
    /// Identifies the content of the request per customer, to count the upstreams that it crashed.
    std::string fingerprint;
    /// "model:NAME" or "service:NAME".
    std::string lane;
    TimePoint deadline{};
    std::string traceparent;

    // Model calls.
    std::string model;
    nlohmann::json newMessages = nlohmann::json::array();
    std::int64_t maxTokens = 0;
    bool stream = false;

    // Service calls.
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
};

/// The upstream's response in the current attempt.
struct Answer
{
    int status = 0;
    std::string contentType;
    std::string body;
    /// Text that the model generated.
    std::string text;
    std::string finishReason;
    std::int64_t completionTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0;
    bool done = false;
    /// The engine generated more tokens than the call reserved.
    bool exceededMaxTokens = false;
    http::EventStreamReader events;
};

/// A call in progress.
struct Call
{
    std::uint64_t id = 0;
    CallRequest request;
    CallPhase phase = CallPhase::Admitting;
    TimePoint arrivedAt{};
    bool allowanceRequested = false;

    /// Number of the current or last attempt; 0 before the first one.
    int attempt = 0;
    int retries = 0;
    /// Whether an upstream may have received the request.
    bool maybeSent = false;
    /// Whether another attempt of the request may have run, as reported by the ledger when it
    /// refused the intent.
    Ran otherAttemptRan = Ran::No;
    UpstreamId upstream;
    std::uint64_t upstreamIncarnation = 0;
    std::string upstreamAddress;
    std::set<UpstreamId> excluded;
    routing::PromptPrefixes prompt;
    /// Id of the latest request or health probe to the upstream.
    std::uint64_t outgoing = 0;
    TimePoint sentAt{};
    TimePoint lastProgress{};
    Answer answer;

    /// Text already forwarded to the caller, over all attempts.
    std::string forwardedText;
    bool streamStarted = false;
};

} // namespace heathergate::daemon::internal
