#pragma once

#include <memory>  // for unique_ptr
#include <unordered_map>  // for unordered_map

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/base/rendezvous.hpp"  // for stableHash
#include "poplarstream/history/event.hpp"  // for Event
#include "poplarstream/runs/batch.hpp"  // for batchEntries, cancelEntries
#include "poplarstream/runs/decide.hpp"  // for decideRuns
#include "poplarstream/runs/fakes/timeline.hpp"  // for Timeline
#include "poplarstream/runs/fakes/worker.hpp"  // for FakeWorker
#include "poplarstream/runs/queries.hpp"  // for findRunByKey, verdictOf
#include "poplarstream/runs/replay.hpp"  // for apply

namespace poplarstream::fakes {

// The probabilities of injected faults; delays in milliseconds.
struct FaultRates
{
    double loseMessage = 0;
    double duplicateMessage = 0;
    double crashAtAppend = 0;
    std::uint64_t longestDelay = 5;
    // Per owner and step.
    double pauseOwner = 0;
    std::uint64_t longestPause = 0;
    // Per worker and second.
    double loseWorker = 0;
    double rebootWorker = 0;
    std::uint64_t longestLoss = 0;
};

// A run submitted by a caller. `actual` is what it really needs.
struct FakeCall
{
    RunAccepted accepted;
    ActualSize actual;
    std::optional<RunId> answeredRun;
    TimePoint endedAt;
    bool isCompleted = false;
    RunStage stage = RunStage::Accepted;
};

struct FakeOwner
{
    EntryHostId id;
    std::uint32_t incarnation = 0;
    RunsState state;
    OwnerState ownerState;
    FleetView fleet;
    TimePoint pausedUntil;
    std::uint64_t recordCount = 0;
    std::vector<RunEntry> toAppend;
    std::vector<RunId> toCancel;
    std::vector<std::uint64_t> open;  // ordinals whose result was not reported
    TimePoint answeredAt;
};

// One zone in virtual time: a log, a few owners that run the production decision code, a few
// workers and callers. Owners get no responses from the log, only what they read back, which covers
// all lost and late responses.
class Zone
{
public:
    Zone(std::uint64_t seed, RunPolicy policy, FaultRates rates)
        : random(seed)
        , policy_(policy)
        , rates_(rates)
    {}

    void addWorker(FakeWorker worker) { workers.push_back(std::move(worker)); }
    void addOwners(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            owners.push_back(std::make_unique<FakeOwner>());
            owners.back()->id = EntryHostId("e" + std::to_string(i));
        }
    }

    // Starts the periodic steps. Call after adding workers and owners.
    void start(Milliseconds step, Milliseconds poll)
    {
        step_ = step;
        poll_ = poll;
        for (const auto &owner : owners) {
            restart(*owner);
            stepOwner(*owner);
            pollWorkers(*owner);
        }
        stepWorkers();
    }

    // Submits a run, and retries with the same idempotency key at a random owner until the run is
    // accepted.
    void submit(std::size_t index)
    {
        FakeCall &call = calls[index];
        if (call.answeredRun || call.isCompleted) {
            return;
        }
        FakeOwner &owner = anyOwner();
        if (!isPaused(owner)) {
            RunAccepted accepted = call.accepted;
            accepted.run = RunId("a-" + std::to_string(index) + "-" + std::to_string(++attempts_));
            owner.toAppend.emplace_back(accepted);
        }
        timeline.after(policy_.appendRetryInterval * 2, [this, index] { submit(index); });
    }
    // Cancels a run, and repeats the request until the result is reported.
    void cancel(std::size_t index)
    {
        FakeCall &call = calls[index];
        if (call.isCompleted) {
            return;
        }
        if (call.answeredRun) {
            FakeOwner &owner = anyOwner();
            if (!isPaused(owner)) {
                owner.toCancel.push_back(*call.answeredRun);
            }
        }
        timeline.after(policy_.appendRetryInterval * 2, [this, index] { cancel(index); });
    }

    void heal()
    {
        rates_ = FaultRates{};
        isLogDown = false;
        for (FakeWorker &worker : workers) {
            worker.isReachable = true;
        }
    }

