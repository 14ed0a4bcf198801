#pragma once

#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream {

// The bounds that the run deciders use.
struct RunPolicy
{
    Milliseconds ownerLease{10'000};
    // Renewed at a third, so that two renewals can be lost.
    Milliseconds ownerLeaseRenewal{3'300};
    // Longer than the owner lease and the time for a takeover together, so that a task outlives the
    // loss of its owner.
    Milliseconds taskLease{60'000};
    Milliseconds taskLeaseRenewal{15'000};
    // An append without outcome is sent again under the same id.
    Milliseconds appendPatience{2'000};
    // After this the owners other than the preferred one may claim or take over.
    Milliseconds ownerDelay{5'000};
    Milliseconds commandRetry{2'000};
    // A start without an answer is revoked after this.
    Milliseconds startPatience{6'000};
    // A worker that has not answered for this long is lost for idempotent runs.
    Milliseconds workerLost{15'000};
    // Beyond the task lease, so that most tasks have ended before their runs are given up as
    // MayHaveRun. An owner that is cut off from the log but not from the worker can keep one
    // running; no decision relies on its end.
    Milliseconds workerGivenUp{120'000};
    Milliseconds unplaceableAfter{20'000};
    Milliseconds sweepInterval{5'000};
    std::size_t claimsPerRound = 64;
    // How many runs of a tenant are tried when its oldest do not fit at the moment.
    std::size_t lookAhead = 64;
    // The shares of a worker that are filled by estimates and measured usage.
    double cpuFill = 1.0;
    double memoryFill = 0.94;
    // Projected memory use, as a share of the worker, at which tasks are checkpointed, or stopped.
    double checkpointAt = 0.96;
    double stopAt = 0.99;
    // Processor use at which the youngest tasks are throttled, and below which they are let go.
    double throttleAt = 0.99;
    double unthrottleAt = 0.9;
    // A worker without a finished run gets at most this many at once, and as many more for each
    // task whose usage has settled, so that it fills up gradually.
    std::uint32_t unprovenLimit = 2;
    Milliseconds suspectDelay{5'000};
    // A worker without evidence for a quarantine is tried at least this often.
    Milliseconds maxSuspectDelay{5 * 60 * 1000};
    Milliseconds probeDelay{30'000};
    Milliseconds maxProbeDelay{60 * 60 * 1000};
    // Quarantine needs this many faults in a row, of different runs and several tenants.
    std::uint32_t quarantineFaults = 3;
    Milliseconds evidenceAge{10 * 60 * 1000};
    // No more than this share of the workers is quarantined, so that a fault that hits all runs
    // alike does not empty the zone.
    double maxQuarantined = 0.2;
};

}  // namespace poplarstream
