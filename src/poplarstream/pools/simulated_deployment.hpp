#pragma once

#include <algorithm>  // for all_of, max, stable_partition
#include <functional>  // for function
#include <map>  // for map, multimap
#include <memory>  // for shared_ptr, unique_ptr
#include <optional>  // for optional
#include <random>  // for mt19937_64

#include "poplarstream/engine/engine_fixture.hpp"  // for submission, step
#include "poplarstream/engine/filler_pace.hpp"  // for handlePaceResult
#include "poplarstream/engine/worker_health.hpp"  // for rescheduleStragglers
#include "poplarstream/jobs/queries.hpp"  // for isFinal
#include "poplarstream/pools/planning.hpp"  // for applyMachineList
#include "simulated_worker.hpp"  // for SimulatedWorker, RunRules

namespace poplarstream::pools::test {

using engine::AttemptRef;
using engine::test::RunRules;
using engine::test::SimulatedWorker;

// Kinds of faults, as bits of a mask. A seed takes a few of them.
enum Fault : unsigned {
    LostAnswers = 1U << 0,
    LateCommands = 1U << 1,  // carried out seconds later, after newer ones
    UnsentCommands = 1U << 2,
    SlowResponses = 1U << 3,
    OwnerStalls = 1U << 4,
    Cuts = 1U << 5,
    Crashes = 1U << 6,
    SameId = 1U << 7,  // workers come back under their id
    SlowStore = 1U << 8,
    Handovers = 1U << 9,
    VanishingEntries = 1U << 10,
    ChangingCapacity = 1U << 11,
    OldLists = 1U << 12,
    IncompleteLists = 1U << 13,
    PreviousWorkers = 1U << 14,  // lists show the previous worker of a machine for a while
    IdleMinute = 1U << 15,
    LongLeases = 1U << 16,  // workers allow more than the owner asks for
    Maintenance = 1U << 17,  // waves that the owner carries out
    WrongAddresses = 1U << 18,  // entries that lead to another worker
};
inline constexpr unsigned faultKinds = 19;
inline constexpr unsigned allFaults = (1U << faultKinds) - 1;

// Faults for the tests of crashes alone, beyond `allFaults`.
inline constexpr unsigned deadlyTasks = 1U << 19;  // a tenth of the jobs crash their workers
inline constexpr unsigned rackCrashes = 1U << 20;  // all workers of a rack crash at once
inline constexpr int workersOfRack = 2;
inline constexpr int jobsPerDeadlyJob = 10;

inline constexpr Milliseconds stepTime{5};
inline constexpr Milliseconds faultTime{60'000};
inline constexpr Milliseconds settleTime{90'000};
inline constexpr Milliseconds commandTimeout{300};
inline constexpr Milliseconds pollingGrace{8000};
inline constexpr Milliseconds entryLifetime{3000};
inline constexpr Milliseconds maxRecordAge{1500};  // as ownership::StartLimits
inline constexpr int machineCount = 6;
inline constexpr int jobCount = 60;

// What became of the jobs of one simulation, as far as crashes decide it.
struct CrashOutcome
{
    int jobs = 0;
    int innocentFailed = 0;  // innocent, with or without cause
    int failedWithoutCause = 0;
    int deadlyJobs = 0;
    int deadlyUnlimited = 0;  // deadly, with more starts than are allowed
    std::string trace;  // of the first job that failed without cause
    std::string deadlyTrace;  // of the first deadly task with more starts than are allowed
};

struct Slot
{
    std::unique_ptr<SimulatedWorker> worker;  // null while the machine is down
    std::string previousId;
    TimePoint bornAt{};
    TimePoint restartsAt{};
    TimePoint nextHeartbeat{};
    TimePoint cutTo{};  // commands don't arrive before
    TimePoint cutFrom{};  // responses don't arrive before
    int boots = 0;
    bool isInMaintenance = false;
    std::set<std::int64_t> begunWaves;
};

struct RegistryEntry
{
    engine::WorkerEntry entry;
    TimePoint writtenAt{};
};

struct Owner
{
    struct Event
    {
        bool isTimer = false;
        std::function<void()> handle;
    };

    engine::Engine engine;
    Pools pools;
    std::multimap<TimePoint, Event> inbox;
    std::map<std::string, engine::WorkerEntry> registry;  // as read last
    std::size_t jobsRead = 0;
    bool isClosed = false;
    bool isWriting = false;
    bool areTimersFirst = false;
    TimePoint loadedAt{};
    TimePoint stalledUntil{};
    TimePoint confirmedAt{};
    TimePoint nextTick{};
    TimePoint nextPump{};
    TimePoint nextRegistryRead{};
    TimePoint nextList{};
    TimePoint nextMachinePlan{};
    std::size_t wavesRead = 0;
    bool hasList = false;
};
using OwnerPtr = std::shared_ptr<Owner>;

// An owner, or several around a hand-over, with the workers, the registry, the machine lists and
// the store that it sees, all in one thread and on a simulated clock. Loses, delays and reorders
// what passes between them, as drawn from the seed.
class SimulatedDeployment
{
public:
    SimulatedDeployment(std::uint64_t seed, unsigned faults)
        : random_(seed)
        , faults_(faults)
        , maxAttempts_(between(1, 3))
        , failuresPerTenThousand_(between(0, 2000))
        , endsPerPoll_(between(0, 1) != 0 ? 500 : 3)
        , rules_(maxAttempts_)
    {
        slots_.resize(machineCount);
        for (int i = 0; i < machineCount; ++i) {
            boot(i);
        }
        for (int i = 0; i < jobCount; ++i) {
            jobs::StepSpec step = engine::test::step(between(1, 4), between(2, 6) * 250);
            jobs::Submission job = engine::test::submission(fmt::format("{:016x}", i + 1), step);
            job.policy.maxAttempts = maxAttempts_;
            const bool isSecondHalf = i >= jobCount / 2;
            const int phase = has(IdleMinute) && isSecondHalf ? 45'000 : 0;
            const int length = has(IdleMinute) ? 4000 : 50'000;
            submissions_.emplace(now_ + Milliseconds(phase + between(0, length)), std::move(job));
        }
        for (auto &[at, job] : submissions_) {
            submitted_.push_back({at, &job});
        }
        addOwner(Milliseconds{0}, true);
    }

    // Returns the first broken rule with the trace of its task, or nothing.
    std::string run()
    {
        const TimePoint faultsEnd = now_ + faultTime;
        const TimePoint end = faultsEnd + settleTime;
        while (now_ < end && rules_.violation.empty()) {
            isFaulty_ = now_ < faultsEnd;
            step();
            if (!isFaulty_ && areAllJobsFinal()) {
                return rules_.violation;
            }
        }
        checkFinished();
        return rules_.violation;
    }

    // Counts the jobs that were shown as failed without cause, and the deadly ones that were not
    // given up in time.
    CrashOutcome crashOutcome() const
    {
        CrashOutcome outcome;
        if (owners_.empty()) {
            return outcome;
        }
        for (auto &[id, job] : owners_.back()->engine.jobs) {
            bool mayFail = false;
            bool isUnlimited = false;
            for (int i = 0; i < job.submission.spec.steps[0].count; ++i) {
                mayFail = mayFail || rules_.mayBeGivenUp({id, 0, 0, i});
                isUnlimited = isUnlimited || rules_.startsAfterThirdCrash({id, 0, 0, i}) >= 3;
            }
            const bool isFailed = job.state == jobs::JobState::Failed;
            ++outcome.jobs;
            outcome.deadlyJobs += isDeadly(id) ? 1 : 0;
            outcome.innocentFailed += !isDeadly(id) && isFailed ? 1 : 0;
            outcome.deadlyUnlimited += isDeadly(id) && isUnlimited ? 1 : 0;
            if (isDeadly(id) && isUnlimited && outcome.deadlyTrace.empty()) {
                outcome.deadlyTrace =
                        fmt::format("job {}\n", id.text()) + rules_.traceOf({id, 0, 0, 0});
            }
            if (isFailed && !mayFail) {
                ++outcome.failedWithoutCause;
                for (int i = 0; i < job.submission.spec.steps[0].count && outcome.trace.empty();
                     ++i) {
                    if (jobs::findTask(job, {id, 0, 0, i})->crashes > 1) {
                        outcome.trace = fmt::format("job {} task {}\n", id.text(), i)
                                        + rules_.traceOf({id, 0, 0, i});
                    }
                }
            }
        }
        return outcome;
    }

private:
    int between(int least, int most)
    {
        return least + static_cast<int>(random_() % static_cast<unsigned>(most - least + 1));
    }
    bool chance(int perTenThousand) { return between(0, 9999) < perTenThousand; }
    bool has(Fault fault) const { return (faults_ & fault) != 0; }
    bool strikes(Fault fault, int perTenThousand)
    {
        return isFaulty_ && has(fault) && chance(perTenThousand);
    }
    Milliseconds ms(int least, int most) { return Milliseconds(between(least, most)); }
    Milliseconds longestLease() const { return Milliseconds(has(LongLeases) ? 10'000 : 5000); }
    Milliseconds latency() { return strikes(SlowResponses, 1000) ? ms(50, 400) : ms(1, 8); }

    void at(TimePoint when, std::function<void()> handle)
    {
        events_.emplace(when, std::move(handle));
    }

    static void post(const OwnerPtr &owner, TimePoint when, std::function<void()> handle)
    {
        owner->inbox.emplace(when, Owner::Event{false, std::move(handle)});
    }

    // An owner that is behind may handle timers that have expired before responses that wait.
    static void postTimer(const OwnerPtr &owner, TimePoint when, std::function<void()> handle)
    {
        owner->inbox.emplace(when, Owner::Event{true, std::move(handle)});
    }

    void step()
    {
        now_ += stepTime;
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto handle = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            handle();
        }
        for (std::size_t i = 0; i < slots_.size(); ++i) {
            advance(static_cast<int>(i));
        }
        std::erase_if(registry_, [this](const auto &each) {
            return each.second.writtenAt + entryLifetime < now_;
        });
        if (strikes(Maintenance, 20)) {
            Wave wave;
            wave.number = static_cast<std::int64_t>(waves_.size()) + 1;
            wave.machines = {MachineId(fmt::format("m{}", between(0, machineCount - 1)))};
            wave.duration = Milliseconds{4000};
            waves_.push_back(std::move(wave));
        }
        if ((faults_ & rackCrashes) != 0 && isFaulty_ && chance(4)) {
            crashRack(between(0, machineCount / workersOfRack - 1));
        }
        if (strikes(Handovers, 4)) {
            handOver();
        }
        const auto owners = owners_;
        for (const OwnerPtr &owner : owners) {
            serve(owner);
        }
        std::erase_if(owners_, [](const OwnerPtr &owner) { return owner->isClosed; });
    }

    // Workers and the registry

    void boot(int number)
    {
        Slot &slot = slots_[static_cast<std::size_t>(number)];
        ++slot.boots;
        const bool keepsId = has(SameId) && !slot.previousId.empty() && chance(5000);
        const std::string id =
                keepsId ? slot.previousId : fmt::format("w{}-{}", number, slot.boots);
        const double rate = 0.98 + 0.01 * between(0, 4);
        slot.worker = std::make_unique<SimulatedWorker>(
                engine::WorkerIncarnation{engine::WorkerId(id), now_.time_since_epoch().count()},
                rate, longestLease(), now_, rules_);
        slot.worker->endsPerPoll = static_cast<std::size_t>(endsPerPoll_);
        slot.bornAt = now_;
        slot.nextHeartbeat = now_ + ms(0, 300);
    }

    bool isDeadly(const engine::JobId &id) const
    {
        return (faults_ & deadlyTasks) != 0
               && std::stoul(id.text(), nullptr, 16) % jobsPerDeadlyJob == 0;
    }

    void crash(int number, bool isPlanned = false)
    {
        Slot &slot = slots_[static_cast<std::size_t>(number)];
        slot.previousId = slot.worker->incarnation.id.text();
        slot.worker->crash(isPlanned, now_);
        slot.isInMaintenance = isPlanned;
        slot.worker.reset();
        slot.restartsAt = now_ + ms(100, 4000);
    }

    // Crashes all workers of a rack, which stay down for a while.
    void crashRack(int rack)
    {
        const Milliseconds duration = ms(2000, 8000);
        for (int number = rack * workersOfRack; number < (rack + 1) * workersOfRack; ++number) {
            Slot &slot = slots_[static_cast<std::size_t>(number)];
            if (slot.worker) {
                crash(number);
                slot.restartsAt = now_ + duration;
            }
        }
    }

    void advance(int number)
    {
        Slot &slot = slots_[static_cast<std::size_t>(number)];
        if (!slot.worker) {
            if (slot.restartsAt <= now_) {
                boot(number);
            }
            return;
        }
        if (strikes(Crashes, 2)) {
            crash(number);
            return;
        }
        if (strikes(Cuts, 4)) {
            const TimePoint end = now_ + ms(200, 9000);
            const int kind = between(0, 2);
            slot.cutTo = kind != 1 ? end : slot.cutTo;
            slot.cutFrom = kind != 0 ? end : slot.cutFrom;
        }
        slot.worker->advance(now_);
        const std::string id = slot.worker->incarnation.id.text();
        if (slot.nextHeartbeat <= now_) {
            slot.nextHeartbeat = now_ + Milliseconds{1000};
            if (slot.cutFrom <= now_ || chance(5000)) {
                registry_[id] = {entryOf(number), now_};
            }
        }
        if (strikes(VanishingEntries, 4)) {
            registry_.erase(id);
            slot.nextHeartbeat = now_ + ms(100, 4000);
        }
    }

    engine::WorkerEntry entryOf(int number)
    {
        const Slot &slot = slots_[static_cast<std::size_t>(number)];
        engine::WorkerEntry entry;
        entry.incarnation = slot.worker->incarnation;
        entry.service = ServiceId("shop");
        entry.address = std::to_string(strikes(WrongAddresses, 500) ? between(0, machineCount - 1)
                                                                    : number);
        entry.rack = RackId(fmt::format("rack-{}", number / workersOfRack));
        entry.capacity = slot.worker->capacity;
        if (strikes(ChangingCapacity, 3000)) {
            entry.capacity.cpuMilli = between(1, 4) * 1000;
        }
        entry.clockMs = slot.worker->clock(now_);
        return entry;
    }

    // Commands

    // Carries a command out and calls `respond` with its outcome, if it reaches a worker.
    void carryOut(const engine::Command &command,
                  const std::function<void(std::function<void(Owner &)>)> &respond)
    {
        std::visit([&](const auto &each) { carryOutOne(each, respond); }, command);
    }

    SimulatedWorker *workerAt(const engine::CommandTarget &target, bool &isOther)
    {
        SimulatedWorker *const worker = slots_.at(std::stoul(target.address)).worker.get();
        isOther = worker != nullptr && worker->incarnation.id != target.worker.id;
        return isOther ? nullptr : worker;
    }

    void carryOutOne(const engine::PollCommand &poll, const auto &respond)
    {
        bool isOther = false;
        SimulatedWorker *const worker = workerAt(poll.target, isOther);
        const auto incarnation = poll.target.worker;
        if (isOther) {
            respond([this, poll](Owner &owner) {
                handleMisdirectedPoll(owner.engine, poll, now_);
            });
        } else if (worker != nullptr) {
            worker->poll(poll, now_,
                         [this, respond, incarnation, number = poll.number](
                                 const std::optional<engine::PollResponse> &response) {
                             respond([this, incarnation, number, response](Owner &owner) {
                                 handlePollResponse(owner.engine, incarnation, number, response,
                                                    now_);
                             });
                         });
        }
    }

    void carryOutOne(const engine::StartCommand &start, const auto &respond)
    {
        bool isOther = false;
        SimulatedWorker *const worker = workerAt(start.target, isOther);
        engine::StartResult result = engine::StartResult::Refused;
        std::int64_t clock = 0;
        if (worker != nullptr) {
            const Milliseconds length = chance(500) ? ms(3000, 9000) : ms(50, 1500);
            const auto end = chance(failuresPerTenThousand_) ? jobs::AttemptResult::Failed
                                                             : jobs::AttemptResult::Done;
            result = worker->start(start, length, end, needOf(start.task.job), now_);
            clock = worker->clock(now_);
            if (result == engine::StartResult::Started && start.task.index == 0
                && isDeadly(start.task.job)) {
                killSoon(static_cast<int>(std::stoul(start.target.address)));
            }
        }
        if (worker != nullptr || isOther) {
            respond([this, start, result, clock](Owner &owner) {
                handleStartResult(owner.engine, {start.task, start.run}, start.target.worker,
                                  result, clock, now_);
            });
        }
    }

    // Crashes a worker under a task that takes workers down.
    void killSoon(int number)
    {
        at(now_ + ms(4, 10), [this, number, boots = slots_.at(number).boots] {
            if (slots_.at(number).boots == boots && slots_.at(number).worker) {
                crash(number);
            }
        });
    }

    void carryOutOne(const engine::StopCommand &stop, const auto &respond)
    {
        bool isOther = false;
        SimulatedWorker *const worker = workerAt(stop.target, isOther);
        if (worker == nullptr && !isOther) {
            return;
        }
        const auto result = isOther ? engine::StopResult::OtherIncarnation
                                    : worker->stop(stop, ms(0, 900), now_);
        respond([this, stop, result](Owner &owner) {
            handleStopResult(owner.engine, stop, result, now_);
        });
    }

    // No simulated task fills, so a pace has no effect beyond its response.
    void carryOutOne(const engine::PaceCommand &pace, const auto &respond)
    {
        bool isOther = false;
        SimulatedWorker *const worker = workerAt(pace.target, isOther);
        if (worker == nullptr && !isOther) {
            return;
        }
        const auto result = isOther ? engine::StopResult::OtherIncarnation : worker->pace(pace);
        respond([this, pace, result](Owner &owner) {
            handlePaceResult(owner.engine, pace, result, now_);
        });
    }

    // What the owner learns of a command without a response.
    std::function<void(Owner &)> noResponse(const engine::Command &command, bool isUnsent)
    {
        return [this, command, isUnsent](Owner &owner) {
            if (const auto *const poll = std::get_if<engine::PollCommand>(&command)) {
                handlePollResponse(owner.engine, poll->target.worker, poll->number, {}, now_);
            } else if (const auto *const start = std::get_if<engine::StartCommand>(&command)) {
                handleStartResult(owner.engine, {start->task, start->run}, start->target.worker,
                                  isUnsent ? engine::StartResult::Refused
                                           : engine::StartResult::Unknown,
                                  0, now_);
            } else if (const auto *const stop = std::get_if<engine::StopCommand>(&command)) {
                handleStopResult(owner.engine, *stop, engine::StopResult::Unknown, now_);
            } else if (const auto *const pace = std::get_if<engine::PaceCommand>(&command)) {
                handlePaceResult(owner.engine, *pace, engine::StopResult::Unknown, now_);
            }
        };
    }

    void send(const OwnerPtr &owner, const engine::Command &command)
    {
        const auto *const poll = std::get_if<engine::PollCommand>(&command);
        const engine::CommandTarget target =
                std::visit([](const auto &each) { return each.target; }, command);
        if (const auto *const start = std::get_if<engine::StartCommand>(&command)) {
            rules_.note(start->task, now_,
                        fmt::format("owner {}: start of run {} sent to {}@{}, token {}",
                                    owner->engine.token.epoch, start->run, target.worker.id.text(),
                                    target.worker.startedUnixMs, target.fencingToken));
        }
        const auto isAnswered = std::make_shared<bool>(false);
        const auto finish = [weak = std::weak_ptr(owner),
                             isAnswered](const std::function<void(Owner &)> &handle) {
            const OwnerPtr receiver = weak.lock();
            if (receiver && !receiver->isClosed && !std::exchange(*isAnswered, true)) {
                handle(*receiver);
            }
        };
        const Milliseconds timeout = commandTimeout + (poll ? poll->wait : Milliseconds{0});
        const std::size_t address = std::stoul(target.address);
        const bool isCut = slots_.at(address).cutTo > now_;
        if (strikes(UnsentCommands, 300) || (isCut && chance(5000))) {
            postTimer(owner, now_ + ms(0, 300),
                      [finish, handle = noResponse(command, true)] { finish(handle); });
            return;
        }
        postTimer(owner, now_ + timeout,
                  [finish, handle = noResponse(command, false)] { finish(handle); });
        if (isCut) {
            return;
        }
        const bool isLost = strikes(LostAnswers, 300);
        const auto respond = [this, weak = std::weak_ptr(owner), finish, isLost,
                              address](std::function<void(Owner &)> handle) {
            const OwnerPtr receiver = weak.lock();
            if (receiver && !isLost && slots_.at(address).cutFrom <= now_) {
                post(receiver, now_ + latency(),
                     [finish, handle = std::move(handle)] { finish(handle); });
            }
        };
        if (strikes(LateCommands, 200)) {
            // The incarnation that has received the command carries it out, no later one.
            at(now_ + ms(2000, 12'000), [this, command, address, boots = slots_.at(address).boots] {
                if (slots_.at(address).boots == boots) {
                    carryOut(command, [](const auto &) {});
                }
            });
        } else {
            at(now_ + latency(), [this, command, respond] { carryOut(command, respond); });
        }
    }

    // Owners

    void addOwner(Milliseconds delay, bool isHandover)
    {
        at(now_ + delay, [this, isHandover] {
            auto owner = std::make_shared<Owner>();
            owner->engine.token.epoch = ++storeEpoch_;
            owner->engine.limits.longestLease = longestLease();
            owner->confirmedAt = now_;
            owner->loadedAt = now_ + ms(50, 600);
            const TimePoint renewedAt = isHandover ? now_ : now_ + pollingGrace;
            post(owner, owner->loadedAt, [this, renewedAt, weak = std::weak_ptr(owner)] {
                if (const OwnerPtr loading = weak.lock()) {
                    load(*loading, renewedAt);
                }
            });
            owners_.push_back(std::move(owner));
        });
    }

    void load(Owner &owner, TimePoint renewedAt)
    {
        readJobs(owner);
        for (const auto &[id, text] : store_) {
            EXPECT_TRUE(adoptProgress(owner.engine, engine::JobId(id), text,
                                      lapseAfter(owner.engine, renewedAt), now_));
        }
        for (const auto &[id, job] : owner.engine.jobs) {
            if (jobs::isFinal(job.state)) {
                stopJob(owner.engine, id, now_);
            }
        }
    }

    void handOver()
    {
        if (owners_.empty()) {
            return;
        }
        const int kind = between(0, 3);
        if (kind != 2) {
            for (const OwnerPtr &owner : owners_) {
                owner->isClosed = true;
            }
        }
        const bool isResigned = kind == 0;
        const bool isActing = kind == 2;
        const bool hasLostPower = kind == 3;
        addOwner(isResigned     ? ms(10, 500)
                 : isActing     ? ms(0, 5)
                 : hasLostPower ? ms(5000, 9000)
                                : ms(2000, 4000),
                 isResigned);
    }

    void readJobs(Owner &owner)
    {
        while (owner.jobsRead < submitted_.size() && submitted_[owner.jobsRead].first <= now_) {
            submitJob(owner.engine, *submitted_[owner.jobsRead++].second, {now_, 0});
        }
    }

    void serve(const OwnerPtr &owner)
    {
        if (owner->isClosed || owner->stalledUntil > now_) {
            return;
        }
        if (strikes(OwnerStalls, 30)) {
            owner->stalledUntil = now_ + (chance(8000) ? ms(50, 900) : ms(1000, 8000));
            owner->areTimersFirst = chance(5000);
            return;
        }
        handleInbox(*owner);
        if (owner->isClosed || now_ < owner->loadedAt || now_ < owner->nextPump) {
            return;
        }
        owner->nextPump = now_ + stepTime * between(1, 4);
        readJobs(*owner);
        readRegistry(*owner);
        readMachines(owner);
        planMaintenance(owner);
        pump(owner);
    }

    void handleInbox(Owner &owner)
    {
        std::vector<Owner::Event> due;
        for (auto next = owner.inbox.begin(); next != owner.inbox.end() && next->first <= now_;) {
            due.push_back(std::move(next->second));
            next = owner.inbox.erase(next);
        }
        if (std::exchange(owner.areTimersFirst, false)) {
            std::stable_partition(due.begin(), due.end(),
                                  [](const Owner::Event &event) { return event.isTimer; });
        }
        for (const Owner::Event &event : due) {
            event.handle();
        }
    }

    void readRegistry(Owner &owner)
    {
        if (now_ < owner.nextRegistryRead) {
            return;
        }
        owner.nextRegistryRead = now_ + ms(120, 300);
        for (const auto &[id, entry] : owner.registry) {
            if (!registry_.contains(id)) {
                deregisterWorker(owner.engine, engine::WorkerId(id));
            }
        }
        std::map<std::string, engine::WorkerEntry> read;
        for (const auto &[id, entry] : registry_) {
            const auto known = owner.registry.find(id);
            if (known == owner.registry.end() || !(known->second == entry.entry)) {
                registerWorker(owner.engine, entry.entry, now_);
            }
            read[id] = entry.entry;
        }
        owner.registry = std::move(read);
    }

    void readMachines(const OwnerPtr &owner)
    {
        if (now_ < owner->nextList) {
            return;
        }
        std::vector<Machine> machines;
        const bool isIncomplete = strikes(IncompleteLists, 2000);
        const auto missing = static_cast<std::size_t>(between(0, machineCount - 1));
        for (std::size_t i = 0; i < slots_.size(); ++i) {
            const Slot &slot = slots_[i];
            Machine machine;
            machine.id = MachineId(fmt::format("m{}", i));
            machine.pool = ServiceId("shop");
            machine.state = slot.worker            ? MachineState::Up
                            : slot.isInMaintenance ? MachineState::InMaintenance
                                                   : MachineState::Down;
            machine.worker = slot.worker ? slot.worker->incarnation.id : engine::WorkerId();
            if (slot.bornAt + Milliseconds{2000} > now_ && !slot.previousId.empty()
                && strikes(PreviousWorkers, 5000)) {
                machine.worker = engine::WorkerId(slot.previousId);
            }
            if (!isIncomplete || i != missing) {
                machines.push_back(machine);
            }
        }
        const Milliseconds delay = strikes(OldLists, 2000) ? ms(500, 4000) : ms(5, 50);
        owner->nextList = now_ + delay + Milliseconds{400};
        post(owner, now_ + delay, [this, weak = std::weak_ptr(owner), machines, askedAt = now_] {
            if (const OwnerPtr receiver = weak.lock()) {
                applyMachineList(receiver->pools, receiver->engine, machines, askedAt, now_);
                receiver->hasList = true;
            }
        });
    }

    void planMaintenance(const OwnerPtr &owner)
    {
        if (!owner->hasList || now_ < owner->nextMachinePlan) {
            return;
        }
        owner->nextMachinePlan = now_ + Milliseconds{100};
        while (owner->wavesRead < waves_.size()) {
            applyWave(owner->pools, waves_[owner->wavesRead++], {}, now_);
        }
        for (const MachineCommand &command : planMachines(owner->pools, owner->engine, now_)) {
            // A renewal of the ownership that names the machine is written first.
            const Milliseconds delay = strikes(SlowStore, 2000) ? ms(100, 1500) : ms(10, 50);
            at(now_ + delay, [this, command, weak = std::weak_ptr(owner)] {
                const OwnerPtr sender = weak.lock();
                if (!sender || sender->isClosed) {
                    return;
                }
                const CommandResult result = strikes(LostAnswers, 2000)
                                                     ? (carryOut(command), CommandResult::Unknown)
                                                     : carryOut(command);
                const Milliseconds wait =
                        result == CommandResult::Unknown ? Milliseconds{1500} : latency();
                post(sender, now_ + wait, [this, command, weak, result] {
                    if (const OwnerPtr receiver = weak.lock()) {
                        handleCommandResult(receiver->pools, receiver->engine, command, result,
                                            now_);
                    }
                });
            });
        }
    }

    CommandResult carryOut(const MachineCommand &command)
    {
        const int number = std::stoi(command.machine.text().substr(1));
        Slot &slot = slots_[static_cast<std::size_t>(number)];
        if (command.kind != MachineCommand::Kind::Maintenance) {
            return CommandResult::Invalid;
        }
        if (slot.begunWaves.contains(command.wave)) {
            return CommandResult::Done;
        }
        if (!slot.worker) {
            return CommandResult::Busy;
        }
        slot.begunWaves.insert(command.wave);
        crash(number, true);
        slot.restartsAt = now_ + Milliseconds{2000};
        return CommandResult::Done;
    }

    void pump(const OwnerPtr &owner)
    {
        engine::Engine &engine = owner->engine;
        engine.mayStart = true;
        if (now_ >= owner->nextTick) {
            owner->nextTick = now_ + Milliseconds{100};
            if (engine.token.epoch == storeEpoch_) {
                owner->confirmedAt = now_;  // renewal of the ownership
            }
            rescheduleStragglers(engine, now_);
            tickJobs(engine, {now_, 0});
            engine.needsPlan = true;
        }
        if (engine.needsPlan) {
            planStarts(engine, now_);
        }
        if (now_ < owner->confirmedAt + pollingGrace) {
            pollWorkers(engine, now_);
            for (const engine::Command &command : std::exchange(engine.commands, {})) {
                send(owner, command);
            }
        }
        engine.commands.clear();
        write(owner);
        for (const engine::Decision &decision : std::exchange(engine.decisions, {})) {
            noteDecision(engine, decision);
        }
    }

    // Notes a decision on a task there, and one on a worker with all tasks.
    void noteDecision(const engine::Engine &engine, const engine::Decision &decision)
    {
        const std::string text = fmt::format("owner {}: decision {} run {} on {} {}",
                                             engine.token.epoch, static_cast<int>(decision.kind),
                                             decision.run, decision.worker.text(), decision.inputs);
        if (decision.run > 0) {
            rules_.note(decision.task, now_, text);
        } else {
            rules_.noteAll(now_, text);
        }
    }

    void write(const OwnerPtr &owner)
    {
        if (owner->isWriting) {
            return;
        }
        auto batch = std::make_shared<engine::Batch>(collectBatch(owner->engine));
        if (batch->isEmpty()) {
            return;
        }
        owner->isWriting = true;
        append(owner, batch, now_);
    }

    void append(const OwnerPtr &owner, const std::shared_ptr<engine::Batch> &batch,
                TimePoint firstSentAt)
    {
        const Milliseconds delay = strikes(SlowStore, 500) ? ms(200, 4000) : ms(5, 20);
        const bool isRefused = strikes(SlowStore, 500);
        const bool isLost = strikes(SlowStore, 500);
        at(now_ + delay, [this, weak = std::weak_ptr(owner), batch, firstSentAt, isRefused, isLost,
                          epoch = owner->engine.token.epoch] {
            const bool isFenced = epoch != storeEpoch_;
            if (!isFenced && !isRefused) {
                for (const engine::ProgressRecord &record : batch->records) {
                    store_[record.key] = *record.value;
                }
            }
            const OwnerPtr receiver = weak.lock();
            if (receiver) {
                const Milliseconds wait{isRefused || isLost ? 100 : 3};
                post(receiver, now_ + wait,
                     [this, weak, batch, firstSentAt, isFenced, isRepeated = isRefused || isLost] {
                         if (const OwnerPtr writer = weak.lock()) {
                             handleAppended(writer, batch, firstSentAt, isFenced, isRepeated);
                         }
                     });
            }
        });
    }

    void handleAppended(const OwnerPtr &owner, const std::shared_ptr<engine::Batch> &batch,
                        TimePoint firstSentAt, bool isFenced, bool isRepeated)
    {
        if (isFenced) {
            owner->isClosed = true;
        } else if (isRepeated) {
            append(owner, batch, firstSentAt);
        } else {
            owner->isWriting = false;
            owner->confirmedAt = std::max(owner->confirmedAt, firstSentAt);
            owner->engine.mayStart = now_ - firstSentAt <= maxRecordAge;
            applyStored(owner->engine, *batch, now_);
        }
    }

    // Jobs

    jobs::Resources needOf(const engine::JobId &id) const
    {
        for (const auto &[at, job] : submissions_) {
            if (job.id == id) {
                return job.spec.steps[0].need;
            }
        }
        return {};
    }

    bool areAllJobsFinal() const
    {
        if (owners_.empty()) {
            return false;
        }
        const Owner &owner = *owners_.back();
        return owner.jobsRead == submitted_.size()
               && std::all_of(owner.engine.jobs.begin(), owner.engine.jobs.end(),
                              [](const auto &each) { return jobs::isFinal(each.second.state); });
    }

    void checkFinished()
    {
        if (owners_.empty() || !rules_.violation.empty()) {
            return;
        }
        for (const auto &[id, job] : owners_.back()->engine.jobs) {
            const auto &tasks = job.occurrences.at(0).steps[0];
            for (std::size_t i = 0; i < tasks.size() && !jobs::isFinal(job.state); ++i) {
                if (!tasks[i].isDone) {
                    rules_.violate({id, 0, 0, static_cast<int>(i)}, "not finished");
                }
            }
        }
    }

    std::mt19937_64 random_;
    unsigned faults_;
    int maxAttempts_;
    int failuresPerTenThousand_;
    int endsPerPoll_;  // a small page stands for a worker with more than 500 ends
    bool isFaulty_ = true;
    TimePoint now_ = timePoint(1'000'000);
    RunRules rules_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<Slot> slots_;
    std::map<std::string, RegistryEntry> registry_;
    std::multimap<TimePoint, jobs::Submission> submissions_;
    std::vector<std::pair<TimePoint, const jobs::Submission *>> submitted_;
    std::map<std::string, std::string> store_;  // progress by job
    std::vector<Wave> waves_;
    std::int64_t storeEpoch_ = 6;
    std::vector<OwnerPtr> owners_;
};

}  // namespace poplarstream::pools::test
