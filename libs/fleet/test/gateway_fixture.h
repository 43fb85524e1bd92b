#pragma once

#include <boost/test/unit_test.hpp>

#include <heathergate/fleet/gateway.h>

/// A gateway with a simulated leader and simulated upstreams, for the tests of `Gateway`.
namespace heathergate::fleet::test {

using namespace std::chrono_literals;

inline const InstanceId kLeader("10.0.0.1");

template <typename T>
constexpr bool kIsEffect =
    std::is_constructible_v<
        GatewayEffect,
        T> && !std::is_constructible_v<Message, T> && !std::is_constructible_v<history::Message, T>;

/// A gateway whose leader and upstreams are simulated by the test.
class GatewayFixture
{
public:
    GatewayFixture()
        : m_gateway(settings(), Random(5), m_log, m_now)
    {
    }

    static auto settings() -> GatewaySettings
    {
        GatewaySettings result;
        result.self = InstanceId("10.0.1.1");
        result.name = "g";
        result.domain = FailureDomainId("a");
        result.callerAddress = "10.0.1.1:80";
        result.boot = 1;
        result.seeds = {kLeader};
        return result;
    }

    static auto configuration(std::uint64_t version) -> Configuration
    {
        Configuration result;
        result.version = version;
        result.services.push_back({ServiceId("engines"), 10, EngineLimits{1000, 11}});
        result.services.push_back({ServiceId("tools"), 10, std::nullopt});
        const auto add = [&](const std::string &prefix, RouteKind kind, const std::string &service,
                             int attempts, bool resumable) {
            Route route;
            route.name = prefix;
            route.host = "h";
            route.pathPrefix = prefix;
            route.kind = kind;
            route.timeout = 3s;
            route.targetLatency = 250ms;
            route.targets = {{ServiceId(service), 1}};
            route.maxAttempts = attempts;
            route.isResumable = resumable;
            result.routes.push_back(route);
        };
        add("/stream/", RouteKind::Stream, "engines", 1, true);
        add("/once/", RouteKind::Stream, "engines", 1, false);
        add("/safe/", RouteKind::Safe, "tools", 2, false);
        add("/unsafe/", RouteKind::Unsafe, "tools", 3, false);
        result.customers.push_back({CustomerId("c"), {"key", "second key"}, 0, 0, 0});
        result.customers.push_back({CustomerId("d"), {"key of d"}, 0, 0, 0});
        return result;
    }

    auto feed(const InstanceId &from, std::uint64_t term, std::uint64_t version) -> void
    {
        fb::FeedT message;
        message.term = term;
        message.configurationVersion = version;
        m_gateway.receive(m_now, from, PeerFrame(Message(message)));
        if (version == 0)
            return;
        const auto bytes = compress(encodeChange(completeChange(configuration(version))));
        fb::ConfigurationPieceT piece;
        piece.term = term;
        piece.version = version;
        piece.size = bytes.size();
        piece.digest = hash64(bytes);
        piece.bytes = toBytes(bytes);
        m_gateway.receive(m_now, from, PeerFrame(Message(std::move(piece))));
    }

    auto request(const std::string &path, const std::optional<std::string> &key = "key")
        -> CallerToken
    {
        CallerRequest item;
        item.token = ++m_lastToken;
        item.name = "r" + std::to_string(m_lastToken);
        item.host = "h";
        item.path = path;
        item.key = key;
        item.callerTimeout = 3s;
        m_gateway.request(m_now, item);
        return m_lastToken;
    }

    auto grant(const std::string &upstream, std::int64_t born = 1, bool isLimited = false)
        -> StartAttempt
    {
        const auto admissions = take<fb::AdmissionT>();
        BOOST_TEST_REQUIRE(!admissions.empty());
        grantRequest(admissions.back().request, upstream, born, isLimited);
        const auto started = take<StartAttempt>();
        BOOST_TEST_REQUIRE(started.size() == 1U);
        return started.front();
    }

    auto grantRequest(std::uint64_t admission, const std::string &upstream, std::int64_t born,
                      bool isLimited = false, std::uint32_t ask = 0) -> void
    {
        fb::GrantT message;
        message.request = admission;
        message.ask = ask;
        message.upstream = upstream;
        message.address = "127.0.0.1:9000";
        message.born = born;
        message.limited = isLimited;
        m_gateway.receive(m_now, kLeader, PeerFrame(Message(message)));
    }

    /// Returns and removes the effects, or the messages to the leader, of one type.
    template <typename T>
    auto take() -> std::vector<T>
    {
        for (auto &effect : m_gateway.takeEffects())
            m_effects.push_back(std::move(effect));
        std::vector<T> found;
        std::vector<GatewayEffect> rest;
        for (auto &effect : m_effects) {
            const T *match = nullptr;
            if constexpr (kIsEffect<T>) {
                match = std::get_if<T>(&effect);
            } else if (const auto *out = std::get_if<PeerOut>(&effect)) {
                if constexpr (std::is_constructible_v<Message, T>) {
                    const auto *message = std::get_if<Message>(&out->frame);
                    match = message == nullptr ? nullptr : std::get_if<T>(message);
                } else {
                    const auto *message = std::get_if<history::Message>(&out->frame);
                    match = message == nullptr ? nullptr : std::get_if<T>(message);
                }
            }
            if (match != nullptr)
                found.push_back(*match);
            else
                rest.push_back(std::move(effect));
        }
        m_effects = std::move(rest);
        return found;
    }

    auto head(AttemptId attempt, int status = 200) -> void
    {
        m_gateway.attemptHead(m_now, attempt, {status, false, true});
    }

    auto text() -> std::string
    {
        std::string all;
        for (const auto &data : take<ForwardData>())
            all += data.bytes;
        return all;
    }

    auto advance(Duration by) -> void
    {
        m_now += by;
        m_gateway.tick(m_now);
    }

    TimePoint m_now{1h};
    telemetry::EventLog m_log;
    Gateway m_gateway;

private:
    std::vector<GatewayEffect> m_effects;
    CallerToken m_lastToken = 0;
};

struct ConnectedFixture : GatewayFixture
{
    ConnectedFixture()
    {
        m_gateway.tick(m_now);
        feed(kLeader, 1, 1);
    }
};

} // namespace heathergate::fleet::test
