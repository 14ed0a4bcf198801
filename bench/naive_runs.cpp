#include "naive_runs.hpp"

#include <array>  // for array
#include <deque>  // for deque

namespace poplarstream::bench {

using fakes::FakeCall;
using fakes::FakeTask;
using fakes::FakeWorker;

namespace {

constexpr std::uint32_t naiveAttempts = 3;

struct Waiting
{
    std::size_t call = 0;
    std::uint32_t attempts = 0;
};

StartTask startOf(const FakeCall &call, std::size_t index, std::uint64_t attempt,
                  const HostId &worker)
{
    StartTask start;
    start.task = {RunId("n-" + std::to_string(index)), {attempt, 0}, worker};
    start.service = call.accepted.service;
    start.payload = call.accepted.payload;
    start.lease = Milliseconds{1'000'000'000};
    return start;
}

class DirectDispatcher
{
public:
    DirectDispatcher(std::vector<FakeWorker> workers, const std::vector<FakeCall> &calls,
                     Random &random, bool isClairvoyant)
        : workers_(std::move(workers))
        , calls_(calls)
        , random_(random)
        , isClairvoyant_(isClairvoyant)
        , reserved_(workers_.size())
        , placed_(workers_.size())
    {
        for (std::size_t i = 0; i < calls.size(); ++i) {
            queue_.push_back({i, 0});
        }
    }

    NaiveOutcome run(Milliseconds duration, Milliseconds step)
    {
        TimePoint now = timePoint(1'000'000);
        for (const TimePoint end = now + duration; now < end; now += step) {
            place(now);
            for (std::size_t i = 0; i < workers_.size(); ++i) {
                workers_[i].step(now, step);
                collect(i);
            }
        }
        for (const FakeWorker &worker : workers_) {
            outcome_.attempts += worker.startedTasks;
            outcome_.wasted += worker.wastedTasks;
            outcome_.overfullSteps += worker.overfullSteps;
        }
        return std::move(outcome_);
    }

private:
    const Resources &sizeOf(const FakeCall &call) const
    {
        return isClairvoyant_ ? call.actual.peak : call.accepted.declared;
    }

    bool hasRoom(std::size_t worker, const Resources &size) const
    {
        const Resources &used = reserved_[worker];
        return fitsInto({used.cpus + size.cpus, used.memoryMegabytes + size.memoryMegabytes,
                         used.accelerators + size.accelerators},
                        workers_[worker].capacity);
    }

    std::optional<std::size_t> choose(const Resources &size)
    {
        const std::size_t first = isClairvoyant_ ? 0 : random_.below(workers_.size());
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            const std::size_t worker = (first + i) % workers_.size();
            if (hasRoom(worker, size)) {
                return worker;
            }
        }
        return std::nullopt;
    }

    void place(TimePoint now)
    {
        // The naive dispatcher waits for its first call; the clairvoyant one tries all.
        std::size_t misses = 0;
        const std::size_t allowed = isClairvoyant_ ? queue_.size() : 1;
        for (auto next = queue_.begin(); next != queue_.end() && misses < allowed;) {
            const FakeCall &call = calls_[next->call];
            const auto worker = choose(sizeOf(call));
            if (!worker) {
                ++misses;
                ++next;
                continue;
            }
            start(*worker, *next, now);
            next = queue_.erase(next);
        }
    }

    void start(std::size_t worker, Waiting waiting, TimePoint now)
    {
        const FakeCall &call = calls_[waiting.call];
        const StartTask command = startOf(call, waiting.call, ++tokens_, workers_[worker].host);
        workers_[worker].start(command, call.actual, now, outcome_.history);
        const Resources &size = sizeOf(call);
        reserved_[worker].cpus += size.cpus;
        reserved_[worker].memoryMegabytes += size.memoryMegabytes;
        reserved_[worker].accelerators += size.accelerators;
        placed_[worker][command.task.token] = waiting;
    }

    void collect(std::size_t worker)
    {
        std::erase_if(placed_[worker], [&](const auto &entry) {
            const FakeTask &task = workers_[worker].tasks.at(entry.first);
            if (task.state == TaskState::Running) {
                return false;
            }
            Waiting waiting = entry.second;
            const Resources &size = sizeOf(calls_[waiting.call]);
            reserved_[worker].cpus -= size.cpus;
            reserved_[worker].memoryMegabytes -= size.memoryMegabytes;
            reserved_[worker].accelerators -= size.accelerators;
            if (task.state == TaskState::Succeeded) {
                ++outcome_.finished;
            } else if (++waiting.attempts < naiveAttempts) {
                queue_.push_front(waiting);
            }
            return true;
        });
    }

    std::vector<FakeWorker> workers_;
    const std::vector<FakeCall> &calls_;
    Random &random_;
    bool isClairvoyant_;
    std::vector<Resources> reserved_;
    std::vector<std::map<FencingToken, Waiting>> placed_;
    std::deque<Waiting> queue_;
    std::uint64_t tokens_ = 0;
    NaiveOutcome outcome_;
};

// Each call belongs to one dispatcher, which forgets it when it is replaced.
class FaultyDispatchers
{
public:
    FaultyDispatchers(std::vector<FakeWorker> workers, const std::vector<FakeCall> &calls,
                      const NaiveFaults &faults, Random &random)
        : workers_(std::move(workers))
        , calls_(calls)
        , faults_(faults)
        , random_(random)
        , isOver_(calls.size())
    {}

