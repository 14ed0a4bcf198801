#pragma once

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

// Called when a worker has restarted under its id. Commands name the id only, so the next
// incarnation may have carried out starts that were sent to the last one; their tasks wait for its
// first poll.
void restartWorker(Engine &engine, const WorkerIncarnation &from, const WorkerIncarnation &to,
                   EndEvidence evidence, TimePoint now);

}  // namespace poplarstream::engine
