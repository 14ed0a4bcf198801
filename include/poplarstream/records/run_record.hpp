#pragma once

#include <compare>  // for strong_ordering
#include <cstdint>  // for uint64_t
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RunId, TenantId, HostId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/records/control_record.hpp"  // for SnapshotPart
#include "poplarstream/records/record.hpp"  // for RecordHeader, Offset

namespace poplarstream {

// Identifies one claim of a run: the offset of the record that granted it and the index of the
// entry in that record. Workers refuse a token that is lower than the newest they have seen for the
// run, or revoked.
struct FencingToken
{
    Offset offset = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const FencingToken &, const FencingToken &) = default;
};

// What a run asks of a worker.
struct Resources
{
    double cpus = 0;
    std::uint64_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;

    friend bool operator==(const Resources &, const Resources &) = default;
};

// A caller's run, accepted when the log holds this entry. A second entry with the same tenant and
// key changes nothing if the payload hash agrees and is refused if it differs.
struct RunAccepted
{
    RunId run;
    TenantId tenant;
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

// Claims a run for `owner`, to be started at `worker`. Granted if the run is waiting and the
// owner's lease is valid by the log's time. `workerBoot` numbers the boot of the worker that the
// owner saw: a worker that rebooted has forgotten what it started, so its later "never started"
// proves nothing. `workerCapacity` is what the owner took as usable on the worker; the claim is
// refused when the reservations granted before it leave too little of it. All zero: not checked.
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

// Takes over a claim whose owner's lease has lapsed by the log's time. The token stays the same.
struct RunTakenOver
{
    RunId run;
    FencingToken token;
    EntryHostId owner;

    friend bool operator==(const RunTakenOver &, const RunTakenOver &) = default;
};

// The worker confirmed that it started the run under `token`.
struct RunStarted
{
    RunId run;
    FencingToken token;

    friend bool operator==(const RunStarted &, const RunStarted &) = default;
};

enum class RunOutcome { Succeeded, Failed, MayHaveRun };

// The end of a run under `token`. The first valid one wins. `peak` is the largest usage that the
// worker reported and `ran` the time that the task took (0: not known); later estimates use both.
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

// Why a claim is over. `Lost` means that nothing is known of the attempt; the worker may still
// start it.
enum class ReleaseCause { NeverStarted, Checkpointed, Stopped, Failed, Lost };

// The claim is over and the run waits for another one. A non-idempotent run is released only when
// the worker confirmed that it never started it, or stopped it at a checkpoint, from which the next
// attempt continues. `workerFault` counts the attempt against the worker and the run.
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

// Cancels runs; one entry for a whole wave of cancellations.
struct RunsCancelled
{
    std::vector<RunId> runs;

    friend bool operator==(const RunsCancelled &, const RunsCancelled &) = default;
};

// Ends a run that can not or must not be tried again, with the reason.
struct RunDeadLettered
{
    RunId run;
    std::string reason;

    friend bool operator==(const RunDeadLettered &, const RunDeadLettered &) = default;
};

// The run leaves this zone's stream for `to`. Granted if the run is waiting.
struct RunHandedOver
{
    RunId run;
    ZoneId to;

    friend bool operator==(const RunHandedOver &, const RunHandedOver &) = default;
};

// The run arrives in this zone's stream. `handedOverAt` is the offset in the stream of `from`; a
// second arrival with the same pair changes nothing.
struct RunReceived
{
    RunAccepted accepted;
    ZoneId from;
    Offset handedOverAt = 0;

    friend bool operator==(const RunReceived &, const RunReceived &) = default;
};

// The stream of the zone that the run was handed to holds its arrival; this zone may forget it.
struct HandOverConfirmed
{
    RunId run;

    friend bool operator==(const HandOverConfirmed &, const HandOverConfirmed &) = default;
};

// Renews (or with duration 0 ends) the lease of an entry host on all of its claims.
struct OwnerLease
{
    EntryHostId owner;
    Milliseconds duration{0};

    friend bool operator==(const OwnerLease &, const OwnerLease &) = default;
};

using RunEntry = std::variant<RunAccepted, RunClaimed, RunTakenOver, RunStarted, RunFinished,
                              RunReleased, RunsCancelled, RunDeadLettered, RunHandedOver,
                              RunReceived, HandOverConfirmed, OwnerLease, SnapshotPart>;

// A record of a `runs-<zone>` stream: a batch of entries, each granted or refused on its own.
struct RunRecord
{
    RecordHeader header;
    std::vector<RunEntry> entries;

    friend bool operator==(const RunRecord &, const RunRecord &) = default;
};

}  // namespace poplarstream
