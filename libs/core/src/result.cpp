#include <heathergate/core/result.h>

#include <algorithm>

namespace heathergate {

auto codeTable() -> const std::vector<CodeInfo> &
{
    static const std::vector<CodeInfo> kTable{
        {Code::Ok, "Ok", 200, "The operation succeeded."},
        {Code::BadRequest, "BadRequest", 400, "A field of the request is missing or not allowed."},
        {Code::UnknownRoute, "UnknownRoute", 404, "No route has this method and path."},
        {Code::BodyTooLarge, "BodyTooLarge", 413, "The body or a header exceeds its limit."},
        {Code::BadSetting, "BadSetting", 400, "A setting is unknown or its value not allowed."},
        {Code::KeyReusedWithOtherBody, "KeyReusedWithOtherBody", 422,
         "The idempotency key was used before with another request."},
        {Code::MissingKey, "MissingKey", 401, "The request carries no key."},
        {Code::UnknownKey, "UnknownKey", 401, "The key is unknown or withdrawn."},
        {Code::NotAnOperator, "NotAnOperator", 403, "The key is not an operator's."},
        {Code::NotAnUpstream, "NotAnUpstream", 403, "The announcement carries no valid token."},
        {Code::RateExceeded, "RateExceeded", 429, "The customer is over its rate and burst."},
        {Code::BudgetExhausted, "BudgetExhausted", 402, "The program's budget cannot cover it."},
        {Code::TurnLimit, "TurnLimit", 409, "The program has used all its turns."},
        {Code::DeadlinePassed, "DeadlinePassed", 408, "The deadline has passed or can't be met."},
        {Code::PoisonRequest, "PoisonRequest", 422,
         "The request was running when several upstreams died."},
        {Code::QueueFull, "QueueFull", 503, "A bounded queue of the instance is full."},
        {Code::TooManyConnections, "TooManyConnections", 503,
         "The address has too many "
         "connections."},
        {Code::UnknownProgram, "UnknownProgram", 404, "The customer has no such program."},
        {Code::ProgramEnded, "ProgramEnded", 409, "The program has ended or expired."},
        {Code::OutOfOrder, "OutOfOrder", 409, "The turn is not the program's next one."},
        {Code::CallInProgress, "CallInProgress", 409, "The same call is running now."},
        {Code::RevisionConflict, "RevisionConflict", 409, "The row has changed since it was read."},
        {Code::UnknownCustomer, "UnknownCustomer", 404, "The table has no such customer."},
        {Code::AlreadyExists, "AlreadyExists", 409, "An object with this identifier exists."},
        {Code::UnknownUpstream, "UnknownUpstream", 404, "No such upstream has announced itself."},
        {Code::UnknownTurn, "UnknownTurn", 404, "The customer has no such turn."},
        {Code::NotLeader, "NotLeader", 503, "The replica does not lead the group."},
        {Code::NoQuorum, "NoQuorum", 503, "The group has no leader that can commit."},
        {Code::StaleConfiguration, "StaleConfiguration", 503,
         "The instance cannot confirm that its configuration is current."},
        {Code::NoUpstream, "NoUpstream", 503, "No upstream can take the request."},
        {Code::UpstreamFailed, "UpstreamFailed", 502, "The upstream failed."},
        {Code::OutcomeUnknown, "OutcomeUnknown", 502,
         "The request may have run; it is never run again."},
        {Code::Draining, "Draining", 503, "The instance is shutting down."},
        {Code::Timeout, "Timeout", 504, "No answer arrived in time."},
        {Code::HistoryUnavailable, "HistoryUnavailable", 503,
         "The earlier turns cannot be read now."},
        {Code::StreamVersionGone, "StreamVersionGone", 503,
         "The stream cannot go on; begin it anew."},
        {Code::DiskFailed, "DiskFailed", 500, "A disk operation failed."},
        {Code::DiskFull, "DiskFull", 507, "The disk is full."},
        {Code::DataDamaged, "DataDamaged", 500, "A stored record is damaged."},
        {Code::DataLocked, "DataLocked", 500, "Another process uses the data folder."},
        {Code::BadFrame, "BadFrame", 400, "A message could not be decoded."},
        {Code::PeerRejected, "PeerRejected", 403, "A peer did not prove its identity."},
    };
    return kTable;
}

auto codeInfo(Code code) -> const CodeInfo &
{
    const auto &table = codeTable();
    const auto row = std::find_if(table.begin(), table.end(),
                                  [code](const CodeInfo &info) { return info.code == code; });
    return row == table.end() ? table.at(1) : *row;
}

auto ranText(Ran ran) -> std::string_view
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace heathergate
