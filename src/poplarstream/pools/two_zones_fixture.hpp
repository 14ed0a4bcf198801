#pragma once

#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include <gtest/gtest.h>  // for ASSERT_EQ, ASSERT_TRUE

#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress
#include "poplarstream/pools/planning.hpp"  // for applyMachineList

namespace poplarstream::pools::test {

using engine::JobId;
using engine::test::EngineFixture;
using engine::test::firstJob;
using engine::test::step;
using engine::test::submission;

inline constexpr int workersPerZone = 4;
inline constexpr int workerCount = 2 * workersPerZone;
inline constexpr Milliseconds listPeriod{400};

// How a list shows the machine of a worker that the platform does not reach.
enum class Row { WithoutWorker, Down, Missing };

inline constexpr Row allRows[] = {Row::WithoutWorker, Row::Down, Row::Missing};

// Workers "w1" to "w4" in zone "a" and "w5" to "w8" in zone "b", each on a machine of its own.
struct TwoZones
{
    EngineFixture fixture;
    Pools pools;
    std::set<int> unlisted;  // numbers of workers
    std::set<int> replaced;  // numbers of workers whose machines have later ones

    explicit TwoZones(Row unreachable)
        : row(unreachable)
    {
        for (int i = 1; i <= workerCount; ++i) {
            registerWorker(i, EngineFixture::incarnation(nameOf(i)));
        }
        fixture.poll();
        fixture.answerPolls();
        list();
    }

    void registerWorker(int number, const jobs::WorkerIncarnation &incarnation)
    {
        engine::WorkerEntry entry;
        entry.incarnation = incarnation;
        entry.service = ServiceId("shop");
        entry.address = "10.0.0.1:80";
        entry.zone = zoneOf(number);
        entry.rack = RackId("rack-" + nameOf(number));
        entry.capacity = {4000, 10'000, 0};
        entry.clockMs = 5000;
        engine::registerWorker(fixture.engine, entry, fixture.now);
    }

    // Registers the worker that has followed another one on its machine.
    void registerLater(int number)
    {
        registerWorker(number, EngineFixture::incarnation(laterNameOf(number), 2));
    }

    static std::string laterNameOf(int worker) { return nameOf(worker) + "-later"; }
    static std::string nameOf(int worker) { return "w" + std::to_string(worker); }
    static ZoneId zoneOf(int worker) { return ZoneId(worker <= workersPerZone ? "a" : "b"); }

    void list()
    {
        std::vector<Machine> machines;
        for (int i = 1; i <= workerCount; ++i) {
            const bool isListed = !unlisted.contains(i);
            if (!isListed && row == Row::Missing) {
                continue;
            }
            Machine machine;
            machine.id = MachineId("m" + std::to_string(i));
            machine.pool = ServiceId("shop");
            machine.state =
                    isListed || row == Row::WithoutWorker ? MachineState::Up : MachineState::Down;
            machine.zone = zoneOf(i);
            machine.capacity = {4000, 10'000, 0};
            machine.worker = jobs::WorkerId(replaced.contains(i) ? laterNameOf(i)
                                            : isListed           ? nameOf(i)
                                                                 : "");
            machines.push_back(machine);
        }
        applyMachineList(pools, fixture.engine, machines, fixture.now, fixture.now);
    }

    // Starts a task on each worker.
    void startEverywhere()
    {
        fixture.submit(submission(firstJob, step(workerCount, 3000)));
        ASSERT_EQ(fixture.startAll().size(), static_cast<std::size_t>(workerCount));
        fixture.poll();
        fixture.now += Milliseconds{100};
    }

    // Takes the workers of zone "a" off the list. Those of the other zone could run their tasks.
    void cutZone()
    {
        for (int i = 1; i <= workersPerZone; ++i) {
            unlisted.insert(i);
            fixture.worker(nameOf(i + workersPerZone)).entry.capacity = {8000, 20'000, 0};
        }
    }

    void listFor(Milliseconds time)
    {
        for (const TimePoint end = fixture.now + time; fixture.now < end;) {
            fixture.now += listPeriod;
            list();
        }
    }

    // Submits a job with a task for each worker and adopts what a previous owner stored of it.
    void adopt(const std::string &stored, TimePoint lapsedAt)
    {
        fixture.submit(submission(firstJob, step(workerCount, 3000)));
        ASSERT_TRUE(engine::adoptProgress(fixture.engine, JobId(firstJob), stored, lapsedAt,
                                          fixture.now));
    }

    // The view of an owner that has just taken over: no worker has responded to it.
    void forgetResponses()
    {
        pools = Pools{};
        for (int i = 1; i <= workerCount; ++i) {
            engine::Worker &worker = fixture.worker(nameOf(i));
            worker.reachability = engine::Reachability::Unconfirmed;
            worker.answeredAt = {};
        }
        fixture.poll();
    }

    // Answers the outstanding poll with the runs that the worker is known to have.
    void answerWithRuns(int worker)
    {
        std::vector<engine::RunningReport> running;
        for (const auto &[ref, poll] : fixture.worker(nameOf(worker)).attempts) {
            engine::RunningReport report;
            report.task = ref.task;
            report.run = ref.run;
            running.push_back(report);
        }
        fixture.answer(nameOf(worker), running);
    }

    // As after records of a version that did not store the machines of runs.
    void forgetMachines()
    {
        for (auto &[incarnation, worker] : fixture.engine.workers) {
            worker.machine = {};
        }
    }

    // Removes what registry entries told of the workers of zone "a".
    void forgetEntries()
    {
        for (int i = 1; i <= workersPerZone; ++i) {
            fixture.engine.workers.erase(EngineFixture::incarnation(nameOf(i)));
            fixture.engine.newestIncarnations.erase(jobs::WorkerId(nameOf(i)));
        }
    }

    bool isGone(int worker) { return fixture.worker(nameOf(worker)).isGone; }

    Row row;
};

// The stored progress of an owner with a task on each worker of two zones.
inline std::string progressOfPredecessor(Row row)
{
    TwoZones zones(row);
    zones.startEverywhere();
    return jobs::encodeProgress(zones.fixture.job());
}

// The same, written by a version that did not store the machines of runs.
inline std::string progressWithoutMachines(Row row)
{
    TwoZones zones(row);
    zones.forgetMachines();
    zones.startEverywhere();
    return jobs::encodeProgress(zones.fixture.job());
}

}  // namespace poplarstream::pools::test
