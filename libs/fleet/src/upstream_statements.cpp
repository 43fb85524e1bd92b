#include <heathergate/fleet/upstream_statements.h>

#include <algorithm>

namespace heathergate::fleet {

namespace {

/// Drops the oldest statement if there are more than `maxCount`.
template <typename Statements>
auto dropOldest(Statements &statements, std::size_t maxCount) -> void
{
    if (statements.size() <= maxCount)
        return;
    statements.erase(
        std::min_element(statements.begin(), statements.end(), [](const auto &a, const auto &b) {
            return a.second.statedAt < b.second.statedAt;
        }));
}

auto messageAbout(const UpstreamIncarnation &upstream) -> fb::UpstreamStatementT
{
    fb::UpstreamStatementT message;
    message.upstream = upstream.id.value;
    message.born = upstream.startedAt.count();
    return message;
}

} // namespace

auto UpstreamStatements::note(TimePoint now, const UpstreamIncarnation &upstream, TimePoint sentAt,
                              std::optional<double> rate) -> StatementReport
{
    const auto known = m_rates.find(upstream);
    if (!rate) {
        // A request that was sent before the last statement may have been answered before it, too.
        if (known == m_rates.end() || sentAt <= known->second.statedAt)
            return StatementReport::None;
        m_rates.erase(known);
        return StatementReport::Lifted;
    }
    const auto isDue = known == m_rates.end() || known->second.rate != *rate
                       || now - known->second.reportedAt >= kReportInterval;
    auto &statement = m_rates[upstream];
    statement.rate = *rate;
    statement.statedAt = now;
    if (isDue)
        statement.reportedAt = now;
    dropOldest(m_rates, kMaxStatements);
    return isDue ? StatementReport::Stated : StatementReport::None;
}

auto UpstreamStatements::noteLeaving(TimePoint now, const UpstreamIncarnation &upstream) -> bool
{
    const auto known = m_leaving.find(upstream);
    if (known != m_leaving.end() && now - known->second.reportedAt < kReportInterval)
        return false;
    m_leaving[upstream] = Statement{0, now, now};
    dropOldest(m_leaving, kMaxStatements);
    return true;
}

auto UpstreamStatements::rateOf(const UpstreamIncarnation &upstream) const -> std::optional<double>
{
    const auto known = m_rates.find(upstream);
    return known == m_rates.end() ? std::nullopt : std::optional(known->second.rate);
}

auto UpstreamStatements::all() const -> std::vector<fb::UpstreamStatementT>
{
    std::vector<fb::UpstreamStatementT> statements;
    for (const auto &[upstream, statement] : m_rates) {
        auto message = messageAbout(upstream);
        message.rate = statement.rate;
        statements.push_back(std::move(message));
    }
    for (const auto &[upstream, statement] : m_leaving) {
        auto message = messageAbout(upstream);
        message.leaving = true;
        statements.push_back(std::move(message));
    }
    return statements;
}

} // namespace heathergate::fleet
