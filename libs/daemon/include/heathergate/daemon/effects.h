#pragma once

#include <heathergate/http/http.h>
#include <heathergate/wire/wire.h>

/// Effects: the outputs of an entry node, which the embedding code carries out.
namespace heathergate::daemon {

/// Sends a complete response.
struct Respond
{
    http::Token token = 0;
    http::Response response;
};

/// Starts a response whose body is streamed.
struct BeginStream
{
    http::Token token = 0;
    http::Response head;
};

struct StreamData
{
    http::Token token = 0;
    std::string bytes;
};

/// Ends a streamed response. If it is not `complete`, the connection is aborted, so that the caller
/// detects the truncation.
struct EndStream
{
    http::Token token = 0;
    bool complete = true;
};

struct SendUpstream
{
    http::Outgoing request;
};

struct CancelUpstream
{
    std::uint64_t id = 0;
};

struct SendPeer
{
    InstanceId to;
    wire::PeerMessage message;
};

using Effect = std::variant<Respond, BeginStream, StreamData, EndStream, SendUpstream,
                            CancelUpstream, SendPeer>;

} // namespace heathergate::daemon
