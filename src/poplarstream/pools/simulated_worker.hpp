#pragma once

#include <algorithm>  // for count_if, max, min
#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <utility>  // for move, pair
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/engine/state.hpp"  // for AttemptRef, WorkerIncarnation, PollCommand

namespace poplarstream::engine::test {

// The end of a run, with what decides whether it counts.
struct RunEnd
{
    CompletionReport report;
    bool isLapsed = false;  // the worker's lease lapsed before the end was acknowledged
    bool isAcknowledged = false;
    bool isFollowed = false;  // a later run has started
};

// What the workers saw of each task, and the rules that this breaks.
class RunRules
{
public:
    explicit RunRules(int maxAttempts)
        : maxAttempts_(maxAttempts)
    {}

    void note(const TaskRef &task, TimePoint now, const std::string &text)
    {
        tasks_[task].trace.push_back(
                fmt::format("{:>7} {}", now.time_since_epoch().count() % 10'000'000, text));
    }

    void noteAll(TimePoint now, const std::string &text)
    {
        for (const auto &[task, history] : tasks_) {
            note(task, now, text);
        }
    }

    void started(const AttemptRef &ref, const std::string &worker, TimePoint now)
    {
        History &history = tasks_[ref.task];
        note(ref.task, now, fmt::format("run {} started on {}", ref.run, worker));
        history.startsAfterThirdCrash += history.crashes >= 3 ? 1 : 0;
        if (!history.running.empty()) {
            violate(ref.task, "two runs at the same time");
        }
        history.running.insert({ref.run, worker});
        std::vector<std::shared_ptr<RunEnd>> failed;
        for (const auto &end : history.ends) {
            if (end->report.result == jobs::AttemptResult::Done && !end->isLapsed) {
                end->isFollowed = true;
                checkFollowed(*end);
            } else if (end->report.result == jobs::AttemptResult::Failed) {
                failed.push_back(end);
            }
        }
        history.failedBeforeStart = std::move(failed);
    }

    std::shared_ptr<RunEnd> ended(CompletionReport report, const std::string &worker, TimePoint now)
    {
        History &history = tasks_[report.task];
        note(report.task, now,
             fmt::format("run {} ended on {}, result {}", report.run, worker,
                         static_cast<int>(report.result)));
        history.running.erase({report.run, worker});
        history.ends.push_back(std::make_shared<RunEnd>(RunEnd{std::move(report)}));
        return history.ends.back();
    }

    void crashed(const AttemptRef &ref, const std::string &worker, bool isPlanned, TimePoint now)
    {
        History &history = tasks_[ref.task];
        note(ref.task, now, fmt::format("run {} died with {}", ref.run, worker));
        history.running.erase({ref.run, worker});
        history.crashes += isPlanned ? 0 : 1;
    }

    // Whether a job may be shown as failed because of this task: two workers have crashed under it,
    // or it has used up its attempts.
    bool mayBeGivenUp(const TaskRef &task) const
    {
        const auto found = tasks_.find(task);
        if (found == tasks_.end()) {
            return false;
        }
        const auto &ends = found->second.ends;
        const auto failures = std::count_if(ends.begin(), ends.end(), [](const auto &end) {
            return end->report.result == jobs::AttemptResult::Failed;
        });
        return found->second.crashes >= 2 || failures >= maxAttempts_;
    }

    // The starts of a task after a third worker has crashed under it.
    int startsAfterThirdCrash(const TaskRef &task) const
    {
        const auto found = tasks_.find(task);
        return found == tasks_.end() ? 0 : found->second.startsAfterThirdCrash;
    }

    std::string traceOf(const TaskRef &task) const
    {
        std::string text;
        if (const auto found = tasks_.find(task); found != tasks_.end()) {
            for (const std::string &line : found->second.trace) {
                text += line + "\n";
            }
        }
        return text;
    }

    void acknowledged(RunEnd &end, TimePoint now)
    {
        note(end.report.task, now, fmt::format("end of run {} acknowledged", end.report.run));
        end.isAcknowledged = !end.isLapsed;
        checkFollowed(end);
        const auto &failed = tasks_[end.report.task].failedBeforeStart;
        if (std::count_if(failed.begin(), failed.end(),
                          [](const auto &each) { return each->isAcknowledged; })
            >= maxAttempts_) {
            violate(end.report.task, "started after the last attempt had failed");
        }
    }

