#pragma once

#include <optional>  // for optional

#include "poplarstream/engine/state.hpp"  // for Engine, WorkerEntry

namespace poplarstream::engine {

// The registry lists a worker, or lists it with other values.
void registerWorker(Engine &engine, const WorkerEntry &entry, TimePoint now);

// The registry does not list the worker any more.
void deregisterWorker(Engine &engine, const WorkerId &id);

// Another incarnation of the machine or of the id was seen: nothing of this incarnation runs on.
void endIncarnation(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now);

// The answer to a poll, or nothing when none came in time.
void handlePollResponse(Engine &engine, const WorkerIncarnation &incarnation,
                        std::int64_t lookNumber, const std::optional<PollResponse> &answer,
                        TimePoint now);

// The worker answered that it is another incarnation than the one that was meant.
void handleOtherIncarnation(Engine &engine, const WorkerIncarnation &incarnation, TimePoint now);

void handleStartResult(Engine &engine, const AttemptRef &attempt,
                       const WorkerIncarnation &incarnation, StartResult result,
                       std::int64_t clockMs, TimePoint now);

void handleStopResult(Engine &engine, const AttemptRef &attempt,
                      const WorkerIncarnation &incarnation, StopResult result, TimePoint now);

}  // namespace poplarstream::engine
