#pragma once

#include <optional>  // for optional

#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// Whether the deployment has paces, and they take effect well within the time that a target may be
// missed because of filling tasks.
bool arePacesInTime(const EngineLimits &limits);

// The highest tail latency of the tasks on a worker that serve, as a part of their target, from its
// last report. 0 if no such task has started up, empty if none has a figure.
std::optional<double> highestLoad(Engine &engine, const Worker &worker);

// Sends a worker that has just reported the paces at which its filling tasks are to work. Nothing
// if the deployment has no paces.
void paceFillers(Engine &engine, Worker &worker, TimePoint now);

// A pace without a confirmation is not known, and is set again.
void handlePaceResult(Engine &engine, const PaceCommand &pace, StopResult result, TimePoint now);

}  // namespace poplarstream::engine
