#pragma once

#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/runs/fakes/timeline.hpp"  // for Timeline
#include "poplarstream/runs/fakes/worker.hpp"  // for FakeWorker
#include "poplarstream/runs/fakes/zone.hpp"  // for FakeCall, FaultRates

namespace poplarstream::bench {

// What a dispatcher without log, fence and estimates does with the same calls and workers.
struct NaiveOutcome
{
    std::uint64_t finished = 0;
    std::uint64_t attempts = 0;
    std::uint64_t wasted = 0;
    std::uint64_t overfullSteps = 0;
    std::vector<history::Event> history;
};

// Places the oldest calls first, in memory, by their declared sizes on a random worker that has
// room, or, when `isClairvoyant`, by their real sizes on the fullest worker that has room. A failed
// call is tried three times.
NaiveOutcome dispatchDirectly(std::vector<fakes::FakeWorker> workers,
                              const std::vector<fakes::FakeCall> &calls, Milliseconds duration,
                              Milliseconds step, Random &random, bool isClairvoyant);

// Several dispatchers that hold their calls in memory and try an unanswered start again, three
// times, on a random worker. `cancelAt`: when all calls with an odd position are cancelled by
// taking them out of the queues. `restartEach`: how often some dispatcher is replaced.
struct NaiveFaults
{
    fakes::FaultRates rates;
    std::optional<Milliseconds> restartEach;
    std::optional<Milliseconds> cancelAt;
};
NaiveOutcome dispatchWithFaults(std::vector<fakes::FakeWorker> workers,
                                const std::vector<fakes::FakeCall> &calls, Milliseconds spread,
                                Milliseconds duration, const NaiveFaults &faults, Random &random);

}  // namespace poplarstream::bench
