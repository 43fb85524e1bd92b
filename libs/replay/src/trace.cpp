#include <heathergate/core/json_text.h>
#include <heathergate/replay/trace.h>

#include <cmath>
#include <sstream>

namespace heathergate::replay {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

template <typename T>
auto renderLine(std::ostream &out, const char *event, const T &item) -> void
{
    nlohmann::json json = item;
    json["event"] = event;
    out << jsonText(json) << '\n';
}

auto parseLine(Trace &trace, const nlohmann::json &json) -> void
{
    const auto event = json.at("event").get<std::string>();
    if (event == "fleet")
        json.get_to(trace.fleet);
    else if (event == "customer")
        trace.customers.push_back(json.get<TraceCustomer>());
    else if (event == "program")
        trace.programs.push_back(json.get<TraceProgram>());
    else if (event == "failure")
        trace.failures.push_back(json.get<TraceFailure>());
    else
        throw std::invalid_argument("event: must be fleet, customer, program or failure");
}

/// Generates the programs of a workload from a seed.
class WorkloadGenerator
{
public:
    explicit WorkloadGenerator(const WorkloadSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    auto generate() -> Trace
    {
        addCustomers();
        double at = 0;
        int number = 0;
        const auto end = std::chrono::duration<double>(m_settings.length).count();
        while ((at += exponential(1.0 / arrivalRateAt(at / end))) < end)
            m_trace.programs.push_back(program(number++, at));
        if (m_settings.overRateFactor > 0)
            addOverRateCustomer(end);
        if (m_settings.failures)
            addFailures(end);
        return std::move(m_trace);
    }

private:
    /// Returns the arrival rate at a fraction of the workload's length: the evening peaks in the
    /// middle, the staff week is constant, and the quotes have two peaks.
    [[nodiscard]] auto arrivalRateAt(double part) const -> double
    {
        constexpr double kPi = 3.14159265358979;
        switch (m_settings.workload) {
        case Workload::PinesregEvening:
            return m_settings.arrivals * (0.7 + 0.3 * std::sin(kPi * part));
        case Workload::PinesregStaffWeek:
            return m_settings.arrivals;
        case Workload::KumasiQuotes:
            return m_settings.arrivals * (0.8 + 0.2 * std::cos(4 * kPi * part));
        }
        return m_settings.arrivals;
    }

    auto addCustomers() -> void
    {
        constexpr int kCustomers = 8;
        const auto kumasi = m_settings.workload == Workload::KumasiQuotes;
        for (int i = 0; i < kCustomers; ++i) {
            TraceCustomer customer;
            customer.name = (kumasi ? "guild-" : "camp-") + std::to_string(i);
            // Two large customers cause 60 % of the load, as both users report.
            const auto share = i < 2 ? 0.3 : 0.4 / (kCustomers - 2);
            m_shares.push_back(share);
            customer.rate = std::ceil(m_settings.arrivals * share * 40);
            customer.burst = std::ceil(customer.rate * 2);
            customer.priority = i == 0 && !kumasi ? 0 : 1;
            m_trace.customers.push_back(customer);
        }
    }

    [[nodiscard]] auto program(int number, double at) -> TraceProgram
    {
        TraceProgram program;
        program.atMs = static_cast<std::int64_t>(at * 1000);
        program.name = "p" + std::to_string(number);
        program.customer = m_trace.customers[pickCustomer()].name;
        program.system = systemPrompt(program.customer);
        const auto turns = 3 + static_cast<int>(m_random.below(8));
        for (int turn = 0; turn < turns; ++turn) {
            TraceStep call;
            call.model = words(20 + m_random.below(120));
            call.tokens = 8 + static_cast<std::int64_t>(m_random.below(40));
            program.steps.push_back(call);
            if (m_random.below(3) == 0) {
                TraceStep service;
                service.service =
                    m_settings.workload == Workload::KumasiQuotes ? "leaf-order" : "bunk-hold";
                program.steps.push_back(service);
            }
            TraceStep pause;
            pause.pauseMs = static_cast<std::int64_t>(exponential(0.3) * 1000) + 50;
            program.steps.push_back(pause);
        }
        return program;
    }

    auto addOverRateCustomer(double end) -> void
    {
        TraceCustomer overRateCustomer;
        overRateCustomer.name = "loud";
        overRateCustomer.rate = 4;
        overRateCustomer.burst = 8;
        overRateCustomer.priority = 1;
        m_trace.customers.push_back(overRateCustomer);
        const auto rate = overRateCustomer.rate * m_settings.overRateFactor;
        int number = 0;
        for (double at = 0; at < end; at += 1.0 / rate) {
            TraceProgram single;
            single.atMs = static_cast<std::int64_t>(at * 1000);
            single.name = "loud" + std::to_string(number++);
            single.customer = overRateCustomer.name;
            single.steps.push_back({words(40), 16, "", 0});
            single.patienceMs = 500;
            single.outcome = "any";
            m_trace.programs.push_back(single);
        }
    }

    auto addFailures(double end) -> void
    {
        const auto at = [end](double part) { return static_cast<std::int64_t>(end * part * 1000); };
        m_trace.failures = {
            {at(0.2), "kill-engine", "engine-0"},      {at(0.3), "kill-instance", "entry-0"},
            {at(0.4), "kill-instance", "disk-0"},      {at(0.5), "restart-instance", "disk-0"},
            {at(0.55), "restart-instance", "entry-0"}, {at(0.6), "freeze-instance", "disk-1"},
            {at(0.7), "thaw-instance", "disk-1"},      {at(0.75), "revive-engine", "engine-0"},
            {at(0.8), "silence-engine", "engine-1"}};
    }

    [[nodiscard]] auto pickCustomer() -> std::size_t
    {
        auto left = m_random.unit();
        for (std::size_t i = 0; i < m_shares.size(); ++i) {
            left -= m_shares[i];
            if (left < 0)
                return i;
        }
        return m_shares.size() - 1;
    }

    [[nodiscard]] auto exponential(double mean) -> double
    {
        return -mean * std::log(1.0 - m_random.unit());
    }

    [[nodiscard]] auto words(std::uint64_t tokens) -> std::string
    {
        std::string text;
        for (std::uint64_t i = 0; i < tokens; ++i)
            text += std::to_string(100 + m_random.below(900)) + " ";
        return text;
    }

    [[nodiscard]] static auto systemPrompt(const std::string &customer) -> std::string
    {
        constexpr int kSystemWords = 600;
        std::string text = "You help the callers of " + customer + ".";
        for (int i = 0; i < kSystemWords; ++i)
            text +=
                " " + std::to_string(100 + hash64(customer, static_cast<std::uint64_t>(i)) % 900);
        return text;
    }

    WorkloadSettings m_settings;
    Random m_random;
    Trace m_trace;
    std::vector<double> m_shares;
};

} // namespace

auto parseTrace(std::string_view text) -> Result<Trace>
{
    Trace trace;
    std::istringstream lines{std::string(text)};
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        if (line.empty())
            continue;
        try {
            parseLine(trace, nlohmann::json::parse(line));
        } catch (const std::exception &error) {
            return fail(Code::BadRequest, "line " + std::to_string(number) + ": " + error.what());
        }
    }
    return trace;
}

auto renderTrace(const Trace &trace) -> std::string
{
    std::ostringstream out;
    renderLine(out, "fleet", trace.fleet);
    for (const auto &customer : trace.customers)
        renderLine(out, "customer", customer);
    for (const auto &program : trace.programs)
        renderLine(out, "program", program);
    for (const auto &failure : trace.failures)
        renderLine(out, "failure", failure);
    return out.str();
}

auto generateWorkload(const WorkloadSettings &settings) -> Trace
{
    return WorkloadGenerator(settings).generate();
}

} // namespace heathergate::replay
