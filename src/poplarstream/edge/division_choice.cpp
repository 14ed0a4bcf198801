#include "poplarstream/edge/division_choice.hpp"

#include <set>  // for set

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/ownership/division.hpp"  // for shardCountFor

namespace poplarstream::edge {

namespace {

constexpr Milliseconds retryDelay{200};
// If the machine list cannot be read for this long, the registry is counted instead: nothing starts
// before the division is known.
constexpr Milliseconds machineListTimeout{5000};

}  // namespace

struct DivisionChoice::State : Closable<DivisionChoice::State>
{
    State(Runtime &sharedRuntime, std::function<void(int)> receiver)
        : runtime(sharedRuntime)
        , done(std::move(receiver))
    {}

    void readProgress()
    {
        runtime.store.newest(Log::Progress, 0, {},
                             guarded([](State &self, const NewestOutcome &outcome) {
                                 self.handleProgress(outcome);
                             }));
    }

    void handleProgress(const NewestOutcome &outcome)
    {
        if (!outcome.isRead) {
            callAfter(runtime, retryDelay, guarded([](State &self) { self.readProgress(); }));
        } else if (!outcome.records.empty()) {
            done(1);
        } else if (runtime.settings.machines.port == 0) {
            countWorkers({});
        } else {
            listingSince = steadyNow();
            countMachines({});
        }
    }

    void countMachines(const std::string &page)
    {
        if (page.empty()) {
            machines.clear();
        }
        runtime.machines.list(page, guarded([](State &self, const MachinePage &response) {
                                  self.handleMachines(response);
                              }));
    }

    void handleMachines(const MachinePage &page)
    {
        if (!page.isRead) {
            if (steadyNow() >= listingSince + machineListTimeout) {
                countWorkers({});
            } else {
                callAfter(runtime, retryDelay,
                          guarded([](State &self) { self.countMachines({}); }));
            }
            return;
        }
        for (const pools::Machine &machine : page.machines) {
            machines.insert(machine.id);
        }
        if (page.nextPage.empty()) {
            finish(machines.size());
        } else {
            countMachines(page.nextPage);
        }
    }

    void countWorkers(const std::string &afterKey)
    {
        if (afterKey.empty()) {
            workers.clear();
        }
        runtime.store.newest(Log::Registry, 0, afterKey,
                             guarded([](State &self, const NewestOutcome &outcome) {
                                 self.handleWorkers(outcome);
                             }));
    }

    void handleWorkers(const NewestOutcome &outcome)
    {
        const bool isUsable = outcome.isRead && !(outcome.hasMore && outcome.records.empty());
        if (!isUsable) {
            callAfter(runtime, retryDelay, guarded([](State &self) { self.countWorkers({}); }));
            return;
        }
        for (const StoredRecord &record : outcome.records) {
            workers.insert(record.key);
        }
        if (outcome.hasMore) {
            countWorkers(outcome.records.back().key);
        } else {
            finish(workers.size());
        }
    }

    void finish(std::size_t number)
    {
        done(ownership::shardCountFor(static_cast<int>(number), runtime.settings.jobPartitions));
    }

    Runtime &runtime;
    std::function<void(int)> done;
    TimePoint listingSince{};
    std::set<pools::MachineId> machines;
    std::set<std::string> workers;
};

DivisionChoice::DivisionChoice(Runtime &runtime, std::function<void(int shardCount)> done)
    : state_(std::make_shared<State>(runtime, std::move(done)))
{
    state_->readProgress();
}

DivisionChoice::~DivisionChoice()
{
    state_->isClosed = true;
}

}  // namespace poplarstream::edge
