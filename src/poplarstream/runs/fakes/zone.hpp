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

// How often things go wrong, as probabilities; delays in milliseconds.
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

// A caller's run. `key` is its idempotency key, `actual` what it really needs.
struct FakeCall
{
    RunAccepted accepted;
    ActualSize actual;
    std::optional<RunId> answeredRun;
    TimePoint endedAt;
    bool hasEnded = false;
    RunStage stage = RunStage::Accepted;
};

struct FakeOwner
{
    EntryHostId id;
    std::uint32_t incarnation = 0;
    RunsState state;
    OwnerMemory memory;
    FleetView fleet;
    TimePoint pausedUntil;
    std::uint64_t recordCount = 0;
    std::vector<RunEntry> toAppend;
    std::vector<RunId> toCancel;
    std::vector<std::uint64_t> open;  // ordinals whose end was not answered
    TimePoint answeredAt;
};

// One zone in virtual time: a log, a few owners that run the real deciders, a few workers and
// callers. Owners never see answers of the log, only what they read back, which covers every lost
// or late answer.
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

    // Begins the periodic steps. Call after workers and owners were added.
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

    // A caller submits; it tries again with the same key at another owner until it is answered.
    void submit(std::size_t call)
    {
        FakeCall &made = calls[call];
        if (made.answeredRun || made.hasEnded) {
            return;
        }
        FakeOwner &owner = anyOwner();
        if (!isPaused(owner)) {
            RunAccepted accepted = made.accepted;
            accepted.run = RunId("a-" + std::to_string(call) + "-" + std::to_string(++attempts_));
            owner.toAppend.emplace_back(accepted);
        }
        timeline.after(policy_.appendPatience * 2, [this, call] { submit(call); });
    }
    // A caller cancels, and repeats it until the end is answered.
    void cancel(std::size_t call)
    {
        FakeCall &made = calls[call];
        if (made.hasEnded) {
            return;
        }
        if (made.answeredRun) {
            FakeOwner &owner = anyOwner();
            if (!isPaused(owner)) {
                owner.toCancel.push_back(*made.answeredRun);
            }
        }
        timeline.after(policy_.appendPatience * 2, [this, call] { cancel(call); });
    }

    void heal()
    {
        rates_ = FaultRates{};
        isLogDown = false;
        for (FakeWorker &worker : workers) {
            worker.isReachable = true;
        }
    }

    // A crash loses everything that the owner knew; it comes back under the same id.
    void restart(FakeOwner &owner)
    {
        ++owner.incarnation;
        owner.state = {};
        owner.memory = {};
        owner.memory.self = owner.id;
        owner.memory.zone = ZoneId("a");
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

    // What the log holds at the end.
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
    // Where the callers' answers are recorded once per run.
    std::set<RunId> answered;

private:
    bool chance(double probability) { return probability > 0 && random.unit() < probability; }
    Milliseconds delay()
    {
        return Milliseconds{static_cast<std::int64_t>(random.below(rates_.longestDelay + 1))};
    }
    FakeOwner &anyOwner() { return *owners[random.below(owners.size())]; }
    bool isPaused(const FakeOwner &owner) const { return timeline.now() < owner.pausedUntil; }

    // Carries a message that may be lost, doubled, and overtaken.
    void carry(const std::function<void()> &action)
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
        carry([this, record] {
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
        const RunDecision decision =
                decideRuns(owner.state, owner.fleet, owner.memory, policy_, timeline.now(), random);
        noteDecision(owner.memory, owner.state, decision, timeline.now());
        for (const QuarantineProposal &proposal : decision.quarantines) {
            quarantine(proposal);
        }
        noteCommands(owner.memory, decision.commands, timeline.now());
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

    // Returns false when the owner crashed.
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
             overdue(owner.memory.proposals, timeline.now(), policy_.appendPatience)) {
            records.push_back(late);
        }
        for (const RunRecord &record : records) {
            noteAppend(owner.memory, record, timeline.now());
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
            noteReadBack(owner.memory, owner.state, logged, applied, timeline.now());
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
            answerEnd(run->second);
            return true;
        });
    }

    void answerAccepted(const Run &run)
    {
        FakeCall &call = calls[callByKey.at(run.accepted.idempotencyKey)];
        if (!call.answeredRun) {
            call.answeredRun = run.id();
            history.push_back({timeline.now(),
                               history::RunAcceptedAnswer{run.id(), run.accepted.idempotent}});
        }
    }
    void answerEnd(const Run &run)
    {
        FakeCall &call = calls[callByKey.at(run.accepted.idempotencyKey)];
        const auto verdict = verdictOf(run);
        if (!verdict || !answered.insert(run.id()).second) {
            return;
        }
        call.hasEnded = true;
        call.endedAt = timeline.now();
        call.stage = run.stage;
        history.push_back(
                {timeline.now(),
                 history::RunEndAnswer{run.id(), *verdict, run.stage == RunStage::Cancelled}});
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
            carry([this, &owner, command] {
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
                    if (auto seen = execute(*worker, command)) {
                        reply(owner, {*seen});
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

    // The payload of a fake call is its key.
    const ActualSize &actualOf(const std::string &payload) const
    {
        return calls[callByKey.at(payload)].actual;
    }

    void reply(FakeOwner &owner, std::vector<TaskObservation> seen)
    {
        carry([this, &owner, incarnation = owner.incarnation, seen = std::move(seen)] {
            if (owner.incarnation == incarnation) {
                for (const TaskObservation &observation : seen) {
                    noteTask(owner.memory, observation, timeline.now());
                }
            }
        });
    }

    // Asks all workers for their tasks and usage.
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
            std::vector<TaskObservation> seen;
            for (const FencingToken &token : own[workers[i].host]) {
                if (const auto task = workers[i].tasks.find(token);
                    task != workers[i].tasks.end()) {
                    seen.push_back(workers[i].observe(task->second));
                }
            }
            timeline.after(delay(), [this, &owner, incarnation = owner.incarnation, i,
                                     asked = timeline.now(), boot = workers[i].boot,
                                     report = workers[i].report(timeline.now())] {
                if (owner.incarnation == incarnation && !isPaused(owner)) {
                    WorkerView &view = owner.fleet.workers[i];
                    view.lastHeard = std::max(view.lastHeard, asked);
                    view.boot = std::max(view.boot, boot);
                    if (!view.usage || view.usage->at < report.at) {
                        view.previousUsage = std::move(view.usage);
                        view.usage = report;
                    }
                }
            });
            if (!seen.empty()) {
                reply(owner, std::move(seen));
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
