#include <heathergate/daemon/internal/entry_context.h>

namespace heathergate::daemon::internal {

namespace {

constexpr std::string_view kScheme = "Bearer ";

auto requireFresh(TimePoint now, const EntryContext &context) -> Result<void>
{
    if (context.incarnation == 0 || !context.view.isFresh(now))
        return fail(Code::StaleConfiguration,
                    "the instance cannot confirm its configuration; use another instance", Ran::No,
                    std::chrono::seconds(1));
    return {};
}

} // namespace

auto bearerKey(const http::Request &request) -> Result<std::string>
{
    const auto value = request.header("authorization");
    if (!value.starts_with(kScheme) || value.size() == kScheme.size())
        return fail(Code::MissingKey, "the Authorization header must be 'Bearer KEY'");
    return value.substr(kScheme.size());
}

auto keyHashOf(const Settings &settings, std::string_view key) -> std::string
{
    return toHex(hmacSha256(settings.hashSecret, key));
}

auto authenticateCaller(TimePoint now, const EntryContext &context, const http::Request &request)
    -> Result<Identity>
{
    const auto key = bearerKey(request);
    if (!key)
        return tl::unexpected(key.error());
    if (const auto fresh = requireFresh(now, context); !fresh)
        return tl::unexpected(fresh.error());
    const auto hash = keyHashOf(context.settings, *key);
    const auto *record = context.view.state().key(hash);
    if (record == nullptr || record->owner != control::KeyOwner::Caller)
        return fail(Code::UnknownKey, "the key is unknown or withdrawn");
    return Identity{hash, *record};
}

auto authenticateOperator(TimePoint now, const EntryContext &context, const http::Request &request)
    -> Result<Identity>
{
    const auto key = bearerKey(request);
    if (!key)
        return tl::unexpected(key.error());
    const auto hash = keyHashOf(context.settings, *key);
    // The first operator's key is in the settings, so that it is valid while no group responds.
    if (equalInConstantTime(hash, context.settings.operatorKeyHash))
        return Identity{hash, {KeyId("settings"), control::KeyOwner::Operator, {}, 0}};
    if (const auto fresh = requireFresh(now, context); !fresh)
        return tl::unexpected(fresh.error());
    const auto *record = context.view.state().key(hash);
    if (record == nullptr || record->owner != control::KeyOwner::Operator)
        return fail(Code::NotAnOperator, "the key is not an operator's");
    return Identity{hash, *record};
}

} // namespace heathergate::daemon::internal
