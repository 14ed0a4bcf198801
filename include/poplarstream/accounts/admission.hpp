#pragma once

#include <cstddef>  // for size_t
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/id.hpp"  // for AccountId, ServiceId
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream::accounts {

// Over this time an owner counts the jobs of an account, and so often it decides anew.
inline constexpr Milliseconds admissionWindow{2000};

// What the owner of a shard knows about an account of which jobs wait.
struct AccountLoad
{
    double acceptedPerS = 0;  // jobs a second over the window, that have not ended
    double owedPerS = 0;  // its weight, or the shard's part of it
    Milliseconds wait{0};  // until its waiting work has started with its share of the capacity
    Milliseconds objective{0};  // in which its waiting jobs are to be done, on average
    std::set<ServiceId> lateServices = {};  // in which its work cannot be done in time
};

// Says to the entry hosts how much of the submissions of an account to admit.
struct Hold
{
    int admittedPermille = 1000;
    Milliseconds drain{0};  // until what waits beyond its share has started
    // Whose jobs are rejected; all if empty, as in records of earlier versions.
    std::set<ServiceId> services = {};

    friend bool operator==(const Hold &, const Hold &) = default;
};

using Holds = std::map<AccountId, Hold>;

// What an owner decides and publishes for its shard.
struct Admission
{
    Holds holds;
    std::set<AccountId> suspects;  // to be held if the next decision finds the same
};

// Decides which accounts are held, once in each window. An account is held if it has sent more than
// it is owed and its work could not be on time with its share, at two decisions in a row: pools may
// grow meanwhile. It is admitted what it is owed, and everything as soon as it sends clearly less
// or what waits can be on time again. At most a fixed number is held, those that drain the longest.
// Only jobs of the services that are late are rejected, those at the last decision that found any.
void updateAdmission(Admission &admission, const std::map<AccountId, AccountLoad> &loads);

// Whether a submission of a held account to a service is rejected, by a hash of the job's id: then
// the time after which it should come back, spread over the time that the surplus takes to drain.
std::optional<Milliseconds> rejectionOf(const Hold &hold, const ServiceId &service,
                                        std::string_view jobId);

// The text of holds in a renewal; empty if there are none.
std::string encodeHolds(const Holds &holds);

// Entries that cannot be read are left out.
Holds decodeHolds(std::string_view text);

}  // namespace poplarstream::accounts
