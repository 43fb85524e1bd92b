#include <heathergate/core/json_text.h>
#include <heathergate/daemon/problem.h>

namespace heathergate::daemon {

auto problemResponse(const Error &error) -> http::Response
{
    const auto &info = codeInfo(error.code);
    const nlohmann::json body{{"type", "about:blank"},
                              {"title", info.name},
                              {"status", info.httpStatus},
                              {"detail", error.detail},
                              {"code", static_cast<int>(error.code)},
                              {"ran", ranText(error.ran)}};
    http::Response response{
        info.httpStatus, {{"content-type", "application/problem+json"}}, jsonText(body)};
    if (error.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count();
        response.headers["retry-after"] = std::to_string(seconds);
    }
    if (info.httpStatus == 401)
        response.headers["www-authenticate"] = "Bearer";
    return response;
}

auto jsonResponse(const nlohmann::json &body, int status) -> http::Response
{
    return {status, {{"content-type", "application/json"}}, jsonText(body)};
}

auto parseJsonObject(const std::string &text, int maxDepth) -> Result<nlohmann::json>
{
    bool tooDeep = false;
    const auto checkDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > maxDepth;
        return depth <= maxDepth;
    };
    auto json = nlohmann::json::parse(text, checkDepth, false);
    if (tooDeep)
        return fail(Code::BadRequest,
                    "body: nested deeper than " + std::to_string(maxDepth) + " levels");
    if (!json.is_object())
        return fail(Code::BadRequest, "body: must be a JSON object");
    return json;
}

} // namespace heathergate::daemon
