#include <heathergate/net/http_parser.h>

#include <heathergate/core/status_line.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace heathergate::net {

namespace {

auto toLower(char character) -> char
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

/// Returns the size of a head on the wire in bytes, without the fixed parts of its first line.
auto headBytes(const HttpHead &head) -> std::size_t
{
    constexpr std::size_t kFieldOverheadBytes = 4; // Colon, space and line end.
    auto bytes = head.target.size();
    for (const auto &field : head.headers.fields())
        bytes += field.name.size() + field.value.size() + kFieldOverheadBytes;
    return bytes;
}

} // namespace

auto equalNames(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return toLower(a) == toLower(b); });
}

auto HeaderList::find(std::string_view name) const -> const std::string *
{
    for (const auto &field : m_fields) {
        if (equalNames(field.name, name))
            return &field.value;
    }
    return nullptr;
}

auto HeaderList::value(std::string_view name) const -> std::string_view
{
    const auto *found = find(name);
    return found == nullptr ? std::string_view() : std::string_view(*found);
}

auto HeaderList::count(std::string_view name) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(),
                      [&](const Header &field) { return equalNames(field.name, name); }));
}

auto HeaderList::trimNames() -> void
{
    for (auto &field : m_fields)
        field.name.erase(field.name.find_last_not_of(' ') + 1);
}

auto HeaderList::hasSpaceInName() const -> bool
{
    return std::any_of(m_fields.begin(), m_fields.end(), [](const Header &field) {
        return field.name.find(' ') != std::string::npos;
    });
}

HttpParser::HttpParser(Kind kind, std::size_t maxHeadBytes, Handlers handlers)
    : m_type(kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE)
    , m_maxHeadBytes(maxHeadBytes)
    , m_handlers(std::move(handlers))
{
    reset();
}

auto HttpParser::reset() -> void
{
    http_parser_init(&m_parser, m_type);
    m_parser.data = this;
    m_head = HttpHead();
    m_statusLine.clear();
    m_tooLong = false;
    m_inValue = false;
    m_begun = false;
    m_headDone = false;
    m_ended = false;
}

auto HttpParser::self(http_parser *parser) -> HttpParser &
{
    return *static_cast<HttpParser *>(parser->data);
}

auto HttpParser::settings() -> const http_parser_settings &
{
    static const auto kSettings = [] {
        http_parser_settings all;
        http_parser_settings_init(&all);
        all.on_message_begin = [](http_parser *parser) {
            self(parser).m_begun = true;
            return 0;
        };
        all.on_url = [](http_parser *parser, const char *bytes, std::size_t size) {
            self(parser).m_head.target.append(bytes, size);
            return 0;
        };
        all.on_header_field = [](http_parser *parser, const char *bytes, std::size_t size) {
            auto &own = self(parser);
            if (own.m_headDone)
                return 0; // Trailers are discarded.
            if (std::exchange(own.m_inValue, false) || own.m_head.headers.fields().empty())
                own.m_head.headers.add({}, {});
            own.m_head.headers.back().name.append(bytes, size);
            return 0;
        };
        all.on_header_value = [](http_parser *parser, const char *bytes, std::size_t size) {
            auto &own = self(parser);
            own.m_inValue = true;
            if (!own.m_headDone)
                own.m_head.headers.back().value.append(bytes, size);
            return 0;
        };
        all.on_headers_complete = [](http_parser *parser) { return self(parser).headComplete(); };
        all.on_body = [](http_parser *parser, const char *bytes, std::size_t size) {
            self(parser).m_handlers.onBody(std::string_view(bytes, size));
            return 0;
        };
        all.on_message_complete = [](http_parser *parser) {
            self(parser).m_ended = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return all;
    }();
    return kSettings;
}

auto HttpParser::headComplete() -> int
{
    constexpr std::uint64_t kUnknownLength = ~std::uint64_t{0};
    m_headDone = true;
    m_inValue = false;
    if (m_type == HTTP_REQUEST) {
        m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    } else {
        // The parser accepts any number of digits, and any number that they give.
        const auto status = statusOf(m_statusLine);
        if (!status)
            return -1;
        m_head.status = *status;
        m_head.headers.trimNames();
    }
    // The parser accepts spaces in names, and applies some of these headers all the same.
    if (m_head.headers.hasSpaceInName())
        return -1;
    m_head.chunked = (m_parser.flags & F_CHUNKED) != 0;
    if (!m_head.chunked && m_parser.content_length != kUnknownLength)
        m_head.contentLength = m_parser.content_length;
    m_head.keepAlive = http_should_keep_alive(&m_parser) != 0;
    m_tooLong = headBytes(m_head) > m_maxHeadBytes;
    if (m_tooLong)
        return -1;
    // Protocol upgrades are not supported: the bytes after an upgrade would not be HTTP.
    if (m_parser.upgrade != 0)
        return -1;
    m_handlers.onHead(std::move(m_head));
    return 0;
}

auto HttpParser::checkStatusLine(std::string_view bytes) -> bool
{
    if (m_type != HTTP_RESPONSE || m_statusLine.size() == kStatusLineStartBytes)
        return true;
    m_statusLine.append(bytes.substr(0, kStatusLineStartBytes - m_statusLine.size()));
    return m_statusLine.size() < kStatusLineStartBytes || statusOf(m_statusLine);
}

auto HttpParser::feed(std::string_view bytes) -> Result<std::size_t>
{
    if (!checkStatusLine(bytes))
        return fail(Code::BadRequest, "the status line is not valid");
    const auto used = http_parser_execute(&m_parser, &settings(), bytes.data(), bytes.size());
    if (!m_headDone && m_parser.nread > m_maxHeadBytes)
        m_tooLong = true;
    if (m_tooLong)
        return fail(Code::BodyTooLarge, "the head is too long");
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error == HPE_PAUSED) {
        http_parser_pause(&m_parser, 0);
        // The parser pauses at the end of a message, and its last byte may be left to the next
        // call.
        const auto after = std::min(bytes.size(), used);
        m_handlers.onEnd();
        return after;
    }
    if (error == HPE_HEADER_OVERFLOW)
        return fail(Code::BodyTooLarge, "the head is too long");
    if (error != HPE_OK)
        return fail(Code::BadRequest, http_errno_description(error));
    return used;
}

auto HttpParser::finish() -> bool
{
    if (m_ended || !m_headDone)
        return false;
    http_parser_execute(&m_parser, &settings(), nullptr, 0);
    if (!m_ended)
        return false;
    m_handlers.onEnd();
    return true;
}

auto reasonPhrase(int status) -> std::string_view
{
    const auto *text = http_status_str(static_cast<http_status>(status));
    return text == nullptr ? "Unknown" : text;
}

auto appendHeader(std::string &out, std::string_view name, std::string_view value) -> void
{
    out.append(name).append(": ").append(value).append("\r\n");
}

auto appendChunk(std::string &out, std::string_view bytes) -> void
{
    if (bytes.empty())
        return;
    std::array<char, 16> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    out.append(digits.data(), end).append("\r\n").append(bytes).append("\r\n");
}

} // namespace heathergate::net
