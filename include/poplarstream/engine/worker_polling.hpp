#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Each poll renews the leases, so the response must come well before the lease expires.
inline constexpr Milliseconds maxPollWait{1500};

// Sends the polls that are due and releases attempts whose lease must have expired. Called every
// few tens of milliseconds.
void pollWorkers(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
