#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint

namespace poplarstream::console {

// A working day; an operator logs in once a shift.
inline constexpr Milliseconds sessionLength{12 * 60 * 60 * 1000};

// The value of the session cookie: the expiry and a keyed hash of it under the operator's token, so
// that every entry host with the same token file can check it without shared state. `now` is wall
// time.
std::string makeSession(std::string_view operatorToken, TimePoint now);

// The value that each form post of the session repeats. Nothing when the session has expired or
// belongs to none of the tokens.
std::optional<std::string> formTokenOf(std::string_view session,
                                       std::span<const std::string> operatorTokens, TimePoint now);

// Whether both texts are equal and not empty, in a time that does not depend on how many bytes
// agree.
bool secretsMatch(std::string_view a, std::string_view b);

}  // namespace poplarstream::console
