#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint

namespace poplarstream::console {

// A working day, so that an operator logs in once per shift.
inline constexpr Milliseconds sessionLength{12 * 60 * 60 * 1000};

// The value of the session cookie: the expiry time and its keyed hash under the operator's token.
// Any entry host with the same token file can verify it without shared state. `now` is wall-clock
// time.
std::string makeSession(std::string_view operatorToken, TimePoint now);

// The token against cross-site request forgery that each form post of the session must carry;
// nullopt if the session has expired or was signed with none of the tokens.
std::optional<std::string> formTokenOf(std::string_view session,
                                       std::span<const std::string> operatorTokens, TimePoint now);

// Compares two non-empty strings in a time that does not depend on how many bytes agree. False if
// either is empty.
bool secretsMatch(std::string_view a, std::string_view b);

}  // namespace poplarstream::console