    NaiveOutcome run(Milliseconds spread, Milliseconds duration)
    {
        const auto range = static_cast<std::uint64_t>(spread.count()) + 1;
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            const auto at = Milliseconds{static_cast<std::int64_t>(random_.below(range))};
            timeline_.after(at, [this, i] { accept(i); });
        }
        if (faults_.cancelAt) {
            timeline_.after(*faults_.cancelAt, [this] { cancelOdd(); });
        }
        if (faults_.restartEach) {
            timeline_.after(*faults_.restartEach, [this] { restartNext(); });
        }
        step();
        timeline_.runUntil(timeline_.now() + duration);
        for (const FakeWorker &worker : workers_) {
            outcome_.attempts += worker.startedTasks;
        }
        return std::move(outcome_);
    }

private:
    static constexpr std::size_t dispatchers = 8;
    static constexpr Milliseconds patience{5'000};

    bool chance(double probability) { return probability > 0 && random_.unit() < probability; }
    RunId runOf(std::size_t call) const { return RunId("n-" + std::to_string(call)); }

    void carry(std::function<void()> action)
    {
        if (!chance(faults_.rates.loseMessage)) {
            timeline_.after(Milliseconds{static_cast<std::int64_t>(
                                    random_.below(faults_.rates.longestDelay + 1))},
                            std::move(action));
        }
    }

    void accept(std::size_t call)
    {
        outcome_.history.push_back(
                {timeline_.now(),
                 history::RunAcceptedResponse{runOf(call), calls_[call].accepted.idempotent}});
        const std::size_t dispatcher = random_.below(dispatchers);
        attempt(call, dispatcher, generation_[dispatcher], 0);
    }

    void end(std::size_t call, Verdict verdict, bool isCancelled)
    {
        if (!isOver_[call]) {
            isOver_[call] = true;
            outcome_.finished += verdict == Verdict::Ran ? 1 : 0;
            outcome_.history.push_back(
                    {timeline_.now(),
                     history::RunCompletionResponse{runOf(call), verdict, isCancelled}});
        }
    }

    void attempt(std::size_t call, std::size_t dispatcher, std::uint32_t generation,
                 std::uint32_t attempts)
    {
        if (isOver_[call] || generation_[dispatcher] != generation) {
            return;
        }
        if (chance(faults_.rates.pauseOwner * 20)) {
            // Another dispatcher takes the call of a paused one, which goes on when it wakes up.
            const auto length = Milliseconds{
                    static_cast<std::int64_t>(random_.below(faults_.rates.longestPause))};
            const std::size_t other = (dispatcher + 1) % dispatchers;
            timeline_.after(length, [=, this] { send(call, dispatcher, generation, attempts); });
            timeline_.after(patience,
                            [=, this] { send(call, other, generation_[other], attempts); });
            return;
        }
        send(call, dispatcher, generation, attempts);
    }

    void send(std::size_t call, std::size_t dispatcher, std::uint32_t generation,
              std::uint32_t attempts)
    {
        const std::size_t worker = random_.below(workers_.size());
        const StartTask start = startOf(calls_[call], call, ++tokens_, workers_[worker].host);
        carry([=, this] {
            workers_[worker].start(start, calls_[call].actual, timeline_.now(), outcome_.history);
        });
        ask(call, dispatcher, generation, attempts, worker, start.task.token);
    }

    // Asks after the declared time whether the call is done; no answer counts as failure.
    void ask(std::size_t call, std::size_t dispatcher, std::uint32_t generation,
             std::uint32_t attempts, std::size_t worker, FencingToken token)
    {
        timeline_.after(calls_[call].accepted.declaredDuration + patience, [=, this] {
            if (isOver_[call] || generation_[dispatcher] != generation) {
                return;
            }
            const auto task = workers_[worker].tasks.find(token);
            const bool isAnswered =
                    task != workers_[worker].tasks.end() && !chance(faults_.rates.loseMessage);
            if (isAnswered && task->second.state == TaskState::Running) {
                ask(call, dispatcher, generation, attempts, worker, token);
            } else if (isAnswered && task->second.state == TaskState::Succeeded) {
                end(call, Verdict::Ran, false);
            } else if (attempts + 1 < naiveAttempts) {
                attempt(call, dispatcher, generation, attempts + 1);
            } else {
                end(call, Verdict::MayHaveRun, false);
            }
        });
    }

    void cancelOdd()
    {
        for (std::size_t i = 1; i < calls_.size(); i += 2) {
            end(i, Verdict::NotRun, true);
        }
    }

    void restartNext()
    {
        ++generation_[next_++ % dispatchers];
        timeline_.after(*faults_.restartEach, [this] { restartNext(); });
    }

    void step()
    {
        constexpr Milliseconds span{200};
        for (FakeWorker &worker : workers_) {
            worker.step(timeline_.now(), span);
        }
        timeline_.after(span, [this] { step(); });
    }

    fakes::Timeline timeline_;
    std::vector<FakeWorker> workers_;
    const std::vector<FakeCall> &calls_;
    NaiveFaults faults_;
    Random &random_;
    std::vector<bool> isOver_;
    std::array<std::uint32_t, dispatchers> generation_{};
    std::size_t next_ = 0;
    std::uint64_t tokens_ = 0;
    NaiveOutcome outcome_;
};

}  // namespace

NaiveOutcome dispatchDirectly(std::vector<FakeWorker> workers, const std::vector<FakeCall> &calls,
                              Milliseconds duration, Milliseconds step, Random &random,
                              bool isClairvoyant)
{
    return DirectDispatcher(std::move(workers), calls, random, isClairvoyant).run(duration, step);
}

NaiveOutcome dispatchWithFaults(std::vector<FakeWorker> workers, const std::vector<FakeCall> &calls,
                                Milliseconds spread, Milliseconds duration,
                                const NaiveFaults &faults, Random &random)
{
    return FaultyDispatchers(std::move(workers), calls, faults, random).run(spread, duration);
}

}  // namespace poplarstream::bench
