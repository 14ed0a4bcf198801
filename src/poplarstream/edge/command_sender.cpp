#include "poplarstream/edge/command_sender.hpp"

#include <fmt/format.h>  // for to_string

#include "poplarstream/engine/attempts.hpp"  // for findJob
#include "poplarstream/engine/worker_events.hpp"  // for handlePollResponse, handleStartResult
#include "poplarstream/telemetry/event_kinds.hpp"  // for taskEnded, taskNotStarted

namespace poplarstream::edge {

struct CommandSender::State
{
    explicit State(Runtime &owner)
        : runtime(owner)
    {}

    void recordStart(engine::Engine &engine, const engine::JobId &id, engine::StartResult result,
                     TimePoint sentAt) const
    {
        const TimePoint now = steadyNow();
        const bool isStarted = result == engine::StartResult::Started;
        const bool isUnknown = result == engine::StartResult::Unknown;
        const char *const outcome = isStarted ? "started" : isUnknown ? "not-known" : "refused";
        runtime.durations.record("start-order", outcome, now - sentAt);
        const jobs::Job *const job = engine::findJob(engine, id);
        if (isStarted && job != nullptr && !job->hasBegun) {
            runtime.durations.record("job-until-first-start", "started", now - job->acceptedAt);
        }
    }

    Runtime &runtime;
    bool isClosed = false;
};

CommandSender::CommandSender(Runtime &runtime)
    : state_(std::make_shared<State>(runtime))
{}

CommandSender::~CommandSender()
{
    state_->isClosed = true;
}

void CommandSender::send(engine::Engine &engine, const engine::Command &order,
                         std::function<void()> answered)
{
    const TimePoint sentAt = steadyNow();
    const auto guarded = [state = state_, answered = std::move(answered)](auto take) {
        return [state, answered, take](const auto &outcome) {
            if (!state->isClosed) {
                take(outcome);
                answered();
            }
        };
    };
    const WorkerPort &workers = state_->runtime.workers;
    if (const auto *const poll = std::get_if<engine::PollCommand>(&order)) {
        workers.poll(*poll, guarded([&engine, life = poll->target.worker, number = poll->number](
                                            const WorkerPort::PollOutcome &outcome) {
            if (outcome.isOtherIncarnation) {
                engine::handleOtherIncarnation(engine, life, steadyNow());
            } else {
                engine::handlePollResponse(engine, life, number, outcome.answer, steadyNow());
            }
        }));
    } else if (const auto *const start = std::get_if<engine::StartCommand>(&order)) {
        const engine::AttemptRef ref{start->task, start->run};
        workers.start(*start,
                      guarded([&engine, ref, sentAt, state = state_, life = start->target.worker](
                                      const WorkerPort::StartOutcome &outcome) {
                          state->recordStart(engine, ref.task.job, outcome.result, sentAt);
                          engine::handleStartResult(engine, ref, life, outcome.result,
                                                    outcome.clockMs, steadyNow());
                      }));
    } else if (const auto *const stop = std::get_if<engine::StopCommand>(&order)) {
        const engine::AttemptRef ref{stop->task, stop->run};
        workers.stop(*stop,
                     guarded([&engine, ref, life = stop->target.worker](engine::StopResult result) {
                         engine::handleStopResult(engine, ref, life, result, steadyNow());
                     }));
    } else if (const auto *const pace = std::get_if<engine::PaceCommand>(&order)) {
        workers.pace(*pace, guarded([](bool) {}));
    }
}

}  // namespace poplarstream::edge
