#pragma once

#include <heathergate/http/http.h>
#include <heathergate/testing/fake_engine.h>

#include <atomic>
#include <mutex>

namespace heathergate::app {

/// Identity, speed and faults of a fake upstream.
struct FakeUpstreamSettings
{
    std::string id;
    std::string address;
    std::vector<std::string> announceTo;
    std::string token;
    std::string domain;
    std::vector<std::string> models;
    std::vector<std::string> services;
    testing::FakeEngineSettings engine;
    Duration serviceTime{};
    std::string crashOn;
    std::string disconnectOn;
    std::string hangOn;
    std::string delayOn;
    Duration answerDelay{};
    bool checksFencing = false;
    bool dropsFirstRelease = false;
};

/// A simulated engine or service in its own process. It serves HTTP, announces itself to the fleet,
/// renews the announcement, and leaves when it is stopped.
class FakeUpstream
{
public:
    explicit FakeUpstream(FakeUpstreamSettings settings);

    /// Starts listening. Fails with `Code::BadSetting`.
    [[nodiscard]] auto start() -> Result<void>;
    /// Serves until `stop` is set.
    auto run(const std::atomic<bool> &stop) -> void;

private:
    struct Stream
    {
        http::Token token = 0;
        bool disconnects = false;
        std::int64_t tokens = 0;
    };

    struct Delayed
    {
        http::Token token = 0;
        http::Response response;
    };

    [[nodiscard]] auto now() const -> TimePoint;
    auto handle(http::Token token, const http::Request &request) -> void;
    auto serveChatCompletion(http::Token token, const nlohmann::json &body) -> void;
    auto serveCall(http::Token token, const http::Request &request) -> void;
    auto handleOrder(http::Token token, const nlohmann::json &body) -> void;
    auto handleRelease(http::Token token, const nlohmann::json &body) -> void;
    auto respondStatistics(http::Token token) -> void;
    auto sendOutput() -> void;
    auto sendToken(const testing::FakeEngineEvent &event) -> void;
    auto renewAnnouncement() -> void;
    auto post(const std::string &path, const nlohmann::json &body) -> void;
    auto handleAnnouncementEvent(const http::ClientEvent &event) -> void;
    auto leave() -> void;
    [[nodiscard]] auto matchesMarker(const std::string &marker, const std::string &content) const
        -> bool;

    FakeUpstreamSettings m_settings;
    std::string m_bootId;
    std::mutex m_mutex;
    Notifier m_notifier;
    testing::FakeEngine m_engine;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, Stream> m_streams;
    std::multimap<TimePoint, Delayed> m_delayed;
    std::map<std::string, int> m_runs;
    std::map<std::string, std::string> m_answers;
    std::set<std::string> m_headerNames;
    std::set<std::string> m_headerValues;
    std::map<std::string, int> m_releases;
    std::vector<nlohmann::json> m_orders;
    std::uint64_t m_highestFencing = 0;
    int m_calls = 0;

    std::uint64_t m_incarnation = 0;
    std::size_t m_instance = 0;
    TimePoint m_nextRenewal{};
    std::uint64_t m_lastPost = 0;
    std::uint64_t m_pendingPost = 0;
    std::string m_announceAnswer;
    int m_announceStatus = 0;

    std::unique_ptr<http::Client> m_client;
    std::unique_ptr<http::Server> m_server;
};

} // namespace heathergate::app
