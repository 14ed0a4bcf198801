#include "poplarstream/edge/owner_session.hpp"

#include <algorithm>  // for max

#include <fmt/format.h>  // for format

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/decision_log.hpp"  // for DecisionLog
#include "poplarstream/edge/job_feed.hpp"  // for JobFeed
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/edge/machine_duty.hpp"  // for MachineDuty
#include "poplarstream/edge/order_sender.hpp"  // for OrderSender
#include "poplarstream/edge/progress_writer.hpp"  // for ProgressWriter
#include "poplarstream/edge/stored_jobs.hpp"  // for dropRecords
#include "poplarstream/engine/evacuation.hpp"  // for evacuate
#include "poplarstream/engine/job_events.hpp"  // for submitJob, cancelJob, tickJobs
#include "poplarstream/engine/job_queries.hpp"  // for stateOf, waitingJobs
#include "poplarstream/engine/planning.hpp"  // for planStarts
#include "poplarstream/engine/worker_events.hpp"  // for registerWorker, deregisterWorker
#include "poplarstream/engine/worker_health.hpp"  // for rescheduleStragglers
#include "poplarstream/engine/worker_polling.hpp"  // for pollWorkers
#include "poplarstream/telemetry/event_kinds.hpp"  // for ownerLoaded, recordUnreadable

namespace poplarstream::edge {

namespace {

// Orders are given this long after the last confirmed renewal to keep what runs alive through an
// outage of the store. A successor waits as long before it gives up a silent worker.
constexpr Milliseconds extendFor{8000};
// A start is sent this soon after its record was written, or planned again. A successor that comes
// in between reads the record.
constexpr Milliseconds startsFreshFor{1500};
constexpr Milliseconds tick{40};
// Waiting tasks are looked at again this often, for delays that have passed.
constexpr Milliseconds planPeriod{100};
// Events that come within this time are planned for together: a plan looks at every waiting job.
constexpr Milliseconds planGap{8};
// Answers that arrive together are worked off together.
constexpr Milliseconds pumpGap{4};
// The registry is read this often: a machine that was moved waits for it before it gets tasks.
constexpr Milliseconds registryPause{120};
// From an order to the moment at which the renewal before it is read elsewhere.
constexpr Milliseconds renewalLag{500};
// A lookup of an unknown job is answered with certainty only from a feed as fresh as this.
constexpr Milliseconds feedAge{2500};

// Owners name machines in the renewal right before they order them.
std::map<pools::MachineId, TimePoint> restingMachines(const Inheritance &inheritance,
                                                      const engine::EngineLimits &limits)
{
    std::map<pools::MachineId, TimePoint> resting;
    for (const auto &[id, orderedAt] : inheritance.recentMachineCommands) {
        resting[pools::MachineId(id)] = orderedAt + limits.machineLease + renewalLag;
    }
    return resting;
}

}  // namespace

struct OwnerSession::State : Closable<OwnerSession::State>
{
    State(Runtime &owner, const Inheritance &inherited, OwnerSessionHooks given)
        : runtime(owner)
        , inheritance(inherited)
        , hooks(std::move(given))
        , writer(owner, inherited.epoch, startsFreshFor)
        , sender(owner)
        , machines(owner, engine, inherited.epoch,
                   {[this] { return isLoaded && hooks.mayIssueCommands(); },
                    [this](std::vector<std::string> named, std::function<void(bool)> done) {
                        hooks.confirm(std::move(named), std::move(done));
                    }})
    {
        engine.limits = runtime.settings.limits;
        engine.token.epoch = inheritance.epoch;
    }

    // The predecessor's writes must be shut out before its progress is read.
    void start()
    {
        writer.fence(guarded([](State &self, bool isFenced) {
            if (isFenced) {
                self.load();
            } else {
                self.hooks.superseded();
            }
        }));
    }

    void load()
    {
        const TimePoint now = steadyNow();
        // The predecessor was shut out just now; until then it may have been confirmed.
        const TimePoint renewedAt = inheritance.isHandover ? now : now + extendFor;
        JobFeedEvents events;
        events.other = guarded(
                [](State &self, const StoredRecord &record) { self.machines.adopt(record); });
        events.loaded = guarded([](State &self) { self.begin(); });
        events.changed = guarded([](State &self) { self.pump(); });
        feed = std::make_unique<JobFeed>(runtime, engine, renewedAt, std::move(events));
    }

    void begin()
    {
        isLoaded = true;
        for (const auto &[number, wave] : waves) {
            machines.applyWave(wave);
        }
        machines.start(restingMachines(inheritance, engine.limits));
        logEvent(events::ownerLoaded, {{"epoch", fmt::to_string(inheritance.epoch)},
                                       {"jobs", fmt::to_string(engine.jobs.size())},
                                       {"active", fmt::to_string(engine.active.size())}});
        followRegistry();
        keepTicking();
    }

    void followRegistry()
    {
        FollowerEvents events;
        events.snapshot = guarded([](State &self, const std::vector<StoredRecord> &records,
                                     std::int64_t) { self.takeRegistry(records, true); });
        events.records = guarded([](State &self, const std::vector<StoredRecord> &records,
                                    std::int64_t) { self.takeRegistry(records, false); });
        FollowerSettings settings;
        settings.pause = registryPause;
        registryFollower =
                std::make_unique<LogFollower>(runtime, Log::Registry, settings, std::move(events));
    }

