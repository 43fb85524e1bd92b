#pragma once

#include <heathergate/fleet/messages.h>

#include <map>
#include <optional>

namespace heathergate::fleet {

/// An upstream between its start and its end.
struct UpstreamIncarnation
{
    UpstreamId id;
    /// Start time on the upstream's own clock.
    std::chrono::milliseconds startedAt{};

    auto operator<=>(const UpstreamIncarnation &) const = default;
};

/// What the leader has to be told after a response.
enum class StatementReport {
    None,
    /// The rate that the response states.
    Stated,
    /// The response states no rate any more.
    Lifted,
};

/// What the responses that a gateway received stated about their upstreams, so that a new leader
/// can be told. Statements about the same upstream are reported at intervals only.
class UpstreamStatements
{
public:
    /// Notes what the response to a request that was sent at `sentAt` stated about the rate of its
    /// upstream.
    [[nodiscard]] auto note(TimePoint now, const UpstreamIncarnation &upstream, TimePoint sentAt,
                            std::optional<double> rate) -> StatementReport;
    /// Notes that a response stated that its upstream is about to end. Returns whether the leader
    /// has to be told.
    [[nodiscard]] auto noteLeaving(TimePoint now, const UpstreamIncarnation &upstream) -> bool;
    [[nodiscard]] auto isLeaving(const UpstreamIncarnation &upstream) const -> bool
    {
        return m_leaving.contains(upstream);
    }
    /// Returns the last stated rate of an upstream; nothing if it has no limit.
    [[nodiscard]] auto rateOf(const UpstreamIncarnation &upstream) const -> std::optional<double>;
    /// Returns all statements in force.
    [[nodiscard]] auto all() const -> std::vector<fb::UpstreamStatementT>;

private:
    /// Time after which an unchanged statement is reported again.
    static constexpr Duration kReportInterval = std::chrono::milliseconds(200);
    /// Number of statements of a kind from which on the oldest are dropped.
    static constexpr std::size_t kMaxStatements = 1024;

    struct Statement
    {
        double rate = 0;
        TimePoint statedAt{};
        TimePoint reportedAt{};
    };

    std::map<UpstreamIncarnation, Statement> m_rates;
    /// Upstreams that are about to end.
    std::map<UpstreamIncarnation, Statement> m_leaving;
};

} // namespace heathergate::fleet