    void violate(const TaskRef &task, const std::string &rule)
    {
        if (violation.empty()) {
            violation = fmt::format("{}: job {} task {}\n", rule, task.job.text(), task.index)
                        + traceOf(task);
        }
    }

    std::string violation;  // the first one, with the trace of its task

private:
    struct History
    {
        std::set<std::pair<int, std::string>> running;
        std::vector<std::shared_ptr<RunEnd>> ends;
        std::vector<std::shared_ptr<RunEnd>> failedBeforeStart;
        std::vector<std::string> trace;
        int crashes = 0;  // of workers, without planned ends
        int startsAfterThirdCrash = 0;
    };

    void checkFollowed(const RunEnd &end)
    {
        if (end.report.result == jobs::AttemptResult::Done && end.isFollowed
            && end.isAcknowledged) {
            violate(end.report.task, "started after a run had ended as done");
        }
    }

    int maxAttempts_;
    std::map<TaskRef, History> tasks_;
};

// One incarnation of a worker, as the protocol describes it.
class SimulatedWorker
{
public:
    using Respond = std::function<void(const std::optional<PollResponse> &)>;  // none if broken off

    SimulatedWorker(WorkerIncarnation own, double ownClockRate, Milliseconds longestLease,
                    TimePoint now, RunRules &observer)
        : incarnation(std::move(own))
        , name(fmt::format("{}@{}", incarnation.id.text(), incarnation.startedUnixMs))
        , clockRate_(ownClockRate)
        , maxLease_(longestLease)
        , bornAt_(now)
        , rules_(&observer)
    {}

    std::int64_t clock(TimePoint now) const
    {
        return 10
               + static_cast<std::int64_t>(static_cast<double>((now - bornAt_).count())
                                           * clockRate_);
    }

    StartResult start(const StartCommand &command, Milliseconds length, jobs::AttemptResult result,
                      const jobs::Resources &need, TimePoint now)
    {
        const AttemptRef ref{command.task, command.run};
        if (!accepts(command.target.fencingToken)) {
            rules_->note(ref.task, now, fmt::format("run {} fenced by {}", ref.run, name));
            return StartResult::Fenced;
        }
        if (command.leaseUntilClockMs <= clock(now)) {
            rules_->note(ref.task, now, fmt::format("run {} too late at {}", ref.run, name));
            return StartResult::Late;
        }
        extend(command.leaseUntilClockMs, now);
        if (running_.contains(ref)) {
            return StartResult::Started;
        }
        if (highest_[ref.task] >= ref.run) {
            rules_->note(ref.task, now, fmt::format("run {} old at {}", ref.run, name));
            return StartResult::Stale;
        }
        rules_->started(ref, name, now);
        running_[ref] = {now, now + length, result, need};
        jobs::Resources used;
        for (const auto &[each, run] : running_) {
            used += run.need;
        }
        if (!used.fits(capacity)) {
            rules_->violate(ref.task, "over the capacity of " + name);
        }
        return StartResult::Started;
    }

    StopResult stop(const StopCommand &command, Milliseconds delay, TimePoint now)
    {
        if (!accepts(command.target.fencingToken)) {
            return StopResult::Fenced;
        }
        const auto found = running_.find({command.task, command.run});
        if (found == running_.end()) {
            highest_[command.task] = std::max(highest_[command.task], command.run);
        } else if (found->second.result != jobs::AttemptResult::Stopped) {
            rules_->note(command.task, now, fmt::format("run {} being stopped", command.run));
            found->second.result = jobs::AttemptResult::Stopped;
            found->second.endsAt = now + delay;
        }
        return StopResult::Accepted;
    }

    StopResult pace(const engine::PaceCommand &command)
    {
        return accepts(command.target.fencingToken) ? StopResult::Accepted : StopResult::Fenced;
    }

