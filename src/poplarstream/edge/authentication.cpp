#include "poplarstream/edge/authentication.hpp"

namespace poplarstream::edge {

namespace {

AuthenticatedCall rejected(Authentication authentication, ResponseKind kind,
                           std::string_view message)
{
    AuthenticatedCall call;
    call.authentication = authentication;
    call.rejection.emplace();
    call.rejection->kind = kind;
    call.rejection->message = message;
    return call;
}

}  // namespace

std::string_view authenticationText(Authentication authentication)
{
    switch (authentication) {
    case Authentication::NotNeeded:
        return "not-needed";
    case Authentication::Accepted:
        return "accepted";
    case Authentication::NoKey:
        return "no-key";
    case Authentication::UnknownKey:
        return "unknown-key";
    case Authentication::MalformedKey:
        return "malformed-key";
    case Authentication::NotCurrent:
        break;
    }
    return "not-current";
}

AuthenticatedCall authenticate(const Configuration &configuration, bool isCurrent,
                               const Route *route, const Call &call)
{
    if (call.hasMalformedKey && !configuration.accounts.empty()) {
        return rejected(Authentication::MalformedKey, ResponseKind::BadRequest,
                        "the credentials are not one well-formed bearer key");
    }
    if (route == nullptr || route->isPublic) {
        return {};
    }
    if (const AccountId *const account = configuration.keys.find(call.key)) {
        return {Authentication::Accepted, *account, {}};
    }
    if (!isCurrent) {
        return rejected(Authentication::NotCurrent, ResponseKind::Unavailable,
                        "the configuration may be out of date");
    }
    return call.key.empty() ? rejected(Authentication::NoKey, ResponseKind::Unauthorized,
                                       "the queue needs the key of an account")
                            : rejected(Authentication::UnknownKey, ResponseKind::Unauthorized,
                                       "the key belongs to no account");
}

}  // namespace poplarstream::edge
