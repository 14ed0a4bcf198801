#pragma once

#include <optional>  // for optional

#include "poplarstream/engine/state.hpp"  // for Engine, AttemptRef

namespace poplarstream::engine {

// Handles the response to a poll, or nothing if none came in time.
void handlePollResponse(Engine &engine, const WorkerIncarnation &incarnation,
                        std::int64_t pollNumber, const std::optional<PollResponse> &response,
                        TimePoint now);

// Called when a poll is rejected because another incarnation than the target is at its address.
void handleMisdirectedPoll(Engine &engine, const PollCommand &poll, TimePoint now);

void handleStartResult(Engine &engine, const AttemptRef &attempt,
                       const WorkerIncarnation &incarnation, StartResult result,
                       std::int64_t clockMs, TimePoint now);

void handleStopResult(Engine &engine, const StopCommand &stop, StopResult result, TimePoint now);

// Discards the commands that may not be sent. Each counts as one without a response, so that its
// outcome is settled later.
void dropCommands(Engine &engine, TimePoint now);

}  // namespace poplarstream::engine
