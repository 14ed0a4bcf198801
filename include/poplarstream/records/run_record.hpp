#pragma once

#include <compare>  // for strong_ordering
#include <cstdint>  // for uint64_t
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RunId, AccountId, HostId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/records/control_record.hpp"  // for SnapshotPart
#include "poplarstream/records/record.hpp"  // for RecordHeader, Offset

namespace poplarstream {

// Identifies one claim of a run by the offset of the record that granted it and the index of the
// entry in that record. Workers reject tokens that are revoked or lower than the highest one seen
// for the run.
struct FencingToken
{
    Offset offset = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const FencingToken &, const FencingToken &) = default;
};

// The resources that a run needs on a worker.
struct Resources
{
    double cpus = 0;
    std::uint64_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;

    friend bool operator==(const Resources &, const Resources &) = default;
};

// Accepts a run; it is accepted once the log contains this entry. A second entry with the same
// tenant and key is a no-op if the payload hash matches and is refused otherwise.
struct RunAccepted
{
    RunId run;
    AccountId tenant;
    ServiceId service;
    std::string idempotencyKey;
    std::uint64_t payloadHash = 0;
    std::string payload;
    Resources declared;
    Milliseconds declaredDuration{0};
    bool idempotent = false;
    TimePoint deadline;

    friend bool operator==(const RunAccepted &, const RunAccepted &) = default;
};

// Claims a run for `owner`, to be started on `worker`. Granted if the run is waiting and the lease
// of the owner is valid at log time. `workerBoot` is the boot number of the worker as known to the
// owner: a rebooted worker has lost its record of started tasks, so a later "never started" from it
// proves nothing. `workerCapacity` is the usable capacity that the owner assumed; the claim is
// refused if it does not fit beside the existing reservations. All zero disables the check.
struct RunClaimed
{
    RunId run;
    EntryHostId owner;
    HostId worker;
    Resources reserved;
    std::uint64_t workerBoot = 0;
    Resources workerCapacity = {};

    friend bool operator==(const RunClaimed &, const RunClaimed &) = default;
};

// Takes over a claim whose owner's lease has expired at log time. The token stays the same.
struct RunTakenOver
{
    RunId run;
    FencingToken token;
    EntryHostId owner;

    friend bool operator==(const RunTakenOver &, const RunTakenOver &) = default;
};

// The worker confirmed the start of the run under `token`.
struct RunStarted
{
    RunId run;
    FencingToken token;

    friend bool operator==(const RunStarted &, const RunStarted &) = default;
};

enum class RunOutcome { Succeeded, Failed, MayHaveRun };

// Completes a run under `token`. The first valid completion wins. `peak` is the peak usage reported
// by the worker and `ran` the run time of the task (0 if unknown); both feed later estimates.
struct RunFinished
{
    RunId run;
    FencingToken token;
    RunOutcome outcome = RunOutcome::Succeeded;
    std::string result;
    Resources peak = {};
    Milliseconds ran{0};

    friend bool operator==(const RunFinished &, const RunFinished &) = default;
};

// Why a claim was released. `Lost` means that the state of the attempt is unknown; the worker may
// still start it.
enum class ReleaseCause { NeverStarted, Checkpointed, Stopped, Failed, Lost };

// Releases the claim; the run waits to be claimed again. A non-idempotent run is released only if
// the worker confirmed that it never started the run, or stopped it at a checkpoint, from which the
// next attempt continues. `workerFault` counts the attempt as failed for the worker and the run.
struct RunReleased
{
    RunId run;
    FencingToken token;
    bool workerFault = false;
    std::string reason;
    ReleaseCause cause = ReleaseCause::NeverStarted;
    std::string checkpoint = {};

    friend bool operator==(const RunReleased &, const RunReleased &) = default;
};

// Cancels a batch of runs.
struct RunsCancelled
{
    std::vector<RunId> runs;

    friend bool operator==(const RunsCancelled &, const RunsCancelled &) = default;
};

// Ends a run that cannot or must not be retried, with the reason.
struct RunDeadLettered
{
    RunId run;
    std::string reason;

    friend bool operator==(const RunDeadLettered &, const RunDeadLettered &) = default;
};

// Hands the run over from this zone to `to`. Granted if the run is waiting.
struct RunHandedOver
{
    RunId run;
    ZoneId to;

    friend bool operator==(const RunHandedOver &, const RunHandedOver &) = default;
};

// Receives a run that was handed over by `from`. `handedOverAt` is the offset of the hand-over in
// the stream of `from`; a second arrival with the same pair is a no-op.
struct RunReceived
{
    RunAccepted accepted;
    ZoneId from;
    Offset handedOverAt = 0;

    friend bool operator==(const RunReceived &, const RunReceived &) = default;
};

// Confirms that the stream of the receiving zone contains the arrival of the run, so that this zone
// may forget the run.
struct HandOverConfirmed
{
    RunId run;

    friend bool operator==(const HandOverConfirmed &, const HandOverConfirmed &) = default;
};

// Renews (or with duration 0 releases) the lease of an entry host on all of its claims.
struct OwnerLease
{
    EntryHostId owner;
    Milliseconds duration{0};

    friend bool operator==(const OwnerLease &, const OwnerLease &) = default;
};

using RunEntry = std::variant<RunAccepted, RunClaimed, RunTakenOver, RunStarted, RunFinished,
                              RunReleased, RunsCancelled, RunDeadLettered, RunHandedOver,
                              RunReceived, HandOverConfirmed, OwnerLease, SnapshotPart>;

// A record of a `runs-<zone>` stream: a batch of entries that are granted or refused independently.
struct RunRecord
{
    RecordHeader header;
    std::vector<RunEntry> entries;

    friend bool operator==(const RunRecord &, const RunRecord &) = default;
};

}  // namespace poplarstream
