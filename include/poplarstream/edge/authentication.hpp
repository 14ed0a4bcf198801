#pragma once

#include <cstddef>  // for size_t
#include <optional>  // for optional
#include <string_view>  // for string_view

#include "poplarstream/edge/ports.hpp"  // for Configuration, Route, Call, Response

namespace poplarstream::edge {

// How a call was authenticated, or why it was not.
enum class Authentication {
    NotNeeded,  // the queue is public
    Accepted,
    NoKey,
    UnknownKey,
    MalformedKey,
    NotCurrent,  // no or an unknown key, and the configuration may be out of date
};
inline constexpr std::size_t authentications = 6;

// How events and metrics name it.
std::string_view authenticationText(Authentication authentication);

struct AuthenticatedCall
{
    Authentication authentication = Authentication::NotNeeded;
    AccountId account;  // empty unless accepted
    std::optional<Response> rejection;  // what to respond if the call is not to be carried out
};

// Authenticates a call on `route`, which is null if there is no such queue: then only malformed
// credentials are rejected.
//
// `isCurrent` says whether `configuration` has all changes that must be in force. If not, an
// unknown key may have been added since, so its caller is told to try again. In a configuration
// without accounts all calls are accepted, whatever credentials they have.
AuthenticatedCall authenticate(const Configuration &configuration, bool isCurrent,
                               const Route *route, const Call &call);

}  // namespace poplarstream::edge
