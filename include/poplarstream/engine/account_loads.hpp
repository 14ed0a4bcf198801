#pragma once

#include <map>  // for map

#include "poplarstream/accounts/admission.hpp"  // for AccountLoad
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// The load of each account of which jobs wait, in the service where they wait the longest beyond
// their objective. Empty if no accounts are configured. `shards` owners share the deployment, so
// each is owed its part of an account's weight. Jobs that last or repeat do not count as work that
// drains.
std::map<AccountId, accounts::AccountLoad> accountLoads(const Engine &engine, int shards,
                                                        TimePoint now);

}  // namespace poplarstream::engine
