#pragma once

#include <heathergate/core/core.h>

#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathergate::net {

/// One header field as it stood in the message.
struct Header
{
    std::string name;
    std::string value;
};

/// Header fields in the order of the message, repeated ones included.
class HeaderList
{
public:
    HeaderList() = default;
    HeaderList(std::initializer_list<Header> fields)
        : m_fields(fields)
    {
    }

    auto add(std::string name, std::string value) -> void
    {
        m_fields.push_back({std::move(name), std::move(value)});
    }
    /// Returns the first value of a field, whatever the case of its name; null if there is none.
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *;
    /// Returns the first value of a field, or an empty text.
    [[nodiscard]] auto value(std::string_view name) const -> std::string_view;
    [[nodiscard]] auto count(std::string_view name) const -> std::size_t;
    [[nodiscard]] auto fields() const -> const std::vector<Header> &
    {
        return m_fields;
    }
    auto back() -> Header &
    {
        return m_fields.back();
    }

private:
    std::vector<Header> m_fields;
};

/// Compares header names without regard to case.
[[nodiscard]] auto equalNames(std::string_view left, std::string_view right) -> bool;

/// The head of a request or response.
struct HttpHead
{
    /// Of a request.
    std::string method;
    /// Of a request: path and query as they were sent.
    std::string target;
    /// Of a response.
    int status = 0;
    HeaderList headers;
    bool keepAlive = true;
    /// Bytes of the body, if the head states them.
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
};

/// Reads HTTP/1.1 messages from a byte stream (http_parser underneath). After each message it
/// pauses, so that the owner decides when the next one is read.
class HttpParser
{
public:
    enum class Kind { Request, Response };

    struct Handlers
    {
        std::function<void(HttpHead)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onEnd;
    };

    /// Creates a parser. A head longer than `maxHeadBytes` fails with `Code::BodyTooLarge`.
    HttpParser(Kind kind, std::size_t maxHeadBytes, Handlers handlers);
    HttpParser(const HttpParser &) = delete;
    auto operator=(const HttpParser &) -> HttpParser & = delete;

    /// Reads from `bytes` up to the end of the current message and returns how many were used.
    /// Fails with `Code::BadRequest` if the bytes are not HTTP, or with `Code::BodyTooLarge`.
    [[nodiscard]] auto feed(std::string_view bytes) -> Result<std::size_t>;
    /// Takes in the end of the stream. Returns whether a message that ends with its connection
    /// is complete now.
    [[nodiscard]] auto finish() -> bool;
    /// Makes the parser ready for the next message.
    auto reset() -> void;

    /// Returns whether a message has begun and not ended.
    [[nodiscard]] auto isInMessage() const -> bool
    {
        return m_begun && !m_ended;
    }
    [[nodiscard]] auto hasHead() const -> bool
    {
        return m_headDone;
    }
    [[nodiscard]] auto hasEnded() const -> bool
    {
        return m_ended;
    }

private:
    static auto self(http_parser *parser) -> HttpParser &;
    static auto settings() -> const http_parser_settings &;
    auto headComplete() -> int;

    http_parser m_parser{};
    http_parser_type m_type;
    std::size_t m_maxHeadBytes;
    Handlers m_handlers;
    HttpHead m_head;
    bool m_inValue = false;
    bool m_begun = false;
    bool m_headDone = false;
    bool m_ended = false;
    bool m_tooLong = false;
};

/// Returns the usual words for a status code.
[[nodiscard]] auto reasonPhrase(int status) -> std::string_view;

/// Writes a header field with its line end.
auto appendHeader(std::string &out, std::string_view name, std::string_view value) -> void;

/// Writes a piece of a chunked body; an empty one is left out, as it would end the body.
auto appendChunk(std::string &out, std::string_view bytes) -> void;

/// Ends a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace heathergate::net
