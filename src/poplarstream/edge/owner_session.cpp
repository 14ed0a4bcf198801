#include "poplarstream/edge/owner_session.hpp"

#include <algorithm>  // for max
#include <chrono>  // for steady_clock

#include <fmt/format.h>  // for format

#include "poplarstream/accounts/admission.hpp"  // for updateAdmission
#include "poplarstream/edge/cap_lending.hpp"  // for CapLending
#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/command_sender.hpp"  // for CommandSender
#include "poplarstream/edge/decision_log.hpp"  // for DecisionLog
#include "poplarstream/edge/job_feed.hpp"  // for JobFeed
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/edge/machine_controller.hpp"  // for MachineController
#include "poplarstream/edge/progress_writer.hpp"  // for ProgressWriter
#include "poplarstream/edge/session_metrics.hpp"  // for sessionMetrics
#include "poplarstream/edge/stored_jobs.hpp"  // for tombstones
#include "poplarstream/edge/worker_registry.hpp"  // for applyRegistry, logUnusableEntries
#include "poplarstream/engine/account_loads.hpp"  // for accountLoads
#include "poplarstream/engine/evacuation.hpp"  // for evacuate
#include "poplarstream/engine/explain_job.hpp"  // for explainJob
#include "poplarstream/engine/job_events.hpp"  // for submitJob, cancelJob, tickJobs
#include "poplarstream/engine/job_queries.hpp"  // for stateOf, waitingJobs
#include "poplarstream/engine/neighbours.hpp"  // for reviewNeighbours
#include "poplarstream/engine/plan_pacing.hpp"  // for PlanPacing
#include "poplarstream/engine/planning.hpp"  // for planStarts
#include "poplarstream/engine/separation.hpp"  // for separateFillers
#include "poplarstream/engine/unplaced_tasks.hpp"  // for reviewUnplacedTasks
#include "poplarstream/engine/worker_events.hpp"  // for dropCommands
#include "poplarstream/engine/worker_health.hpp"  // for rescheduleStragglers
#include "poplarstream/engine/worker_polling.hpp"  // for pollWorkers
#include "poplarstream/ownership/start_permission.hpp"  // for planningHold, sendingHold
#include "poplarstream/telemetry/event_kinds.hpp"  // for ownerLoaded, takeoverBegun, startsHeld

namespace poplarstream::edge {

namespace {

// Workers are polled, which renews their leases, for this long after the last confirmed renewal of
// the ownership, so that tasks survive an outage of the store. A successor waits as long before it
// gives up an unresponsive worker.
constexpr Milliseconds pollingGrace{8000};
constexpr Milliseconds tickPeriod{40};
constexpr Milliseconds loadLogPeriod{5000};
// Waiting tasks are planned again this often even without events, for delays that have expired.
constexpr Milliseconds planPeriod{100};
// Responses that arrive within this time are processed together.
constexpr Milliseconds responseBatchWindow{4};
// Between two reads of the registry. A machine that was moved gets no task before its new entry has
// been read.
constexpr Milliseconds registryPause{120};
// From a machine command until other processes have read the renewal that names the machine.
constexpr Milliseconds renewalPropagation{500};
constexpr ownership::StartLimits startLimits;
// Jobs that end their retention together, as after a takeover, are deleted in several writes.
constexpr std::size_t maxDeletionsPerCall = 1000;
// A job is reported as unknown only if the job log has been read up to this long ago: an older view
// may miss a job that was accepted since.
constexpr Milliseconds maxFeedAge{2500};

// Until when machines that an earlier owner commanded get no command. Owners name machines in the
// renewal right before they command them.
std::map<pools::MachineId, TimePoint> machineCooldowns(const PredecessorState &predecessor,
                                                       const engine::EngineLimits &limits)
{
    std::map<pools::MachineId, TimePoint> cooldowns;
    for (const auto &[id, commandedAt] : predecessor.recentMachineCommands) {
        cooldowns[pools::MachineId(id)] = commandedAt + limits.machineLease + renewalPropagation;
    }
    return cooldowns;
}

}  // namespace

struct OwnerSession::State : Closable<OwnerSession::State>
{
    State(Runtime &sharedRuntime, ownership::Shard ownShard, const PredecessorState &previous,
          OwnerSessionHooks given)
        : runtime(sharedRuntime)
        , shard(ownShard)
        , predecessor(previous)
        , hooks(std::move(given))
        , writer(sharedRuntime, ownShard.index, previous.epoch,
                 [this](TimePoint recordedAt) { return mayStart(recordedAt); })
        , sender(sharedRuntime)
        , machines(sharedRuntime, ownShard, engine, previous.epoch,
                   {[this] { return isLoaded && hooks.mayIssueCommands(); },
                    [this] { return hooks.confirmedAt(); },
                    [this](std::vector<std::string> machineIds, std::function<void(bool)> done) {
                        hooks.confirm(std::move(machineIds), std::move(done));
                    },
                    [this](int of, std::int64_t wave) { return hooks.hasCarriedOut(of, wave); },
                    [this](std::int64_t wave) { hooks.carriedOut(wave); }})
        , lending(sharedRuntime, ownShard, engine, previous.epoch,
                  {[this](int lender, std::string request, LoanRespond done) {
                       hooks.requestLoans(lender, std::move(request), std::move(done));
                   },
                   [this] { schedulePump(); }})
    {
        engine.limits = runtime.settings.limits;
        engine.token.epoch = predecessor.epoch;
    }

