#pragma once

#include <heathergate/http/http.h>
#include <heathergate/wire/wire.h>

/// What an entry node asks its surroundings to do.
namespace heathergate::daemon {

/// Answers a request as a whole.
struct Respond
{
    http::Token token = 0;
    http::Response response;
};

/// Starts an answer that follows in pieces.
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

/// Ends an answer; one that is not complete is cut visibly.
struct EndStream
{
    http::Token token = 0;
    bool complete = true;
};

/// Sends a request to an upstream.
struct SendUpstream
{
    http::Outgoing request;
};

/// Gives up a request to an upstream.
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