    // Restarts a crashed owner under the same id, without its previous state.
    void restart(FakeOwner &owner)
    {
        ++owner.incarnation;
        owner.state = {};
        owner.ownerState = {};
        owner.ownerState.self = owner.id;
        owner.ownerState.zone = ZoneId("a");
        owner.toAppend.clear();
        owner.toCancel.clear();
        owner.open.clear();
        owner.fleet = {};
        owner.fleet.isComplete = true;
        for (const FakeWorker &worker : workers) {
            WorkerView view;
            view.host = worker.host;
            view.rack = worker.rack;
            view.services = worker.services;
            view.capacity = worker.capacity;
            view.boot = worker.boot;
            view.lastHeard = timeline.now();
            owner.fleet.workers.push_back(std::move(view));
        }
    }

    // Replays the whole log.
    RunsState finalState() const
    {
        RunsState state;
        for (const auto &logged : log) {
            apply(state, logged);
        }
        return state;
    }

    Timeline timeline;
    Random random;
    std::vector<Logged<RunRecord>> log;
    std::vector<FakeWorker> workers;
    std::vector<std::unique_ptr<FakeOwner>> owners;
    std::vector<FakeCall> calls;
    std::map<std::string, std::size_t> callByKey;
    std::vector<history::Event> history;
    std::map<HostId, TimePoint> quarantinedAt;
    bool isLogDown = false;
    // The runs whose result was reported to their caller, so that each is recorded once.
    std::set<RunId> reportedRuns;

private:
    bool chance(double probability) { return probability > 0 && random.unit() < probability; }
    Milliseconds delay()
    {
        return Milliseconds{static_cast<std::int64_t>(random.below(rates_.longestDelay + 1))};
    }
    FakeOwner &anyOwner() { return *owners[random.below(owners.size())]; }
    bool isPaused(const FakeOwner &owner) const { return timeline.now() < owner.pausedUntil; }

