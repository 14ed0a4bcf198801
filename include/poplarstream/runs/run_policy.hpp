#pragma once

#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream {

// Timeouts and limits of the run decisions.
struct RunPolicy
{
    Milliseconds ownerLease{10'000};
    // A third of the lease, so that two renewals can be lost.
    Milliseconds ownerLeaseRenewal{3'300};
    // Longer than the owner lease plus the time for a takeover, so that a task survives the loss of
    // its owner.
    Milliseconds taskLease{60'000};
    Milliseconds taskLeaseRenewal{15'000};
    // An append of unknown outcome is repeated under the same id.
    Milliseconds appendRetryInterval{2'000};
    // After this delay, owners other than the preferred one may claim or take over a run.
    Milliseconds ownerDelay{5'000};
    Milliseconds commandRetryInterval{2'000};
    // A start without a response is revoked after this.
    Milliseconds startTimeout{6'000};
    // Idempotent runs are released from a worker that has not responded for this long.
    Milliseconds workerLostAfter{15'000};
    // Longer than the task lease, so that most tasks have stopped before their runs end as
    // MayHaveRun. An owner that is cut off from the log but not from the worker can keep a task
    // running; no decision relies on the task having stopped.
    Milliseconds workerGivenUpAfter{120'000};
    Milliseconds unplaceableAfter{20'000};
    Milliseconds sweepInterval{5'000};
    std::size_t claimsPerRound = 64;
    // How many runs of a tenant are tried if its oldest ones do not fit.
    std::size_t lookAheadRuns = 64;
    // The shares of a worker's capacity that estimated and measured usage may fill.
    double cpuFillShare = 1.0;
    double memoryFillShare = 0.94;
    // Memory use as a share of the worker's capacity: projected use above which tasks are
    // checkpointed, and measured use above which idempotent tasks are stopped instead.
    double checkpointMemoryShare = 0.96;
    double stopMemoryShare = 0.99;
    // Processor use as a share of the worker's capacity, above which the youngest tasks are
    // throttled, and below which throttles are lifted.
    double throttleCpuShare = 0.99;
    double unthrottleCpuShare = 0.9;
    // A worker without a finished run gets at most this many runs at once, and two more for each
    // task whose usage has settled, so that it fills up gradually.
    std::uint32_t unprovenWorkerRuns = 2;
    Milliseconds faultBackoff{5'000};
    // A worker that is not quarantined is tried at least this often.
    Milliseconds maxFaultBackoff{5 * 60 * 1000};
    Milliseconds probeDelay{30'000};
    Milliseconds maxProbeDelay{60 * 60 * 1000};
    // A quarantine requires this many faults in a row, of different runs and several tenants.
    std::uint32_t quarantineFaultCount = 3;
    Milliseconds maxFaultAge{10 * 60 * 1000};
    // Upper bound on the share of quarantined workers, so that a fault that affects all runs does
    // not empty the zone.
    double maxQuarantinedShare = 0.2;
};

}  // namespace poplarstream