    // Returns false if the token is too low.
    bool poll(const PollCommand &command, TimePoint now, Respond respond)
    {
        if (!accepts(command.target.fencingToken)) {
            return false;
        }
        std::erase_if(ends_, [&](const auto &end) {
            const bool isNoted = end->report.number <= command.acknowledged;
            if (isNoted) {
                rules_->acknowledged(*end, now);
            }
            return isNoted;
        });
        if (command.leaseUntilClockMs) {
            extend(*command.leaseUntilClockMs, now);
        }
        polls_.push_back({now + command.wait, std::move(respond)});
        return true;
    }

    // Ends runs and leases that are due and responds to polls.
    void advance(TimePoint now)
    {
        const bool isLapsed = leaseUntil_ <= clock(now);
        std::vector<AttemptRef> over;
        for (auto &[ref, run] : running_) {
            if (isLapsed && run.endsAt > now) {
                run.result = jobs::AttemptResult::Lapsed;
            }
            if (isLapsed || run.endsAt <= now) {
                over.push_back(ref);
            }
        }
        for (const AttemptRef &ref : over) {
            highest_[ref.task] = std::max(highest_[ref.task], ref.run);
            ends_.push_back(rules_->ended(
                    {++lastEnd_, ref.task, ref.run, running_.at(ref).result, ""}, name, now));
            running_.erase(ref);
        }
        for (const auto &end : ends_) {
            end->isLapsed = end->isLapsed || isLapsed;
        }
        std::vector<Respond> due;
        std::erase_if(polls_, [&](const WaitingPoll &poll) {
            const bool isDue = poll.respondsAt <= now || !ends_.empty();
            if (isDue) {
                due.push_back(poll.respond);
            }
            return isDue;
        });
        for (const Respond &respond : due) {
            respond(lists(now));
        }
    }

    void crash(bool isPlanned, TimePoint now)
    {
        for (const auto &[ref, run] : running_) {
            rules_->crashed(ref, name, isPlanned, now);
        }
        running_.clear();
        for (const WaitingPoll &poll : std::exchange(polls_, {})) {
            poll.respond({});
        }
    }

    WorkerIncarnation incarnation;
    std::string name;
    jobs::Resources capacity{4000, 10'000, 0};
    std::size_t endsPerPoll = 500;

private:
    struct Run
    {
        TimePoint startedAt{};
        TimePoint endsAt{};
        jobs::AttemptResult result = jobs::AttemptResult::Done;
        jobs::Resources need;
    };
    struct WaitingPoll
    {
        TimePoint respondsAt{};
        Respond respond;
    };

    bool accepts(std::int64_t token)
    {
        const bool isAccepted = token >= token_;
        token_ = std::max(token_, token);
        return isAccepted;
    }

    void extend(std::int64_t until, TimePoint now)
    {
        leaseUntil_ = std::max(leaseUntil_, std::min(until, clock(now) + maxLease_.count()));
    }

    PollResponse lists(TimePoint now) const
    {
        PollResponse response;
        response.startedUnixMs = incarnation.startedUnixMs;
        response.clockMs = clock(now);
        for (const auto &[ref, run] : running_) {
            const auto length = std::max<std::int64_t>((run.endsAt - run.startedAt).count(), 1);
            const auto percent = (now - run.startedAt).count() * 100 / length;
            response.running.push_back({ref.task, ref.run, "", static_cast<int>(percent), 0});
        }
        for (std::size_t i = 0; i < std::min(ends_.size(), endsPerPoll); ++i) {
            response.completed.push_back(ends_[i]->report);
        }
        response.isPartial = response.completed.size() >= endsPerPoll;
        return response;
    }

    double clockRate_;
    Milliseconds maxLease_;
    TimePoint bornAt_;
    RunRules *rules_;
    std::int64_t token_ = 0;
    std::int64_t leaseUntil_ = 0;  // on the worker's clock
    std::int64_t lastEnd_ = 0;
    std::map<AttemptRef, Run> running_;
    std::map<TaskRef, int> highest_;  // run that was stopped or ended here
    std::vector<std::shared_ptr<RunEnd>> ends_;
    std::vector<WaitingPoll> polls_;
};

}  // namespace poplarstream::engine::test
