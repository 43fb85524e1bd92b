#pragma once

#include <heathergate/control/control.h>
#include <heathergate/daemon/effects.h>
#include <heathergate/daemon/group_client.h>
#include <heathergate/daemon/internal/timer_queue.h>
#include <heathergate/daemon/problem.h>
#include <heathergate/daemon/settings.h>
#include <heathergate/programs/programs.h>
#include <heathergate/telemetry/metrics.h>

namespace heathergate::daemon::internal {

/// State shared by the parts of an entry node.
struct EntryContext
{
    EntryContext(const Settings &of, std::vector<InstanceId> hosts, std::uint64_t boot,
                 Random source)
        : settings(of)
        , groups(std::move(hosts), Random(source.next()))
        , random(source)
        , bootId(boot)
    {
    }

    const Settings &settings;
    control::ControlView view;
    GroupClient groups;
    TimerQueue timers;
    telemetry::Metrics metrics;
    Random random;
    std::uint64_t bootId = 0;
    /// Revision at which this instance joined; 0 while it is not a member.
    control::Revision incarnation = 0;
    bool draining = false;
    std::vector<Effect> effects;
    /// Load of the other instances, as last reported by the control leader.
    std::map<InstanceId, int> instanceLoads;
    std::uint64_t lastNumber = 0;

    /// Returns a number that is unique on this instance.
    auto nextNumber() -> std::uint64_t
    {
        return ++lastNumber;
    }

    auto respond(http::Token token, http::Response response) -> void
    {
        effects.emplace_back(Respond{token, std::move(response)});
    }

    auto refuse(http::Token token, const Error &error) -> void
    {
        metrics.count("heathergate_refusals_total",
                      {{"code", std::to_string(static_cast<int>(error.code))}});
        respond(token, problemResponse(error));
    }

    /// Returns the group that owns a program or a customer's bucket.
    [[nodiscard]] auto shardOf(std::string_view key) const -> GroupId
    {
        return static_cast<GroupId>(hash64(key) % settings.shards) + 1;
    }

    [[nodiscard]] auto shardOf(const programs::ProgramKey &key) const -> GroupId
    {
        const auto root = programs::rootOf(key);
        return shardOf(root.customer.value + "/" + root.program.value);
    }

    /// Sends a program command to its shard. `done` receives the outcome, or the error in it.
    template <typename Done>
    auto applyProgram(TimePoint now, GroupId shard, const programs::ProgramCommand &command,
                      TimePoint deadline, Done done) -> void
    {
        groups.call(now, shard, wire::RequestKind::Program, encodeVariant(command), deadline,
                    [done = std::move(done)](TimePoint at, Result<std::string> body) mutable {
                        done(at, outcomeOf<programs::ProgramOutcome>(std::move(body)));
                    });
    }

    /// Sends a control command to the control group.
    template <typename Done>
    auto applyControl(TimePoint now, const control::ControlCommand &command, TimePoint deadline,
                      Done done) -> void
    {
        groups.call(now, kControlGroup, wire::RequestKind::Control, encodeVariant(command),
                    deadline,
                    [done = std::move(done)](TimePoint at, Result<std::string> body) mutable {
                        done(at, bodyOf<control::ControlOutcome>(std::move(body)));
                    });
    }

    template <typename Outcome>
    [[nodiscard]] static auto bodyOf(Result<std::string> body) -> Result<Outcome>
    {
        if (!body)
            return tl::unexpected(body.error());
        return decode<Outcome>(*body);
    }

    template <typename Outcome>
    [[nodiscard]] static auto outcomeOf(Result<std::string> body) -> Result<Outcome>
    {
        auto outcome = bodyOf<Outcome>(std::move(body));
        if (outcome && outcome->error)
            return tl::unexpected(*outcome->error);
        return outcome;
    }
};

/// Authenticated sender of a request.
struct Identity
{
    std::string keyHash;
    control::KeyRecord record;
};

/// Returns the bearer key of a request. Fails with `Code::MissingKey`.
[[nodiscard]] auto bearerKey(const http::Request &request) -> Result<std::string>;

/// Returns the keyed hash (HMAC) under which a key is stored.
[[nodiscard]] auto keyHashOf(const Settings &settings, std::string_view key) -> std::string;

/// Returns the caller whose key a request carries. Fails with `Code::MissingKey`,
/// `Code::UnknownKey` or, if the configuration cannot be confirmed, `Code::StaleConfiguration`.
[[nodiscard]] auto authenticateCaller(TimePoint now, const EntryContext &context,
                                      const http::Request &request) -> Result<Identity>;

/// Returns the operator whose key a request carries. Fails with `Code::NotAnOperator`.
[[nodiscard]] auto authenticateOperator(TimePoint now, const EntryContext &context,
                                        const http::Request &request) -> Result<Identity>;

} // namespace heathergate::daemon::internal
