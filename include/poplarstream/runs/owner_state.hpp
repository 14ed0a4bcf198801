#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <span>  // for span

#include "poplarstream/base/id.hpp"  // for EntryHostId, HostId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/runs/proposals.hpp"  // for Proposals
#include "poplarstream/runs/replay.hpp"  // for ApplyResult
#include "poplarstream/runs/runs_state.hpp"  // for RunsState
#include "poplarstream/runs/worker_command.hpp"  // for WorkerCommand, TaskObservation

namespace poplarstream {

// An owner's local state of one claim, in addition to the log. `isOwnClaim`: this process proposed
// the claim and read it back, so no other process, and no earlier process with the same id, can
// have sent the start command.
struct OwnerTaskState
{
    bool isOwnClaim = false;
    TimePoint knownSince;
    std::optional<TimePoint> startSentAt;
    std::optional<TimePoint> revokeSentAt;
    std::optional<TimePoint> stopSentAt;
    std::optional<TimePoint> checkpointSentAt;
    std::optional<TimePoint> throttleSentAt;
    std::optional<TimePoint> renewedAt;
    bool isThrottled = false;
    // The worker refused a start. Kept separately, since a later response replaces `observation`.
    bool isStartRefused = false;
    std::optional<TaskObservation> observation;
};

// The state that an owner keeps between decisions; lost when the process ends. All times are from
// the owner's own clock, which must not jump.
struct OwnerState
{
    EntryHostId self;
    ZoneId zone;
    Proposals proposals;
    // The time until which this owner may act. Measured from before the lease was sent, so that it
    // ends before the lease expires by the log's time, regardless of the offset between the clocks.
    TimePoint leaseUntil;
    std::map<FencingToken, OwnerTaskState> tasks;
    std::map<RunId, TimePoint> arrivalSentAt;
    std::map<RunId, TimePoint> arrivedAt;
    TimePoint lastSweep;
};

// Call before appending `record`.
void recordAppend(OwnerState &ownerState, const RunRecord &record, TimePoint now,
                  std::uint64_t connection = 0);

// Call after apply() for every record of the stream, regardless of its writer.
void recordReadBack(OwnerState &ownerState, const RunsState &state, const Logged<RunRecord> &logged,
                    const ApplyResult &applied, TimePoint now);

// Records a worker's response or an element of its task list. Late and reordered responses are
// allowed: a final state is not replaced by an earlier one.
void recordTaskObservation(OwnerState &ownerState, const TaskObservation &observation,
                           TimePoint now);

// Call before sending these commands.
void recordCommands(OwnerState &ownerState, std::span<const WorkerCommand> commands, TimePoint now);

// Records that this owner knows of the attempt since `now`, unless it already did.
void recordKnownAttempt(OwnerState &ownerState, const FencingToken &token, TimePoint now);

// Records that the arrival of a handed-over run was sent to, or is held by, the other zone's
// stream.
void recordArrivalSent(OwnerState &ownerState, const RunId &run, TimePoint now);
void recordArrivalConfirmed(OwnerState &ownerState, const RunId &run, TimePoint now);

// Removes the state of claims and hand-overs that are settled.
void eraseSettled(OwnerState &ownerState, const RunsState &state);

}  // namespace poplarstream
