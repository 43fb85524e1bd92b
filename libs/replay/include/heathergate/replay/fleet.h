#pragma once

#include <heathergate/daemon/instance.h>
#include <heathergate/testing/fake_engine.h>
#include <heathergate/testing/fake_link.h>
#include <heathergate/testing/manual_clock.h>

#include <functional>

namespace heathergate::replay {

using testing::FakeEngine;
using testing::FakeEngineSettings;
using testing::FakeLink;
using testing::ManualClock;

/// The answer that a caller has received for one request so far.
struct Received
{
    int status = 0;
    std::string body;
    /// Concatenated text of the chunks of a stream.
    std::string text;
    bool ended = false;
    bool complete = false;

    [[nodiscard]] auto json() const -> nlohmann::json
    {
        return nlohmann::json::parse(body, nullptr, false);
    }
    /// Returns the result code of a problem document; 0 if the body is no problem document.
    [[nodiscard]] auto code() const -> int
    {
        const auto document = json();
        return document.is_object() ? document.value("code", 0) : 0;
    }
    [[nodiscard]] auto ran() const -> std::string
    {
        const auto document = json();
        return document.is_object() ? document.value("ran", "") : "";
    }
};

/// A simulated engine or service behind the fake network, with injectable faults.
struct FakeTarget
{
    std::string id;
    std::string address;
    bool isEngine = true;
    std::unique_ptr<FakeEngine> engine;
    /// Refuses connections.
    bool isDown = false;
    /// Crashes on a request whose body contains this text; empty disables the fault.
    std::string crashOn;
    /// Closes the connection during the answer to a request that contains this text.
    std::string disconnectOn;
    /// Accepts requests but never answers.
    bool isUnresponsive = false;
    /// Replaces the requested maximum of answer tokens, so that answers can exceed it; 0 disables
    /// the fault.
    std::int64_t overrunTokens = 0;
    /// Duration of a service call.
    Duration serviceTime = std::chrono::milliseconds(5);
    bool announced = true;
    std::string bootId = "boot-1";
    std::uint64_t incarnation = 0;

    int slots = 4;
    std::int64_t contextTokens = 0;
    std::string domain = "domain-a";

    std::map<std::string, int> runs;
    int calls = 0;
    /// Headers, URLs and bodies of all requests, if `recordsRequests` is set.
    bool recordsRequests = true;
    std::string recordedRequests;
};

/// Returns the settings of an engine with 4 slots and answers of at most 43 tokens.
[[nodiscard]] auto smallEngineSettings() -> FakeEngineSettings;

/// Runs complete instances in one process, with fake disks, links, callers and upstreams, under one
/// manual clock. A run is deterministic for a seed.
class Fleet
{
public:
    Fleet(std::uint64_t seed, const std::vector<std::string> &disks,
          const std::vector<std::string> &entries);

    /// Advances the clock by `time` in steps of one millisecond.
    auto run(Duration time) -> void;
    /// Runs until `done` holds, for at most `limit`. Returns false on timeout.
    [[nodiscard]] auto runUntil(const std::function<bool()> &done, Duration limit) -> bool;
    /// Runs until all instances are ready and all upstreams are announced. Returns false if this
    /// takes more than 20 s.
    [[nodiscard]] auto start() -> bool;

    auto addEngine(const std::string &id, FakeEngineSettings settings = smallEngineSettings())
        -> FakeTarget &;
    [[nodiscard]] auto targets() const -> const std::map<std::string, FakeTarget> &
    {
        return m_targets;
    }
    auto addService(const std::string &id) -> FakeTarget &;
    [[nodiscard]] auto target(const std::string &id) -> FakeTarget &;

    /// Sends a request to an instance. Returns the token of its answer.
    auto send(const std::string &instance, const http::Request &request) -> http::Token;
    [[nodiscard]] auto received(http::Token token) -> Received &
    {
        return m_received[token];
    }
    /// Sends a request and runs until its answer ends, for at most `limit`.
    auto call(const std::string &instance, const http::Request &request,
              Duration limit = std::chrono::seconds(30)) -> Received;

