#pragma once

#include <heathergate/core/core.h>

#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathergate::net {

/// One header field with its original spelling.
struct Header
{
    std::string name;
    std::string value;
};

/// Header fields in the order of the message, including repeated fields.
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
    /// Returns the first value of a field, or null if it is absent. Names are case-insensitive.
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *;
    /// Returns the first value of a field, or an empty string if it is absent.
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
    /// Removes the spaces between names and their colons, as a proxy does in a response before it
    /// reads or forwards it (RFC 9112, 5.1).
    auto trimNames() -> void;
    /// Returns whether a name has a space, also one before its colon.
    [[nodiscard]] auto hasSpaceInName() const -> bool;

private:
    std::vector<Header> m_fields;
};

/// Compares header names case-insensitively.
[[nodiscard]] auto equalNames(std::string_view left, std::string_view right) -> bool;

/// The head of a request or response.
struct HttpHead
{
    /// Set for a request.
    std::string method;
    /// Set for a request: path and query without decoding.
    std::string target;
    /// Set for a response.
    int status = 0;
    HeaderList headers;
    bool keepAlive = true;
    /// Size of the body in bytes, if the head has a Content-Length.
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
};

/// Returns the memory that a head uses. Short fields take many times their size on the wire.
[[nodiscard]] inline auto memoryOf(const HttpHead &head) -> std::size_t
{
    return head.target.size() + 2 * head.headers.fields().size() * sizeof(Header);
}

/// Incremental HTTP/1.1 parser, based on http_parser. It pauses after each message, so that the
/// owner decides when the next one is parsed.
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

    /// Parses `bytes` up to the end of the current message and returns the number of bytes
    /// consumed. Fails with `Code::BadRequest` if the bytes are not valid HTTP, or with
    /// `Code::BodyTooLarge`.
    [[nodiscard]] auto feed(std::string_view bytes) -> Result<std::size_t>;
    /// Handles the end of the stream. Returns whether it completes a message whose length is
    /// delimited by the close of the connection.
    [[nodiscard]] auto finish() -> bool;
    /// Prepares the parser for the next message.
    auto reset() -> void;

    /// Returns the memory that the head which is being parsed uses.
    [[nodiscard]] auto headMemory() const -> std::size_t
    {
        return memoryOf(m_head);
    }
    /// Returns whether a message is partly parsed.
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
    /// Takes the start of the status line from the next bytes of a response. Returns whether it can
    /// still be a valid one.
    [[nodiscard]] auto checkStatusLine(std::string_view bytes) -> bool;

    http_parser m_parser{};
    http_parser_type m_type;
    std::size_t m_maxHeadBytes;
    Handlers m_handlers;
    HttpHead m_head;
    /// The start of the status line of a response, as far as it was read.
    std::string m_statusLine;
    bool m_inValue = false;
    bool m_begun = false;
    bool m_headDone = false;
    bool m_ended = false;
    bool m_tooLong = false;
};

/// Returns the standard reason phrase of a status code.
[[nodiscard]] auto reasonPhrase(int status) -> std::string_view;

/// Appends a header field and its line end to `out`.
auto appendHeader(std::string &out, std::string_view name, std::string_view value) -> void;

/// Appends one chunk of a chunked body. Empty `bytes` are omitted, because an empty chunk would
/// end the body.
auto appendChunk(std::string &out, std::string_view bytes) -> void;

/// The terminating chunk of a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace heathergate::net
