#include <heathergate/control/records.h>

#include <cmath>

namespace heathergate::control {

namespace {

constexpr double kMaxRequests = 1e9;
constexpr double kMaxWeight = 1e6;
constexpr int kLowestPriority = 9;

auto isInRange(double value, double maximum) -> bool
{
    return std::isfinite(value) && value >= 0 && value <= maximum;
}

auto toMicroTokens(double requests) -> limits::MicroTokens
{
    return static_cast<limits::MicroTokens>(std::llround(requests * limits::kOneToken));
}

} // namespace

auto checkRow(const RowValues &values) -> Result<void>
{
    if (!isInRange(values.rate, kMaxRequests))
        return fail(Code::BadRequest, "rate: must be from 0 to 1e9 requests a second");
    if (!isInRange(values.burst, kMaxRequests))
        return fail(Code::BadRequest, "burst: must be from 0 to 1e9 requests");
    if (values.budget < 0)
        return fail(Code::BadRequest, "budget: must not be negative");
    if (values.priority < 0 || values.priority > kLowestPriority)
        return fail(Code::BadRequest, "priority: must be from 0 to 9");
    if (!isInRange(values.weight, kMaxWeight) || values.weight <= 0)
        return fail(Code::BadRequest, "weight: must be above 0 and at most 1e6");
    return {};
}

auto TableRow::limit() const -> limits::Limit
{
    return {toMicroTokens(values.rate), toMicroTokens(values.burst), revision};
}

} // namespace heathergate::control