    void takeRegistry(const std::vector<StoredRecord> &records, bool isWhole)
    {
        const TimePoint now = steadyNow();
        std::set<engine::WorkerId> listed;
        for (const StoredRecord &record : records) {
            const engine::WorkerId id(record.key);
            if (!record.value) {
                engine::deregisterWorker(engine, id);
                continue;
            }
            const Result<engine::WorkerEntry> entry =
                    runtime.decode.workerEntry(record.key, *record.value);
            if (!entry) {
                ++unreadableEntries;
                continue;
            }
            listed.insert(id);
            engine::registerWorker(engine, entry.value(), now);
        }
        if (isWhole) {
            const auto newestIncarnations = engine.newestIncarnations;
            for (const auto &[id, life] : newestIncarnations) {
                if (!listed.contains(id)) {
                    engine::deregisterWorker(engine, id);
                }
            }
        }
        pump();
    }

    void keepTicking()
    {
        const TimePoint now = steadyNow();
        engine::rescheduleStragglers(engine, now);
        if (now >= nextPlanAt) {
            nextPlanAt = now + planPeriod;
            engine::tickJobs(engine, momentNow());
            dropForgotten();
            engine.needsPlan = true;
        }
        pump();
        callAfter(runtime, tick, guarded([](State &self) { self.keepTicking(); }));
    }

    // Forgets ended jobs in the store. The submission has to go before the progress: without its
    // progress a job would look as if it had never run.
    void dropForgotten()
    {
        if (engine.forgotten.empty() || isDropping) {
            return;
        }
        isDropping = true;
        const std::vector<engine::JobId> ids = std::exchange(engine.forgotten, {});
        AppendRequest request;
        request.log = Log::Jobs;
        for (const engine::JobId &id : ids) {
            for (StoredRecord &record : dropRecords(id)) {
                request.records.push_back(std::move(record));
            }
        }
        runtime.store.append(std::move(request),
                             guarded([ids](State &self, const AppendOutcome &outcome) {
                                 self.isDropping = false;
                                 for (const engine::JobId &id : ids) {
                                     if (outcome.result == AppendResult::Stored) {
                                         self.engine.pendingRecords.push_back({id.text(), {}});
                                     } else {
                                         self.engine.forgotten.push_back(id);
                                     }
                                 }
                             }));
    }

    // Plans, commands and writes whatever the last events made necessary.
    void pump()
    {
        if (!isLoaded || isPumping) {
            return;
        }
        isPumping = true;
        const TimePoint now = steadyNow();
        engine.mayStart = hooks.isInOffice();
        if (engine.needsPlan && now >= plannedAt + planGap) {
            plannedAt = now;
            engine::evacuate(engine, now);
            engine::planStarts(engine, now);
        }
        if (now < std::max(hooks.confirmedAt(), writer.confirmedAt()) + extendFor) {
            engine::pollWorkers(engine, now);
            sendOrders();
        } else {
            engine.commands.clear();
        }
        writer.write(engine, guarded([](State &self, WriteResult result) {
                         if (result == WriteResult::Superseded) {
                             self.hooks.superseded();
                         } else {
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
            journal.write(decision, now);
        }
    }

    void sendOrders()
    {
        for (const engine::Command &order : std::exchange(engine.commands, {})) {
            sender.send(engine, order, guarded([](State &self) { self.pumpSoon(); }));
        }
    }

    void pumpSoon()
    {
        if (isPumpPending) {
            return;
        }
        isPumpPending = true;
        callAfter(runtime, pumpGap, guarded([](State &self) {
                      self.isPumpPending = false;
                      self.pump();
                  }));
    }

    Runtime &runtime;
    Inheritance inheritance;
    OwnerSessionHooks hooks;
    engine::Engine engine;
    ProgressWriter writer;
    OrderSender sender;
    DecisionLog journal;
    MachineDuty machines;
    std::map<std::int64_t, pools::Wave> waves;
    std::unique_ptr<JobFeed> feed;
    std::unique_ptr<LogFollower> registryFollower;
    std::uint64_t unreadableEntries = 0;
    TimePoint nextPlanAt{};
    TimePoint plannedAt{};
    bool isLoaded = false;
    bool isDropping = false;
    bool isPumping = false;
    bool isPumpPending = false;
};

OwnerSession::OwnerSession(Runtime &runtime, const Inheritance &inheritance,
                           OwnerSessionHooks hooks)
    : state_(std::make_shared<State>(runtime, inheritance, std::move(hooks)))
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
    state_->feed.reset();
    state_->registryFollower.reset();
}

void OwnerSession::configure(const Configuration &configuration)
{
    std::map<engine::QueueId, engine::Queue> queues;
    for (const Route &route : configuration.routes) {
        queues[route.policy.queue] = {route.policy};
    }
    engine::configure(state_->engine, std::move(queues), configuration.services);
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
    return state_->isLoaded && state_->feed->currentAsOf() + feedAge >= now;
}

std::optional<jobs::JobState> OwnerSession::stateOf(const engine::QueueId &queue,
                                                    const engine::JobId &id) const
{
    return engine::stateOf(state_->engine, queue, id);
}

int OwnerSession::waitingJobs(const engine::QueueId &queue) const
{
    return engine::waitingJobs(state_->engine, queue);
}

std::string OwnerSession::metrics() const
{
    const engine::Engine &engine = state_->engine;
    return fmt::format("poplar_jobs_known {}\npoplar_jobs_active {}\npoplar_workers {}\n"
                       "poplar_registry_entries_unreadable_total {}\n",
                       engine.jobs.size(), engine.active.size(), engine.workers.size(),
                       state_->unreadableEntries);
}

}  // namespace poplarstream::edge
