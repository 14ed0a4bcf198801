#pragma once

#include <optional>  // for optional

#include "poplarstream/engine/state.hpp"  // for Engine, WorkerEntry

namespace poplarstream::engine {

// The registry lists a worker, or lists it with other values.
void listWorker(Engine &engine, const WorkerEntry &entry, TimePoint now);

// The registry does not list the worker any more.
void unlistWorker(Engine &engine, const WorkerId &id);

// Another life of the machine or of the id was seen: nothing of this life runs on.
void endWorkerLife(Engine &engine, const WorkerLife &life, TimePoint now);

// The answer to a look, or nothing when none came in time.
void takeLookAnswer(Engine &engine, const WorkerLife &life, std::int64_t lookNumber,
                    const std::optional<LookAnswer> &answer, TimePoint now);

// The worker answered that it is another life than the one that was meant.
void takeOtherLife(Engine &engine, const WorkerLife &life, TimePoint now);

void takeStartResult(Engine &engine, const AttemptRef &attempt, const WorkerLife &life,
                     StartResult result, std::int64_t clockMs, TimePoint now);

void takeStopResult(Engine &engine, const AttemptRef &attempt, const WorkerLife &life,
                    StopResult result, TimePoint now);

}  // namespace poplarstream::engine
