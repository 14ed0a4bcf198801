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

// What an owner knows of one claim, besides the log. `isFresh`: this process proposed the claim and
// read it back itself, so no other process, nor an earlier one under the same id, can have sent the
// start.
struct TaskMemory
{
    bool isFresh = false;
    TimePoint knownSince;
    std::optional<TimePoint> startSentAt;
    std::optional<TimePoint> revokeSentAt;
    std::optional<TimePoint> stopSentAt;
    std::optional<TimePoint> checkpointSentAt;
    std::optional<TimePoint> throttleSentAt;
    std::optional<TimePoint> renewedAt;
    bool isThrottled = false;
    // The worker has refused a start. Kept apart, since a later answer replaces `seen`.
    bool isStartRefused = false;
    std::optional<TaskObservation> seen;
};

// What an owner remembers between decisions; lost with the process. All times are of the owner's
// own clock, which must not jump.
struct OwnerMemory
{
    EntryHostId self;
    ZoneId zone;
    Proposals proposals;
    // Until when this owner may act. Counted from the moment before the lease was sent, so that it
    // ends before the lease ends by the log's time, whatever the two clocks say.
    TimePoint leaseUntil;
    std::map<FencingToken, TaskMemory> tasks;
    std::map<RunId, TimePoint> arrivalSentAt;
    std::map<RunId, TimePoint> arrivedAt;
    TimePoint lastSweep;
};

// The caller is about to append `record`.
void noteAppend(OwnerMemory &memory, const RunRecord &record, TimePoint now,
                std::uint64_t connection = 0);

// Call after apply(), for every record of the stream, of whatever writer.
void noteReadBack(OwnerMemory &memory, const RunsState &state, const Logged<RunRecord> &logged,
                  const ApplyResult &applied, TimePoint now);

// A worker answered, or listed a task. Late and reordered answers are allowed: an end is not
// replaced by an earlier state.
void noteTask(OwnerMemory &memory, const TaskObservation &observation, TimePoint now);

// The caller is about to send these commands.
void noteCommands(OwnerMemory &memory, std::span<const WorkerCommand> commands, TimePoint now);

// This owner knows of the attempt, at the latest from `now` on.
void noteKnown(OwnerMemory &memory, const FencingToken &token, TimePoint now);

// The arrival of a handed-over run was sent to, or is held by, the stream of the other zone.
void noteArrivalSent(OwnerMemory &memory, const RunId &run, TimePoint now);
void noteArrived(OwnerMemory &memory, const RunId &run, TimePoint now);

// Drops what concerns claims and hand-overs that are over.
void forgetSettled(OwnerMemory &memory, const RunsState &state);

}  // namespace poplarstream
