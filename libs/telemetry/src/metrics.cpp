#include <heathergate/telemetry/metrics.h>
#include <limits>

#include <sstream>

namespace heathergate::telemetry {

namespace {

namespace acc = boost::accumulators;

auto escaped(const std::string &text) -> std::string
{
    std::string out;
    for (const auto c : text) {
        if (c == '\\' || c == '"')
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

auto braced(const std::string &labels) -> std::string
{
    return labels.empty() ? "" : "{" + labels + "}";
}

auto renderSimple(std::ostream &out, const std::string &type, const std::string &name,
                  const std::map<std::string, double> &series) -> void
{
    out << "# TYPE " << name << ' ' << type << '\n';
    for (const auto &[labels, value] : series)
        out << name << braced(labels) << ' ' << value << '\n';
}

auto renderHistogram(std::ostream &out, const std::string &name, const std::string &labels,
                     const internal::HistogramSet &set) -> void
{
    const auto separator = labels.empty() ? "" : ",";
    const auto counts = acc::extract_result<internal::tag::BucketCounts>(set);
    for (std::size_t i = 0; i < counts.size(); ++i)
        out << name << "_bucket{" << labels << separator << "le=\"" << internal::kBucketBounds[i]
            << "\"} " << counts[i] << '\n';
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << acc::count(set) << '\n';
    out << name << "_sum" << braced(labels) << ' ' << acc::sum(set) << '\n';
    out << name << "_count" << braced(labels) << ' ' << acc::count(set) << '\n';
}

} // namespace

auto Metrics::count(const std::string &name, const Labels &labels, double amount) -> void
{
    m_counters[name][seriesOf(labels)] += amount;
}

auto Metrics::set(const std::string &name, const Labels &labels, double value) -> void
{
    m_gauges[name][seriesOf(labels)] = value;
}

auto Metrics::observe(const std::string &name, const Labels &labels, Duration value) -> void
{
    m_histograms[name][seriesOf(labels)](std::chrono::duration<double>(value).count());
}

auto Metrics::render() const -> std::string
{
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::digits10);
    for (const auto &[name, series] : m_counters)
        renderSimple(out, "counter", name, series);
    for (const auto &[name, series] : m_gauges)
        renderSimple(out, "gauge", name, series);
    for (const auto &[name, series] : m_histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, set] : series)
            renderHistogram(out, name, labels, set);
    }
    return out.str();
}

auto Metrics::seriesOf(const Labels &labels) -> Series
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty())
            text += ',';
        text += name + "=\"" + escaped(value) + "\"";
    }
    return text;
}

} // namespace heathergate::telemetry
