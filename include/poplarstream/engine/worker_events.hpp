#pragma once

#include <optional>  // for optional
#include <string_view>  // for string_view

#include "poplarstream/engine/state.hpp"  // for Engine, WorkerEntry

namespace poplarstream::engine {

// Applies a new or changed entry of the registry.
void registerWorker(Engine &engine, const WorkerEntry &entry, TimePoint now);

// Called when the registry no longer lists the worker.
void deregisterWorker(Engine &engine, const WorkerId &id);

// How this owner learned that an incarnation has ended.
enum class EndEvidence {
    RejectedCommand,  // another incarnation rejected a command to it
    Registry,  // the registry lists a newer incarnation under its id
    PollResponse,  // another incarnation responded to a poll
    MachineAbsent,  // the machine lists have had no machine with it for some time
    MachineCommand,  // this owner moved its machine or sent it to maintenance
};

// Whether a worker that ends now was asked to: it was draining, or this owner ordered or prepared
// the end.
bool isPlannedEnd(const Worker &worker, EndEvidence evidence);

// Called when a newer incarnation of the machine or the id shows that nothing of this one is
// running any more.
void endIncarnation(Engine &engine, const WorkerIncarnation &incarnation, EndEvidence evidence,
                    TimePoint now);

// Handles the response to a poll, or nothing if none came in time.
void handlePollResponse(Engine &engine, const WorkerIncarnation &incarnation,
                        std::int64_t pollNumber, const std::optional<PollResponse> &response,
                        TimePoint now);

// Called when a worker rejects a command because it is another incarnation than the target.
void handleOtherIncarnation(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now);

void handleStartResult(Engine &engine, const AttemptRef &attempt,
                       const WorkerIncarnation &incarnation, StartResult result,
                       std::int64_t clockMs, TimePoint now);

// Discards the commands that may not be sent. Each counts as one without a response, so that its
// outcome is settled later.
void dropCommands(Engine &engine, TimePoint now);

void handleStopResult(Engine &engine, const AttemptRef &attempt,
                      const WorkerIncarnation &incarnation, StopResult result, TimePoint now);

}  // namespace poplarstream::engine