    // Fences the predecessor's writes before reading its progress: a later write would be missed.
    void start()
    {
        writer.fence(guarded([](State &self, bool isFenced) {
            if (isFenced) {
                self.hooks.fenced();
                self.load();
            } else {
                self.hooks.superseded();
            }
        }));
    }

    void load()
    {
        const TimePoint now = steadyNow();
        const TimePoint renewedAt =
                ownership::earlierRenewalsUntil(predecessor.owners, now, pollingGrace);
        engine.takenOverAt = now;
        logTakeover(renewedAt - now);
        JobFeedEvents events;
        events.otherRecord = guarded([](State &self, const StoredRecord &record) {
            if (CapLending::isLoanRecord(record)) {
                self.lending.adopt(record);
            } else {
                self.machines.adopt(record);
            }
        });
        events.loaded = guarded([](State &self) { self.handleLoaded(); });
        events.changed = guarded([](State &self) { self.pump(); });
        feed = std::make_unique<JobFeed>(runtime, shard, engine, renewedAt, std::move(events));
    }

    void logTakeover(Milliseconds wait) const
    {
        const std::optional<ownership::OwnershipRecord> &record = predecessor.owners.predecessor;
        std::string resigned = "-";
        if (record) {
            const bool isResignation =
                    record->kind == ownership::OwnershipRecord::Kind::Resignation;
            resigned = isResignation ? "yes" : "no";
        }
        logEvent(events::takeoverBegun,
                 {{"epoch", fmt::to_string(predecessor.epoch)},
                  {"shard", fmt::to_string(shard.index)},
                  {"predecessor", record ? record->owner.text() : "-"},
                  {"predecessor_epoch", record ? fmt::to_string(record->epoch) : "-"},
                  {"predecessor_incarnation", record ? record->incarnation : "-"},
                  {"resigned", resigned},
                  {"wait_ms", fmt::to_string(wait.count())}});
    }

    void handleLoaded()
    {
        isLoaded = true;
        lending.start();
        for (const auto &[number, wave] : waves) {
            machines.applyWave(wave);
        }
        machines.start(machineCooldowns(predecessor, engine.limits));
        logEvent(events::ownerLoaded,
                 {{"epoch", fmt::to_string(predecessor.epoch)},
                  {"jobs", fmt::to_string(engine.jobs.size())},
                  {"active", fmt::to_string(engine.active.size())},
                  {"shard", fmt::to_string(shard.index)},
                  {"adopted", fmt::to_string(engine.runsAdopted)},
                  {"adopted_workers", fmt::to_string(engine.workersAdopted)},
                  {"without_job", fmt::to_string(feed->progressWithoutJob())}});
        followRegistry();
        tick();
    }

