#include <heathergate/replay/report.h>

#include <heathergate/core/json_text.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <sstream>

namespace heathergate::replay {

namespace {

auto milliseconds(Duration value) -> double
{
    return static_cast<double>(value.count()) / 1000.0;
}

struct Line
{
    const char *name;
    std::function<std::string(const ReplayReport &)> value;
};

auto fixedText(double value, int digits = 1) -> std::string
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

auto quantileLine(double share)
{
    return [share](const ReplayReport &report) {
        return fixedText(milliseconds(report.programs.quantile(share)));
    };
}

auto lines() -> std::vector<Line>
{
    return {
        {"programs started", [](const auto &r) { return std::to_string(r.started); }},
        {"programs finished", [](const auto &r) { return std::to_string(r.finished); }},
        {"program latency p50 ms", quantileLine(0.5)},
        {"program latency p95 ms", quantileLine(0.95)},
        {"program latency p99 ms", quantileLine(0.99)},
        {"worst-served customer",
         [](const auto &r) {
             return r.worstCustomer().first + " "
                    + fixedText(milliseconds(r.worstCustomer().second));
         }},
        {"prompt tokens new", [](const auto &r) { return std::to_string(r.freshPromptTokens); }},
        {"prompt tokens recomputed",
         [](const auto &r) { return std::to_string(r.recomputedTokens()); }},
        {"refused over the rate", [](const auto &r) { return std::to_string(r.refusedOverRate); }},
        {"refused within the rate",
         [](const auto &r) { return std::to_string(r.refusedWithinRate); }},
        {"resends", [](const auto &r) { return std::to_string(r.resends); }},
        {"slots occupied", [](const auto &r) { return fixedText(100 * r.occupancy) + "%"; }},
        {"violations", [](const auto &r) { return std::to_string(r.violations.size()); }},
    };
}

} // namespace

auto ReplayReport::recomputedTokens() const -> std::int64_t
{
    return std::max<std::int64_t>(0, computedPromptTokens - freshPromptTokens);
}

auto ReplayReport::worstCustomer() const -> std::pair<std::string, Duration>
{
    std::pair<std::string, Duration> worst;
    for (const auto &[customer, histogram] : byCustomer) {
        const auto tail = histogram.quantile(0.95);
        if (tail >= worst.second)
            worst = {customer, tail};
    }
    return worst;
}

auto renderText(const std::vector<ReplayReport> &reports) -> std::string
{
    constexpr int kNameWidth = 26;
    constexpr int kValueWidth = 20;
    std::ostringstream out;
    out << std::left << std::setw(kNameWidth) << "";
    for (const auto &report : reports)
        out << std::right << std::setw(kValueWidth) << report.name;
    out << '\n';
    for (const auto &line : lines()) {
        out << std::left << std::setw(kNameWidth) << line.name;
        for (const auto &report : reports)
            out << std::right << std::setw(kValueWidth) << line.value(report);
        out << '\n';
    }
    constexpr std::size_t kMaxShownViolations = 10;
    for (const auto &report : reports) {
        const auto shown = std::min(kMaxShownViolations, report.violations.size());
        for (std::size_t i = 0; i < shown; ++i)
            out << report.name << ": " << report.violations[i] << '\n';
    }
    return out.str();
}

auto renderJson(const std::vector<ReplayReport> &reports) -> std::string
{
    auto json = nlohmann::json::array();
    for (const auto &report : reports)
        json.push_back({{"name", report.name},
                        {"started", report.started},
                        {"finished", report.finished},
                        {"p50_ms", milliseconds(report.programs.quantile(0.5))},
                        {"p95_ms", milliseconds(report.programs.quantile(0.95))},
                        {"p99_ms", milliseconds(report.programs.quantile(0.99))},
                        {"worst_customer", report.worstCustomer().first},
                        {"worst_customer_p95_ms", milliseconds(report.worstCustomer().second)},
                        {"prompt_tokens_new", report.freshPromptTokens},
                        {"prompt_tokens_again", report.recomputedTokens()},
                        {"refused_over_rate", report.refusedOverRate},
                        {"refused_inside_rate", report.refusedWithinRate},
                        {"resends", report.resends},
                        {"occupancy", report.occupancy},
                        {"violations", report.violations}});
    return jsonText(json, 2) + "\n";
}

auto renderSvg(const std::vector<ReplayReport> &reports) -> std::string
{
    constexpr int kWidth = 640;
    constexpr int kHeight = 360;
    constexpr int kMargin = 50;
    constexpr int kPointCount = 100;
    constexpr const char *kColours[] = {"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad"};
    double maxLatencyMs = 1;
    for (const auto &report : reports)
        maxLatencyMs = std::max(maxLatencyMs, milliseconds(report.programs.quantile(0.99)));
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth << "\" height=\""
        << kHeight << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << kMargin << "\" y=\"20\">Program latency in ms (y) by "
        << "share of programs (x)</text>\n";
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const auto *colour = kColours[i % std::size(kColours)];
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"2\" points=\"";
        for (int point = 0; point < kPointCount; ++point) {
            const auto share = static_cast<double>(point) / kPointCount;
            const auto value = milliseconds(reports[i].programs.quantile(share));
            out << kMargin + share * (kWidth - 2 * kMargin) << ','
                << kHeight - kMargin - value / maxLatencyMs * (kHeight - 2 * kMargin) << ' ';
        }
        out << "\"/>\n<text x=\"" << kMargin + 10 << "\" y=\"" << 45 + 16 * i << "\" fill=\""
            << colour << "\">" << reports[i].name << "</text>\n";
    }
    out << "<text x=\"5\" y=\"" << kMargin << "\">" << fixedText(maxLatencyMs, 0) << "</text>\n"
        << "<text x=\"5\" y=\"" << kHeight - kMargin << "\">0</text>\n"
        << "<text x=\"" << kMargin << "\" y=\"" << kHeight - kMargin + 20 << "\">0%</text>\n"
        << "<text x=\"" << kWidth - kMargin << "\" y=\"" << kHeight - kMargin + 20
        << "\">100%</text>\n</svg>\n";
    return out.str();
}

} // namespace heathergate::replay
