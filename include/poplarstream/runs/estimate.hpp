#pragma once

#include <span>  // for span

#include "poplarstream/runs/runs_state.hpp"  // for RunsState
#include "poplarstream/runs/worker_view.hpp"  // for WorkerView

namespace poplarstream {

// What a run is expected to use at its peak: the declared size, corrected by a high quantile of
// measured over declared among the newest finished runs of its service. Accelerators are taken as
// declared, since a task cannot use more than it is given.
Resources estimatedSize(const RunsState &state, const ServiceId &service,
                        const Resources &declared);

// The expected run time, corrected by the median in the same way.
Milliseconds estimatedDuration(const RunsState &state, const ServiceId &service,
                               Milliseconds declared);

// What is left on a worker for further claims: its capacity up to `fillLimit`, without the measured
// usage of the tasks that have been reported for a while and without the reservations of the
// others. `now` is the reader's clock, the clock of the usage report.
struct Room
{
    Resources left;
    // What to state as the worker's capacity in a claim: the reservations and what is left.
    Resources statedCapacity;
    std::uint32_t runs = 0;
};
struct OpenClaim
{
    FencingToken token;
    Resources reserved;
    Milliseconds age{0};
};
Room roomOf(const WorkerView &worker, std::span<const OpenClaim> claims, double fillLimit);

}  // namespace poplarstream
