#pragma once

#include <map>  // for map

#include "poplarstream/accounts/loans.hpp"  // for WaitingWork
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// The tasks of each client account that could start now if there were room for them, with what they
// count for their account. Gangs that the whole cap would not let start beside tasks that last are
// left out. Visits a bounded number of jobs of each account: the sum may be too low if more of them
// wait.
std::map<AccountId, accounts::WaitingWork> waitingWork(const Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