    // Delivers a message that may be lost, duplicated or reordered.
    void deliver(const std::function<void()> &action)
    {
        const int copies = chance(rates_.duplicateMessage) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (!chance(rates_.loseMessage)) {
                timeline.after(delay(), action);
            }
        }
    }

    void append(const RunRecord &record)
    {
        deliver([this, record] {
            if (!isLogDown) {
                log.push_back({log.size(), timeline.now(), record});
            }
        });
    }

    void stepOwner(FakeOwner &owner)
    {
        timeline.after(step_, [this, &owner] { stepOwner(owner); });
        if (isPaused(owner)) {
            return;
        }
        readLog(owner);
        updateConditions(owner);
        const RunDecision decision = decideRuns(owner.state, owner.fleet, owner.ownerState, policy_,
                                                timeline.now(), random);
        recordDecision(owner.ownerState, owner.state, decision, timeline.now());
        for (const QuarantineProposal &proposal : decision.quarantines) {
            quarantine(proposal);
        }
        recordCommands(owner.ownerState, decision.commands, timeline.now());
        const std::uint32_t incarnation = owner.incarnation;
        if (!appendAll(owner, decision.entries)) {
            return;
        }
        if (chance(rates_.pauseOwner)) {
            owner.pausedUntil =
                    timeline.now()
                    + Milliseconds{static_cast<std::int64_t>(random.below(rates_.longestPause))};
        }
        const TimePoint sendAt = std::max(timeline.now(), owner.pausedUntil);
        timeline.at(sendAt, [this, &owner, incarnation, decision] {
            if (owner.incarnation == incarnation) {
                send(owner, decision);
            }
        });
    }

    void quarantine(const QuarantineProposal &proposal)
    {
        if (proposal.isQuarantined) {
            quarantinedAt.try_emplace(proposal.host, timeline.now());
        } else {
            quarantinedAt.erase(proposal.host);
        }
    }

    void updateConditions(FakeOwner &owner)
    {
        for (std::size_t i = 0; i < workers.size(); ++i) {
            WorkerView &view = owner.fleet.workers[i];
            view.condition = quarantinedAt.contains(view.host) ? WorkerCondition::Quarantined
                             : workers[i].isDraining           ? WorkerCondition::Draining
                                                               : WorkerCondition::Usable;
            view.drainBy = workers[i].drainBy;
        }
    }

    // Returns false if the owner crashed.
    bool appendAll(FakeOwner &owner, std::vector<RunEntry> entries)
    {
        for (RunEntry &entry : cancelEntries(owner.state, owner.toCancel)) {
            entries.push_back(std::move(entry));
        }
        owner.toCancel.clear();
        std::move(owner.toAppend.begin(), owner.toAppend.end(), std::back_inserter(entries));
        owner.toAppend.clear();
        const auto nextId = [&] {
            return RecordId(owner.id.text() + "." + std::to_string(owner.incarnation) + "."
                            + std::to_string(owner.recordCount++));
        };
        std::vector<RunRecord> records = batchEntries(entries, owner.id, nextId);
        for (const RunRecord &late :
             overdue(owner.ownerState.proposals, timeline.now(), policy_.appendRetryInterval)) {
            records.push_back(late);
        }
        for (const RunRecord &record : records) {
            recordAppend(owner.ownerState, record, timeline.now());
            const bool isBefore = chance(rates_.crashAtAppend);
            if (!isBefore) {
                append(record);
            }
            if (isBefore || chance(rates_.crashAtAppend)) {
                restart(owner);
                return false;
            }
        }
        return true;
    }

    void readLog(FakeOwner &owner)
    {
        if (isLogDown) {
            return;
        }
        while (owner.state.nextOffset < log.size()) {
            const auto &logged = log[owner.state.nextOffset];
            const std::uint64_t firstNew = owner.state.nextOrdinal;
            const ApplyResult applied = apply(owner.state, logged);
            recordReadBack(owner.ownerState, owner.state, logged, applied, timeline.now());
            for (std::uint64_t i = firstNew; i < owner.state.nextOrdinal; ++i) {
                owner.open.push_back(i);
                answerAccepted(owner.state.runs.find(i)->second);
            }
        }
        if (timeline.now() - owner.answeredAt < answerInterval) {
            return;
        }
        owner.answeredAt = timeline.now();
        std::erase_if(owner.open, [&](std::uint64_t ordinal) {
            const auto run = owner.state.runs.find(ordinal);
            if (run == owner.state.runs.end() || !isFinal(run->second.stage)) {
                return run == owner.state.runs.end();
            }
            answerCompletion(run->second);
            return true;
        });
    }

    void answerAccepted(const Run &run)
    {
        FakeCall &call = calls[callByKey.at(run.accepted.idempotencyKey)];
        if (!call.answeredRun) {
            call.answeredRun = run.id();
            history.push_back({timeline.now(),
                               history::RunAcceptedResponse{run.id(), run.accepted.idempotent}});
        }
    }
    void answerCompletion(const Run &run)
    {
        FakeCall &call = calls[callByKey.at(run.accepted.idempotencyKey)];
        const auto verdict = verdictOf(run);
        if (!verdict || !reportedRuns.insert(run.id()).second) {
            return;
        }
        call.isCompleted = true;
        call.endedAt = timeline.now();
        call.stage = run.stage;
        history.push_back(
                {timeline.now(), history::RunCompletionResponse{run.id(), *verdict,
                                                                run.stage == RunStage::Cancelled}});
    }

    FakeWorker *findFake(const HostId &host)
    {
        const auto found = std::find_if(workers.begin(), workers.end(),
                                        [&](const FakeWorker &w) { return w.host == host; });
        return found == workers.end() ? nullptr : &*found;
    }

    void send(FakeOwner &owner, const RunDecision &decision)
    {
        for (const WorkerCommand &command : decision.commands) {
            if (timeline.now() >= validUntilOf(decision, command)) {
                continue;
            }
            deliver([this, &owner, command] {
                const HostId &host = std::visit(
                        [](const auto &c) -> const HostId & {
                            if constexpr (requires { c.worker; }) {
                                return c.worker;
                            } else {
                                return c.task.worker;
                            }
                        },
                        command);
                FakeWorker *worker = findFake(host);
                if (worker && worker->isReachable) {
                    if (auto observation = execute(*worker, command)) {
                        reply(owner, {*observation});
                    }
                }
            });
        }
    }

    std::optional<TaskObservation> execute(FakeWorker &worker, const WorkerCommand &command)
    {
        if (const auto *start = std::get_if<StartTask>(&command)) {
            return worker.start(*start, actualOf(start->payload), timeline.now(), history);
        }
        if (const auto *revoke = std::get_if<RevokeTask>(&command)) {
            return worker.revoke(revoke->task);
        }
        if (const auto *stop = std::get_if<StopTask>(&command)) {
            return worker.interrupt(stop->task, TaskState::Stopped);
        }
        if (const auto *checkpoint = std::get_if<CheckpointTask>(&command)) {
            return worker.interrupt(checkpoint->task, TaskState::Checkpointed);
        }
        if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
            worker.throttle(throttle->task, throttle->cpus);
        } else {
            worker.renew(std::get<RenewLeases>(command), timeline.now());
        }
        return std::nullopt;
    }

    // The payload of a fake call is its idempotency key.
    const ActualSize &actualOf(const std::string &payload) const
    {
        return calls[callByKey.at(payload)].actual;
    }

    void reply(FakeOwner &owner, std::vector<TaskObservation> observations)
    {
        deliver([this, &owner, incarnation = owner.incarnation,
                 observations = std::move(observations)] {
            if (owner.incarnation == incarnation) {
                for (const TaskObservation &observation : observations) {
                    recordTaskObservation(owner.ownerState, observation, timeline.now());
                }
            }
        });
    }

    // Polls all workers for their tasks and usage.
    void pollWorkers(FakeOwner &owner)
    {
        timeline.after(poll_, [this, &owner] { pollWorkers(owner); });
        if (isPaused(owner)) {
            return;
        }
        std::map<HostId, std::vector<FencingToken>> own;
        for (const std::uint64_t ordinal : owner.state.active) {
            const Run &run = owner.state.runs.find(ordinal)->second;
            if (run.claim && run.claim->owner == owner.id) {
                own[run.claim->worker].push_back(run.claim->token);
            }
        }
        for (std::size_t i = 0; i < workers.size(); ++i) {
            if (!workers[i].isReachable || chance(rates_.loseMessage)) {
                continue;
            }
            std::vector<TaskObservation> observations;
            for (const FencingToken &token : own[workers[i].host]) {
                if (const auto task = workers[i].tasks.find(token);
                    task != workers[i].tasks.end()) {
                    observations.push_back(workers[i].observe(task->second));
                }
            }
            timeline.after(delay(), [this, &owner, incarnation = owner.incarnation, i,
                                     polledAt = timeline.now(), boot = workers[i].boot,
                                     report = workers[i].report(timeline.now())] {
                if (owner.incarnation == incarnation && !isPaused(owner)) {
                    WorkerView &view = owner.fleet.workers[i];
                    view.lastHeard = std::max(view.lastHeard, polledAt);
                    view.boot = std::max(view.boot, boot);
                    if (!view.usage || view.usage->at < report.at) {
                        view.previousUsage = std::move(view.usage);
                        view.usage = report;
                    }
                }
            });
            if (!observations.empty()) {
                reply(owner, std::move(observations));
            }
        }
    }

    void stepWorkers()
    {
        timeline.after(step_, [this] { stepWorkers(); });
        const double perSecond = static_cast<double>(step_.count()) / 1000;
        for (std::size_t i = 0; i < workers.size(); ++i) {
            FakeWorker &worker = workers[i];
            worker.step(timeline.now(), step_);
            if (chance(rates_.rebootWorker * perSecond)) {
                worker.reboot();
            }
            if (worker.isReachable && chance(rates_.loseWorker * perSecond)) {
                worker.isReachable = false;
                const auto length = static_cast<std::int64_t>(random.below(rates_.longestLoss));
                timeline.after(Milliseconds{length}, [this, i] { workers[i].isReachable = true; });
            }
        }
    }

    static constexpr Milliseconds answerInterval{500};

    RunPolicy policy_;
    FaultRates rates_;
    Milliseconds step_{100};
    Milliseconds poll_{1000};
    std::uint64_t attempts_ = 0;
};

}  // namespace poplarstream::fakes