    void followRegistry()
    {
        FollowerEvents events;
        events.snapshot = guarded([](State &self, const std::vector<StoredRecord> &records,
                                     std::int64_t) { self.applyRegistry(records, true); });
        events.records = guarded([](State &self, const std::vector<StoredRecord> &records,
                                    std::int64_t) { self.applyRegistry(records, false); });
        FollowerSettings settings;
        settings.pause = registryPause;
        registryFollower =
                std::make_unique<LogFollower>(runtime, Log::Registry, settings, std::move(events));
    }

    void applyRegistry(const std::vector<StoredRecord> &records, bool isSnapshot)
    {
        logUnusableEntries(edge::applyRegistry(engine, unusableEntries, runtime.decode, shard,
                                               records, isSnapshot, clockReadingNow()));
        pump();
    }

    void tick()
    {
        const TimePoint now = steadyNow();
        if (now >= nextPlanAt) {
            nextPlanAt = now + planPeriod;
            {
                const LoadMeter::Section section(runtime.load, OwnerWork::Health);
                engine::rescheduleStragglers(engine, now);
            }
            {
                const LoadMeter::Section section(runtime.load, OwnerWork::Jobs);
                engine::tickJobs(engine, clockReadingNow());
            }
            engine::reviewNeighbours(engine, now);
            engine::reviewUnplacedTasks(engine, now);
            deleteForgottenJobs();
            engine.needsPlan = true;
        }
        decideAdmission(now);
        logLoad(now);
        pump();
        callAfter(runtime, tickPeriod, guarded([](State &self) { self.tick(); }));
    }

    // Once in each window, if accounts are configured.
    void decideAdmission(TimePoint now)
    {
        if (now < nextAdmissionAt || (engine.accounts.empty() && admission.holds.empty())) {
            return;
        }
        nextAdmissionAt = now + accounts::admissionWindow;
        const LoadMeter::Section section(runtime.load, OwnerWork::Jobs);
        const accounts::Holds before = admission.holds;
        const auto loads = engine::accountLoads(engine, shard.count, now);
        accounts::updateAdmission(admission, loads);
        for (const auto &[id, hold] : admission.holds) {
            if (!before.contains(id)) {
                const accounts::AccountLoad &load = loads.at(id);
                logEvent(events::accountHeld,
                         {{"account", id.text()},
                          {"shard", fmt::to_string(shard.index)},
                          {"accepted_per_s", fmt::format("{:.1f}", load.acceptedPerS)},
                          {"owed_per_s", fmt::format("{:.1f}", load.owedPerS)},
                          {"wait_ms", fmt::to_string(load.wait.count())},
                          {"objective_ms", fmt::to_string(load.objective.count())},
                          {"admitted_permille", fmt::to_string(hold.admittedPermille)}});
            }
        }
        for (const auto &[id, hold] : before) {
            if (!admission.holds.contains(id)) {
                logEvent(events::accountAdmitted,
                         {{"account", id.text()}, {"shard", fmt::to_string(shard.index)}});
            }
        }
        if (admission.holds != before) {
            hooks.publishHolds(admission.holds);
        }
    }

    // Deletes jobs from the store whose retention has ended. The submission is deleted before the
    // progress: a job without progress looks like one that has never run.
    void deleteForgottenJobs()
    {
        if (engine.forgotten.empty() || isDeleting) {
            return;
        }
        isDeleting = true;
        AppendRequest request;
        request.log = Log::Jobs;
        request.partition = jobPartition(engine.forgotten.front(), runtime.settings.jobPartitions);
        std::vector<engine::JobId> ids;
        std::erase_if(engine.forgotten, [&](const engine::JobId &id) {
            const bool isHere =
                    ids.size() < maxDeletionsPerCall
                    && jobPartition(id, runtime.settings.jobPartitions) == request.partition;
            if (isHere) {
                ids.push_back(id);
            }
            return isHere;
        });
        for (const engine::JobId &id : ids) {
            for (StoredRecord &record : tombstones(id)) {
                request.records.push_back(std::move(record));
            }
        }
        runtime.store.append(std::move(request),
                             guarded([ids](State &self, const AppendOutcome &outcome) {
                                 self.isDeleting = false;
                                 for (const engine::JobId &id : ids) {
                                     if (outcome.result == AppendResult::Stored) {
                                         self.engine.pendingRecords.push_back({id.text(), {}});
                                     } else {
                                         self.engine.forgotten.push_back(id);
                                     }
                                 }
                             }));
    }

