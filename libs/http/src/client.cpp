#include <heathergate/http/client.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <curl/curl.h>
#include <heathergate/core/status_line.h>
#include <thread>
#include <unordered_map>

namespace heathergate::http {

namespace {

constexpr std::size_t kRingCapacity = 16'384;
/// Maximum wait for socket activity or a command.
constexpr int kPollMilliseconds = 500;
/// Maximum idle time of a cached connection that may be reused (CURLOPT_MAXAGE_CONN).
constexpr long kMaxConnectionAgeSeconds = 60;
constexpr long kMaxCachedConnections = 512;

struct Cancel
{
    std::uint64_t id = 0;
};

/// Result of a callback that makes libcurl end the transfer.
constexpr std::size_t kAbort = 0;

using Command = std::variant<std::monostate, Outgoing, Cancel>;

/// A request that libcurl is executing.
struct Transfer
{
    Outgoing request;
    Client::EventHandler *onEvent = nullptr;
    CURL *handle = nullptr;
    curl_slist *headers = nullptr;
    AnswerHead head;
    /// The empty line after the head was received.
    bool headIsWhole = false;
    bool headSent = false;

    ~Transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(handle);
    }

    auto emit(std::variant<AnswerHead, AnswerData, AnswerEnd> what) -> void
    {
        (*onEvent)(ClientEvent{request.id, std::move(what)});
    }

    auto emitHead() -> void
    {
        if (!std::exchange(headSent, true))
            emit(head);
    }
};

auto onHeader(char *data, std::size_t size, std::size_t count, void *state) -> std::size_t
{
    auto &transfer = *static_cast<Transfer *>(state);
    std::string line(data, size * count);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
        line.pop_back();
    if (line.starts_with("HTTP/")) {
        // Discards the head of an interim response.
        transfer.head = {};
        transfer.headIsWhole = false;
        const auto status = statusOf(line);
        transfer.head.status = status.value_or(0);
        return status ? size * count : kAbort;
    }
    if (line.empty())
        transfer.headIsWhole = true;
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return size * count;
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const auto start = line.find_first_not_of(' ', colon + 1);
    transfer.head.headers[name] = start == std::string::npos ? "" : line.substr(start);
    return size * count;
}

auto onBody(char *data, std::size_t size, std::size_t count, void *state) -> std::size_t
{
    auto &transfer = *static_cast<Transfer *>(state);
    transfer.emitHead();
    transfer.emit(AnswerData{std::string(data, size * count)});
    return size * count;
}

class CurlClient final : public Client
{
public:
    explicit CurlClient(EventHandler onEvent)
        : m_onEvent(std::move(onEvent))
        , m_multi(curl_multi_init())
        , m_commands(kRingCapacity, [this] { curl_multi_wakeup(m_multi); })
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
        m_thread = std::thread([this] { run(); });
    }

    ~CurlClient() override
    {
        m_stopping = true;
        curl_multi_wakeup(m_multi);
        m_thread.join();
        for (const auto &[id, transfer] : m_transfers)
            curl_multi_remove_handle(m_multi, transfer->handle);
        m_transfers.clear();
        curl_multi_cleanup(m_multi);
    }

    auto send(Outgoing request) -> bool override
    {
        return m_commands.push(Command(std::move(request)));
    }

    auto cancel(std::uint64_t id) -> bool override
    {
        return m_commands.push(Command(Cancel{id}));
    }

private:
    auto run() -> void
    {
        while (!m_stopping) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            finishTransfers();
            curl_multi_poll(m_multi, nullptr, 0, kPollMilliseconds, nullptr);
            while (auto command = m_commands.pop())
                execute(*command);
        }
    }

    auto execute(Command &command) -> void
    {
        if (auto *request = std::get_if<Outgoing>(&command))
            begin(std::move(*request));
        else if (const auto *cancelled = std::get_if<Cancel>(&command))
            remove(cancelled->id);
    }

    auto begin(Outgoing request) -> void
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->request = std::move(request);
        transfer->onEvent = &m_onEvent;
        transfer->handle = curl_easy_init();
        configure(*transfer);
        curl_multi_add_handle(m_multi, transfer->handle);
        const auto id = transfer->request.id;
        m_transfers[id] = std::move(transfer);
    }

    static auto configure(Transfer &transfer) -> void
    {
        const auto &request = transfer.request;
        auto *handle = transfer.handle;
        for (const auto &[name, value] : request.headers)
            transfer.headers = curl_slist_append(transfer.headers, (name + ": " + value).c_str());
        // The empty header stops libcurl from sending "Expect: 100-continue".
        transfer.headers = curl_slist_append(transfer.headers, "Expect:");
        curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
        // The empty text disables proxies that environment variables set.
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        if (request.method != "GET") {
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.body.size()));
        }
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, kMaxConnectionAgeSeconds);
        curl_easy_setopt(
            handle, CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(
                std::chrono::milliseconds(
                    std::chrono::duration_cast<std::chrono::milliseconds>(request.connectTimeout))
                    .count()));
        if (request.ownConnection) {
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    auto finishTransfers() -> void
    {
        int left = 0;
        while (auto *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer *transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            end(*transfer, message->data.result);
            remove(transfer->request.id);
        }
    }

    static auto end(Transfer &transfer, CURLcode result) -> void
    {
        // libcurl reports no error if the connection is closed within the head.
        const auto isComplete = result == CURLE_OK && transfer.headIsWhole;
        if (isComplete)
            transfer.emitHead();
        std::string error;
        if (result != CURLE_OK)
            error = curl_easy_strerror(result);
        else if (!isComplete)
            error = "the connection was closed within the head";
        transfer.emit(AnswerEnd{isComplete, mayHaveBeenSent(transfer, result), std::move(error)});
    }

    static auto mayHaveBeenSent(const Transfer &transfer, CURLcode result) -> bool
    {
        if (result == CURLE_COULDNT_CONNECT || result == CURLE_COULDNT_RESOLVE_HOST
            || result == CURLE_URL_MALFORMAT)
            return false;
        // No byte can have been sent if no connection was established.
        curl_off_t connected = 0;
        long connects = 0;
        curl_easy_getinfo(transfer.handle, CURLINFO_CONNECT_TIME_T, &connected);
        curl_easy_getinfo(transfer.handle, CURLINFO_NUM_CONNECTS, &connects);
        return !(result == CURLE_OPERATION_TIMEDOUT && connected == 0 && connects > 0);
    }

    auto remove(std::uint64_t id) -> void
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
            return;
        curl_multi_remove_handle(m_multi, found->second->handle);
        m_transfers.erase(found);
    }

    EventHandler m_onEvent;
    CURLM *m_multi;
    Ring<Command> m_commands;
    std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace

auto Client::start(EventHandler onEvent) -> std::unique_ptr<Client>
{
    return std::make_unique<CurlClient>(std::move(onEvent));
}

} // namespace heathergate::http
