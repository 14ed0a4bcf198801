#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/pools/two_zones_fixture.hpp"  // for TwoZones

namespace poplarstream::pools {
namespace {

using namespace test;

// Guards against tasks that run twice after a takeover: the new owner has had no response from any
// worker of the zone in which its predecessor lives on.
TEST(ZoneCut, SuccessorKeepsTheTasksOfWorkersThatItsListsLack)
{
    for (const Row row : allRows) {
        SCOPED_TRACE("given the progress of an owner with a task on each worker of two zones");
        const std::string stored = progressOfPredecessor(row);
        TwoZones zones(row);
        const TimePoint lapsedAt = zones.fixture.now + Milliseconds{13'000};
        zones.adopt(stored, lapsedAt);
        for (int i = 1; i <= workersPerZone; ++i) {
            engine::Worker &worker = zones.fixture.worker(TwoZones::nameOf(i));
            worker.reachability = engine::Reachability::Unconfirmed;
            worker.answeredAt = {};
        }
        {
            SCOPED_TRACE("when its lists lack the workers of one zone, which do not respond");
            zones.cutZone();
            zones.listFor(Milliseconds{4000});
            EXPECT_TRUE(zones.fixture.start().empty());
            EXPECT_FALSE(zones.isGone(1));
        }
        {
            SCOPED_TRACE("then nothing starts again before the last lease has lapsed");
            zones.fixture.now = lapsedAt - Milliseconds{1};
            zones.fixture.poll();
            EXPECT_TRUE(zones.fixture.start().empty());
        }
    }
}

// Guards against tasks that run twice after a takeover: the registry entries of a zone that is cut
// off have expired, so the new owner knows neither zone nor address of its workers.
TEST(ZoneCut, SuccessorKeepsTheTasksOfWorkersWithoutEntries)
{
    for (const Row row : allRows) {
        for (const auto &progress : {progressOfPredecessor, progressWithoutMachines}) {
            SCOPED_TRACE("given the progress of an owner with a task on each worker of two zones");
            TwoZones zones(row);
            zones.pools = Pools{};
            zones.forgetEntries();
            const TimePoint lapsedAt = zones.fixture.now + Milliseconds{13'000};
            zones.adopt(progress(row), lapsedAt);
            {
                SCOPED_TRACE("when registry and lists lack the workers of one zone");
                zones.cutZone();
                zones.fixture.poll();
                zones.listFor(Milliseconds{4000});
                {
                    SCOPED_TRACE("then nothing starts again before the last lease has lapsed");
                    EXPECT_FALSE(zones.isGone(1));
                    EXPECT_TRUE(zones.fixture.start().empty());
                }
            }
        }
    }
}

// Guards against a task that runs twice after a takeover: its worker is the only one with tasks in
// a zone that is cut off, its registry entry has expired, and the list shows its machine without
// it.
TEST(ZoneCut, SuccessorKeepsTheOnlyTaskOfAZoneWithoutEntries)
{
    for (const Row row : {Row::WithoutWorker, Row::Down}) {
        SCOPED_TRACE("given the progress of an owner with one task, on a worker of zone a");
        TwoZones before(row);
        before.fixture.submit(submission(firstJob, step(1, 3000)));
        const auto starts = before.fixture.startAll();
        ASSERT_EQ(starts.size(), 1U);
        const std::string busy = starts[0].target.worker.id.text();
        ASSERT_EQ(before.fixture.worker(busy).entry.zone, ZoneId("a"));
        const std::string stored = jobs::encodeProgress(before.fixture.job());
        {
            SCOPED_TRACE("when registry and lists of the next one lack the workers of the zone");
            TwoZones zones(row);
            zones.pools = Pools{};
            zones.forgetEntries();
            zones.fixture.submit(submission(firstJob, step(1, 3000)));
            ASSERT_TRUE(engine::adoptProgress(zones.fixture.engine, JobId(firstJob), stored,
                                              zones.fixture.now + Milliseconds{13'000},
                                              zones.fixture.now));
            zones.cutZone();
            zones.listFor(Milliseconds{4000});
            {
                SCOPED_TRACE("then the task does not start elsewhere");
                EXPECT_FALSE(zones.fixture.worker(busy).isGone);
                EXPECT_TRUE(zones.fixture.start().empty());
            }
        }
    }
}

// Guards against tasks of dead workers that wait for their leases after a takeover: no worker has
// responded to the new owner when it reads its first list, so that each zone looked silent.
TEST(ZoneCut, SuccessorEndsDeadWorkersOfLivingZones)
{
    for (const Row row : allRows) {
        SCOPED_TRACE("given the progress of an owner with a task on each worker of two zones");
        const std::string stored = progressOfPredecessor(row);
        TwoZones zones(row);
        zones.adopt(stored, zones.fixture.now + Milliseconds{13'000});
        zones.forgetResponses();
        {
            SCOPED_TRACE("when its first list lacks a worker before any has responded");
            zones.unlisted.insert(1);
            zones.list();
            {
                SCOPED_TRACE("then that worker is given the time to respond");
                EXPECT_FALSE(zones.isGone(1));
            }
        }
        {
            SCOPED_TRACE("when all others have responded, and later lists lack it as well");
            for (int i = 2; i <= workerCount; ++i) {
                zones.answerWithRuns(i);
            }
            zones.fixture.leavePollUnanswered("w1");
            zones.listFor(Milliseconds{4000});
            {
                SCOPED_TRACE("then it has ended, and no other");
                EXPECT_TRUE(zones.isGone(1));
                EXPECT_FALSE(zones.isGone(2));
            }
        }
    }
}

// Guards against tasks of dead workers that wait for their leases after a takeover: their registry
// entries have expired, so that the new owner could not tell which machines they had run on.
TEST(ZoneCut, SuccessorEndsWorkersWhoseMachinesHaveLaterOnes)
{
    SCOPED_TRACE("given the progress of an owner with a task on each worker of two zones");
    const std::string stored = progressOfPredecessor(Row::WithoutWorker);
    TwoZones zones(Row::WithoutWorker);
    zones.pools = Pools{};
    zones.forgetEntries();
    zones.adopt(stored, zones.fixture.now + Milliseconds{13'000});
    {
        SCOPED_TRACE("when the lists lack all workers of one zone");
        zones.cutZone();
        zones.listFor(Milliseconds{4000});
        {
            SCOPED_TRACE("then they may live on");
            EXPECT_FALSE(zones.isGone(1));
            EXPECT_FALSE(zones.isGone(2));
        }
    }
    {
        SCOPED_TRACE("when a list shows a later worker on the machine of one of them");
        zones.replaced.insert(1);
        zones.registerLater(1);
        zones.listFor(listPeriod);
        {
            SCOPED_TRACE("then that one has ended, and no other");
            EXPECT_TRUE(zones.isGone(1));
            EXPECT_FALSE(zones.isGone(2));
        }
    }
}

// Guards against commands that take lasting tasks away after a takeover: the registry entries of a
// zone that is cut off have expired, and its machines are listed without workers.
TEST(ZoneCut, SuccessorSendsNoCommandToMachinesThatMayHaveUnknownWorkers)
{
    SCOPED_TRACE("given progress that does not name the machines of its runs");
    const std::string stored = progressWithoutMachines(Row::WithoutWorker);
    TwoZones zones(Row::WithoutWorker);
    zones.pools = Pools{};
    zones.forgetEntries();
    zones.adopt(stored, zones.fixture.now + Milliseconds{13'000});
    Wave wave;
    wave.number = 1;
    wave.cap = workerCount;
    wave.duration = Milliseconds{20'000};
    for (int i = 1; i <= workersPerZone; ++i) {
        wave.machines.emplace_back("m" + std::to_string(i));
    }
    applyWave(zones.pools, wave, {}, zones.fixture.now);
    {
        SCOPED_TRACE("when it knows neither zone nor machine of the workers of one zone");
        zones.cutZone();
        zones.list();
        {
            SCOPED_TRACE("then the machines that look empty get no command");
            EXPECT_TRUE(planMachines(zones.pools, zones.fixture.engine, zones.fixture.now).empty());
        }
    }
}

}  // namespace
}  // namespace poplarstream::pools