    /// Crashes an upstream: running requests fail and connections are refused.
    auto crashTarget(const std::string &id) -> void;
    /// Restarts a crashed upstream with a new boot identifier.
    auto restartTarget(const std::string &id) -> void;

    auto crash(const std::string &instance) -> void;
    auto restart(const std::string &instance) -> void;
    auto setSuspended(const std::string &instance, bool suspended) -> void;
    auto setIsolated(const std::string &instance, bool isolated) -> void;
    auto drain(const std::string &instance) -> void;

    [[nodiscard]] auto instance(const std::string &name) -> daemon::Instance &;
    /// Returns the disk instance that leads a group; empty if there is no leader.
    [[nodiscard]] auto leaderOf(GroupId group) -> std::string;
    [[nodiscard]] auto clock() -> ManualClock &
    {
        return m_clock;
    }

    /// Creates a customer's row and key through the operator API of an instance. Returns the key.
    auto addCustomer(const std::string &customer, double rate, double burst,
                     std::int64_t budget = 1'000'000, int priority = 0) -> std::string;

    [[nodiscard]] static auto operatorRequest(const std::string &method, const std::string &path,
                                              const nlohmann::json &body = {}) -> http::Request;
    [[nodiscard]] static auto callerRequest(const std::string &key, const std::string &method,
                                            const std::string &path,
                                            const nlohmann::json &body = {}) -> http::Request;
    [[nodiscard]] static auto modelCall(const std::string &key, const std::string &program,
                                        const std::string &content,
                                        const std::string &idempotencyKey) -> http::Request;
    [[nodiscard]] static auto serviceCall(const std::string &key, const std::string &program,
                                          const std::string &content,
                                          const std::string &idempotencyKey) -> http::Request;

private:
    struct Node
    {
        daemon::Settings settings;
        std::unique_ptr<daemon::Instance> instance;
        bool isDisk = false;
        bool suspended = false;
        std::map<GroupId, consensus::RecoveredState> disk;
        std::vector<daemon::StorageStep> unsynced;
        TimePoint syncAt{};
        std::uint64_t boots = 0;
    };

    struct OpenExchange
    {
        std::string node;
        std::uint64_t bootNumber = 0;
        std::uint64_t id = 0;
        std::string target;
        std::uint64_t engineId = 0;
    };

    struct TimedEvent
    {
        std::string node;
        std::uint64_t boot = 0;
        http::ClientEvent event;
    };

    auto boot(const std::string &name, Node &node) -> void;
    auto step(const std::string &name, Node &node) -> void;
    auto executeEffect(const std::string &name, Node &node, daemon::Effect &effect) -> void;
    auto deliverToTarget(const std::string &name, Node &node, const http::Outgoing &request)
        -> void;
    auto serveChatCompletion(FakeTarget &target, const std::string &name, Node &node,
                             const http::Outgoing &request) -> void;
    auto runEngines() -> void;
    auto renewAnnouncements() -> void;
    auto answer(const std::string &node, std::uint64_t boot, std::uint64_t id, int status,
                const std::string &body, Duration after, const std::string &bootId = {}) -> void;
    auto fail(const std::string &node, std::uint64_t boot, std::uint64_t id, bool sent,
              Duration after) -> void;
    auto terminate(FakeTarget &target) -> void;
    auto syncDisk(Node &node) -> void;
    [[nodiscard]] auto settingsFor(const std::string &name) const -> daemon::Settings;

    Random m_random;
    ManualClock m_clock;
    FakeLink<wire::PeerMessage> m_link;
    std::vector<std::string> m_disks;
    std::map<std::string, Node> m_nodes;
    std::map<std::string, FakeTarget> m_targets;
    std::map<http::Token, Received> m_received;
    std::vector<OpenExchange> m_exchanges;
    std::multimap<TimePoint, TimedEvent> m_events;
    http::Token m_lastToken = 0;
    std::uint64_t m_lastEngineId = 0;
    TimePoint m_nextRenewal{};
    std::map<http::Token, std::string> m_announcements;
};

} // namespace heathergate::replay