    ownership::StartEvidence startEvidence() const
    {
        return {hooks.isOwner(), feed ? feed->currentAsOf() : TimePoint{}};
    }

    bool mayStart(TimePoint recordedAt) const
    {
        return ownership::sendingHold(startEvidence(), recordedAt, startLimits, steadyNow())
               == ownership::StartHold::None;
    }

    // Whether starts may be planned. Logs when they no longer may, because the log of cancellations
    // is not read in time, and when they may again.
    bool mayPlan(TimePoint now)
    {
        const ownership::StartEvidence evidence = startEvidence();
        const ownership::StartHold hold = ownership::planningHold(evidence, startLimits, now);
        if (hold == ownership::StartHold::CancellationsUnread && !startsHeldSince) {
            startsHeldSince = now;
            logEvent(events::startsHeld,
                     {{"epoch", fmt::to_string(predecessor.epoch)},
                      {"read_ms_ago", fmt::to_string((now - evidence.cancellationsReadAt).count())},
                      {"shard", fmt::to_string(shard.index)}});
        } else if (hold == ownership::StartHold::None && startsHeldSince) {
            logEvent(events::startsResumed,
                     {{"epoch", fmt::to_string(predecessor.epoch)},
                      {"held_ms", fmt::to_string((now - *startsHeldSince).count())},
                      {"shard", fmt::to_string(shard.index)}});
            startsHeldSince.reset();
        }
        return hold == ownership::StartHold::None;
    }

    // Plans, sends commands and writes progress as the last events require.
    void pump()
    {
        if (!isLoaded || isPumping) {
            return;
        }
        isPumping = true;
        const TimePoint now = steadyNow();
        engine.mayStart = mayPlan(now);
        const bool isActing = !hooks.mayHaveResigned();
        if (isActing && engine.needsPlan && engine::mayPlan(planPacing, now)) {
            const LoadMeter::Section section(runtime.load, OwnerWork::Plan);
            const auto begunAt = std::chrono::steady_clock::now();
            engine::evacuate(engine, now);
            engine::separateFillers(engine, now);
            engine::planStarts(engine, now);
            engine::recordPlan(planPacing, now,
                               std::chrono::duration_cast<std::chrono::microseconds>(
                                       std::chrono::steady_clock::now() - begunAt));
        }
        if (isActing && now < std::max(hooks.confirmedAt(), writer.confirmedAt()) + pollingGrace) {
            {
                const LoadMeter::Section section(runtime.load, OwnerWork::Polls);
                engine::pollWorkers(engine, now);
            }
            sendCommands();
        } else {
            engine::dropCommands(engine, now);
        }
        writer.write(engine, guarded([](State &self, WriteResult result) {
                         if (result == WriteResult::Superseded) {
                             self.hooks.superseded();
                         } else {
                             self.lending.handleStored();
                             self.pump();
                         }
                     }));
        logDecisions();
        isPumping = false;
    }

    void logDecisions()
    {
        for (const engine::Decision &decision : std::exchange(engine.decisions, {})) {
            const TimePoint now = steadyNow();
            if (decision.kind == engine::DecisionKind::JobEnded) {
                const jobs::Job &job = engine.jobs.at(decision.task.job);
                const bool isDone = job.state == jobs::JobState::Completed;
                runtime.durations.record("job", isDone ? "completed" : "failed",
                                         now - job.acceptedAt);
            }
            decisionLog.write(decision, now);
        }
        decisionLog.advance(steadyNow());
        decisionLog.omit(std::exchange(engine.decisionsOmitted, 0));
        engine.decisionAllowance = decisionLog.allowance(steadyNow());
    }

