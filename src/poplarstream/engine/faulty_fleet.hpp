#pragma once

#include <algorithm>  // for max
#include <functional>  // for function
#include <map>  // for map
#include <string>  // for string
#include <utility>  // for move
#include <vector>  // for vector

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/engine/worker_health.hpp"  // for rescheduleStragglers
#include "poplarstream/jobs/queries.hpp"  // for isFinal, isStepReady, isWaiting

namespace poplarstream::engine::test {

// What becomes of a start.
enum class Fate { Done, Failed, Refused };

// A quarantine of a worker.
struct Quarantine
{
    TimePoint at{};
    int failures = 0;  // of runs on that worker that were known then
};

// Workers that run each task for `runTime` and end it as `fate` says. A failing task ends after
// `failTime()`; a lasting one that does not fail becomes ready after `runTime` and runs on.
class FaultyFleet
{
public:
    using FateRule = std::function<Fate(const StartCommand &command, TimePoint now)>;

    Milliseconds runTime{500};
    std::function<Milliseconds()> failTime = [] { return Milliseconds{50}; };
    FateRule fate = [](const StartCommand &, TimePoint) { return Fate::Done; };
    EngineFixture fixture;
    std::size_t starts = 0;
    // The longest time for which a task of a step that was ready had no run and no worker was asked
    // to start one.
    Milliseconds longestWait{0};
    std::multimap<std::string, Quarantine> quarantines;  // by worker, in their order

    explicit FaultyFleet(int workers)
        : fixture(workers)
    {}

    void submit(const std::string &id, const jobs::StepSpec &step, const std::string &queue,
                int maxAttempts = 10)
    {
        jobs::Submission submitted = submission(id, step);
        submitted.policy.queue = QueueId(queue);
        submitted.policy.maxAttempts = maxAttempts;
        fixture.submit(submitted);
    }

    // Calls `arrivals` before each step.
    void runFor(
            Milliseconds time, const std::function<void()> &arrivals = [] {})
    {
        for (const TimePoint end = fixture.now + time; fixture.now < end;) {
            fixture.now += stepLength;
            arrivals();
            endRuns();
            rescheduleStragglers(fixture.engine, fixture.now);
            startRuns();
            measureWaits();
            noteQuarantines();
        }
    }

private:
    struct Run
    {
        StartCommand command;
        TimePoint startedAt{};
        bool fails = false;
        bool lasts = false;
        Milliseconds failTime{0};
    };

    static constexpr Milliseconds stepLength{20};

    void startRuns()
    {
        for (StartCommand &command : fixture.start()) {
            ++starts;
            waiting_.erase(command.task);
            const Fate what = fate(command, fixture.now);
            fixture.answerStart(command, what == Fate::Refused ? StartResult::Unhealthy
                                                               : StartResult::Started);
            if (what != Fate::Refused) {
                const bool lasts =
                        stepOf(fixture.engine.jobs.at(command.task.job), command.task).longRunning;
                runs_[command.target.worker].push_back(
                        {std::move(command), fixture.now, what == Fate::Failed, lasts, failTime()});
            }
        }
        for (const StopCommand &stop : fixture.take<StopCommand>()) {
            stopped_.push_back({stop.task, stop.run});
        }
    }

    void endRuns()
    {
        for (const PollCommand &poll : fixture.poll()) {
            std::vector<RunningReport> running;
            std::vector<CompletionReport> ended;
            std::vector<Run> left;
            for (Run &run : runs_[poll.target.worker]) {
                const AttemptRef ref{run.command.task, run.command.run};
                const Milliseconds age = fixture.now - run.startedAt;
                const bool isStopped =
                        std::find(stopped_.begin(), stopped_.end(), ref) != stopped_.end();
                if (isStopped || (run.fails && age >= run.failTime)
                    || (!run.fails && !run.lasts && age >= runTime)) {
                    ended.push_back({++numbers_[poll.target.worker], ref.task, ref.run,
                                     isStopped   ? jobs::AttemptResult::Stopped
                                     : run.fails ? jobs::AttemptResult::Failed
                                                 : jobs::AttemptResult::Done,
                                     ""});
                    continue;
                }
                const auto percent = static_cast<int>(std::min<std::int64_t>(
                        age.count() * jobs::readyPercent / runTime.count(), jobs::readyPercent));
                running.push_back({ref.task, ref.run, "", percent, 0});
                left.push_back(std::move(run));
            }
            runs_[poll.target.worker] = std::move(left);
            fixture.answer(poll.target.worker.id.text(), running, ended);
        }
        fixture.store();
    }

    void measureWaits()
    {
        std::map<TaskRef, TimePoint> waiting;
        for (const jobs::Job *const waitingJob : fixture.engine.waiting) {
            const jobs::Job &job = *waitingJob;
            for (const auto &[number, occurrence] : job.occurrences) {
                for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                    const int step = static_cast<int>(i);
                    if (jobs::isFinal(job.state) || !jobs::isStepReady(job, occurrence, step)) {
                        continue;
                    }
                    for (std::size_t index = 0; index < occurrence.steps[i].size(); ++index) {
                        const TaskRef ref{job.submission.id, number, step, static_cast<int>(index)};
                        if (jobs::isWaiting(occurrence.steps[i][index])) {
                            const auto since = waiting_.find(ref);
                            waiting[ref] = since == waiting_.end() ? fixture.now : since->second;
                            longestWait = std::max(longestWait, fixture.now - waiting[ref]);
                        }
                    }
                }
            }
        }
        waiting_ = std::move(waiting);
    }

    void noteQuarantines()
    {
        for (const Decision &decision : fixture.engine.decisions) {
            int &failures = failures_[decision.worker.text()];
            if (decision.kind == DecisionKind::WorkerQuarantined) {
                // The end of the last of them is recorded after it.
                quarantines.emplace(decision.worker.text(), Quarantine{fixture.now, failures + 1});
            }
            failures += decision.kind == DecisionKind::TaskEnded
                                        && decision.inputs.starts_with("end=failed")
                                ? 1
                                : 0;
        }
        fixture.engine.decisions.clear();
    }

    std::map<WorkerIncarnation, std::vector<Run>> runs_;
    std::map<WorkerIncarnation, std::int64_t> numbers_;
    std::map<std::string, int> failures_;
    std::vector<AttemptRef> stopped_;
    std::map<TaskRef, TimePoint> waiting_;
};

}  // namespace poplarstream::engine::test
