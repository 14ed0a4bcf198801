#include "poplarstream/edge/command_sender.hpp"

#include <fmt/format.h>  // for to_string

#include "poplarstream/engine/attempts.hpp"  // for findJob
#include "poplarstream/engine/filler_pace.hpp"  // for handlePaceResult
#include "poplarstream/engine/worker_events.hpp"  // for handlePollResponse, handleStartResult
#include "poplarstream/engine/worker_polling.hpp"  // for maxPollWait
#include "poplarstream/telemetry/event_kinds.hpp"  // for taskEnded, taskNotStarted

namespace poplarstream::edge {

namespace {

WorkerCallEnd endOf(Milliseconds wait, const WorkerPort::PollOutcome &outcome)
{
    if (!outcome.response) {
        return WorkerCallEnd::Unanswered;
    }
    if (!outcome.response->completed.empty()) {
        return WorkerCallEnd::Ends;
    }
    if (wait == Milliseconds{0}) {
        return WorkerCallEnd::Prompt;
    }
    return wait < engine::maxPollWait ? WorkerCallEnd::Progress : WorkerCallEnd::Idle;
}

}  // namespace

struct CommandSender::State
{
    explicit State(Runtime &sharedRuntime)
        : runtime(sharedRuntime)
    {}

    void recordStartDuration(engine::Engine &engine, const engine::JobId &id,
                             engine::StartResult result, TimePoint sentAt) const
    {
        const TimePoint now = steadyNow();
        const bool isStarted = result == engine::StartResult::Started;
        const bool isUnknown = result == engine::StartResult::Unknown
                               || result == engine::StartResult::ConnectionLost;
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

void CommandSender::send(engine::Engine &engine, const engine::Command &command,
                         std::function<void()> handled)
{
    const TimePoint sentAt = steadyNow();
    const auto guarded = [state = state_, handled = std::move(handled)](auto handle) {
        return [state, handled, handle](const auto &outcome) {
            if (!state->isClosed) {
                const LoadMeter::Section section(state->runtime.load, OwnerWork::Responses);
                handle(outcome);
                handled();
            }
        };
    };
    const WorkerPort &workers = state_->runtime.workers;
    if (const auto *const poll = std::get_if<engine::PollCommand>(&command)) {
        workers.poll(*poll, guarded([&engine, sent = *poll,
                                     state = state_](const WorkerPort::PollOutcome &outcome) {
            state->runtime.load.count(endOf(sent.wait, outcome));
            if (outcome.isOtherIncarnation) {
                engine::handleMisdirectedPoll(engine, sent, steadyNow());
            } else {
                engine::handlePollResponse(engine, sent.target.worker, sent.number,
                                           outcome.response, steadyNow());
            }
        }));
    } else if (const auto *const start = std::get_if<engine::StartCommand>(&command)) {
        const engine::AttemptRef ref{start->task, start->run};
        workers.start(*start, guarded([&engine, ref, sentAt, state = state_,
                                       incarnation = start->target.worker](
                                              const WorkerPort::StartOutcome &outcome) {
            state->runtime.load.count(WorkerCallEnd::Start);
            state->recordStartDuration(engine, ref.task.job, outcome.result, sentAt);
            engine::handleStartResult(engine, ref, incarnation, outcome.result, outcome.clockMs,
                                      steadyNow());
        }));
    } else if (const auto *const stop = std::get_if<engine::StopCommand>(&command)) {
        workers.stop(*stop,
                     guarded([&engine, sent = *stop, state = state_](engine::StopResult result) {
                         state->runtime.load.count(WorkerCallEnd::Stop);
                         engine::handleStopResult(engine, sent, result, steadyNow());
                     }));
    } else if (const auto *const pace = std::get_if<engine::PaceCommand>(&command)) {
        workers.pace(*pace, guarded([&engine, sent = *pace](engine::StopResult result) {
            engine::handlePaceResult(engine, sent, result, steadyNow());
        }));
    }
}

}  // namespace poplarstream::edge