    void logLoad(TimePoint now)
    {
        if (now < loadLoggedAt + loadLogPeriod) {
            return;
        }
        loadLoggedAt = now;
        logEvent(events::ownerLoad, {{"active", fmt::to_string(engine.active.size())},
                                     {"waiting", fmt::to_string(engine.waiting.size())},
                                     {"work", runtime.load.takeSummary()},
                                     {"calls", runtime.load.takeCalls()},
                                     {"shard", fmt::to_string(shard.index)}});
    }

    void sendCommands()
    {
        const LoadMeter::Section section(runtime.load, OwnerWork::Send);
        for (const engine::Command &command : std::exchange(engine.commands, {})) {
            sender.send(engine, command, guarded([](State &self) { self.schedulePump(); }));
        }
    }

    void schedulePump()
    {
        if (isPumpPending) {
            return;
        }
        isPumpPending = true;
        callAfter(runtime, responseBatchWindow, guarded([](State &self) {
                      self.isPumpPending = false;
                      self.pump();
                  }));
    }

    Runtime &runtime;
    ownership::Shard shard;
    PredecessorState predecessor;
    OwnerSessionHooks hooks;
    TimePoint loadLoggedAt{};
    engine::Engine engine;
    ProgressWriter writer;
    CommandSender sender;
    DecisionLog decisionLog;
    MachineController machines;
    CapLending lending;
    std::map<std::int64_t, pools::Wave> waves;
    std::unique_ptr<JobFeed> feed;
    std::unique_ptr<LogFollower> registryFollower;
    UnusableEntries unusableEntries;
    std::optional<TimePoint> startsHeldSince;  // the log of cancellations is read too late
    TimePoint nextPlanAt{};
    TimePoint nextAdmissionAt{};
    accounts::Admission admission;
    engine::PlanPacing planPacing;
    bool isLoaded = false;
    bool isDeleting = false;
    bool isPumping = false;
    bool isPumpPending = false;
};

OwnerSession::OwnerSession(Runtime &runtime, ownership::Shard shard,
                           const PredecessorState &predecessor, OwnerSessionHooks hooks)
    : state_(std::make_shared<State>(runtime, shard, predecessor, std::move(hooks)))
{
    state_->start();
}

OwnerSession::~OwnerSession()
{
    close();
}

void OwnerSession::close()
{
    state_->isClosed = true;
    state_->lending.close();
    state_->feed.reset();
    state_->registryFollower.reset();
}

void OwnerSession::configure(const Configuration &configuration)
{
    std::map<engine::QueueId, engine::Queue> queues;
    for (const Route &route : configuration.routes) {
        engine::Queue &queue = queues[route.policy.queue];
        queue.policy = route.policy;
        queue.isPublic = queue.isPublic && route.isPublic;
    }
    engine::configure(state_->engine, std::move(queues), configuration.services);
    state_->lending.configure(configuration.accounts);
}

void OwnerSession::applyWave(const pools::Wave &wave)
{
    state_->waves[wave.number] = wave;
    if (state_->isLoaded) {
        state_->machines.applyWave(wave);
    }
}

bool OwnerSession::isLoaded() const
{
    return state_->isLoaded;
}

bool OwnerSession::isCurrent(TimePoint now) const
{
    return state_->isLoaded && state_->feed->currentAsOf() + maxFeedAge >= now;
}

std::optional<jobs::JobState> OwnerSession::stateOf(const engine::QueueId &queue,
                                                    const engine::JobId &id,
                                                    const AccountId &caller) const
{
    return engine::stateOf(state_->engine, queue, id, caller);
}

int OwnerSession::waitingJobs(const engine::QueueId &queue) const
{
    return engine::waitingJobs(state_->engine, queue);
}

void OwnerSession::respondToLoans(const std::string &request, const LoanRespond &done) const
{
    state_->lending.respond(request, done);
}

std::vector<std::string> OwnerSession::explainJob(const engine::JobId &id) const
{
    return engine::explainJob(state_->engine, id, steadyNow());
}

std::string OwnerSession::metrics() const
{
    return sessionMetrics(state_->engine, state_->shard.index, state_->unusableEntries.count,
                          state_->feed ? state_->feed->progressWithoutJob() : 0, steadyNow())
           + state_->machines.metrics() + state_->lending.metrics();
}

}  // namespace poplarstream::edge
