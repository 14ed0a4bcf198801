#pragma once

#include <optional>  // for optional
#include <string_view>  // for string_view

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::edge {

// The ways by which an entry host stores a record of the job log.
enum class StorePath { Direct, ThroughOwner };

// Whether records of one partition of the job log can be stored at present, by either way, judged
// from the attempts of this process. While the circuit is open, one attempt at a time probes the
// store and everything else waits.
struct StoreCircuit
{
    int failures = 0;  // attempts in a row that failed
    TimePoint failingSince{};  // when the first of them ended
    TimePoint lastFailure{};
    TimePoint lastSuccess{};
    StorePath lastSuccessPath = StorePath::Direct;
    bool isOpen = false;
    int failedProbes = 0;  // since it opened
    TimePoint openedAt{};  // when it last opened
    TimePoint probeAt{};  // while it is open: no probe is sent earlier
    TimePoint closedAt{};  // when it last closed
    // Neither the store nor the owner responded to the last attempt: the fault may be on this
    // host's side, and another entry host may reach the store.
    bool isIsolated = false;
};

enum class CircuitChange { None, Opened, Closed };

// How an attempt ended without storing the record.
struct FailedAttempt
{
    TimePoint startedAt{};
    std::optional<bool> hasReachedOwner;  // empty if the owner was not asked
};

// An attempt was stored.
CircuitChange recordSuccess(StoreCircuit &circuit, StorePath path, TimePoint now);

// An attempt failed. An attempt that had begun before the last success says nothing about the store
// after it and is ignored. `seed` spreads the probes of different processes.
CircuitChange recordFailure(StoreCircuit &circuit, const FailedAttempt &attempt,
                            std::string_view seed, TimePoint now);

// The store has taken a record of another partition: the next probe need not wait long.
void hastenProbe(StoreCircuit &circuit, std::string_view seed, TimePoint now);

// The delay before the attempt that follows the `failures`-th failure in a row: it doubles up to a
// limit. A hash of `seed` takes up to half of it away, so that those who failed together do not
// come back together.
Milliseconds retryDelay(int failures, std::string_view seed);

}  // namespace poplarstream::edge
