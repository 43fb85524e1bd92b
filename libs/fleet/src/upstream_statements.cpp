#include <heathergate/fleet/upstream_statements.h>

#include <algorithm>

namespace heathergate::fleet {

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
    if (m_rates.size() > kMaxStatements)
        dropOldest();
    return isDue ? StatementReport::Stated : StatementReport::None;
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
        fb::UpstreamStatementT message;
        message.upstream = upstream.id.value;
        message.born = upstream.startedAt.count();
        message.rate = statement.rate;
        statements.push_back(std::move(message));
    }
    return statements;
}

auto UpstreamStatements::dropOldest() -> void
{
    m_rates.erase(
        std::min_element(m_rates.begin(), m_rates.end(), [](const auto &a, const auto &b) {
            return a.second.statedAt < b.second.statedAt;
        }));
}

} // namespace heathergate::fleet
