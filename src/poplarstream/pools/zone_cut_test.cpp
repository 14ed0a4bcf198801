#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/batches.hpp"  // for Batch
#include "poplarstream/pools/two_zones_fixture.hpp"  // for TwoZones

namespace poplarstream::pools {
namespace {

using namespace test;

// Guards against tasks that run twice: a zone is cut off, its workers live on, and the platform,
// which does not reach it either, lists its machines without workers.
TEST(ZoneCut, WorkersThatTheListLacksKeepTheirTasks)
{
    for (const Row row : allRows) {
        SCOPED_TRACE("given two zones with a task on each worker");
        TwoZones zones(row);
        zones.startEverywhere();
        {
            SCOPED_TRACE(
                    "when a list lacks the workers of one, of which one is known to be silent");
            zones.cutZone();
            zones.fixture.leavePollUnanswered("w1");
            zones.list();
            EXPECT_FALSE(zones.isGone(1));
            EXPECT_TRUE(zones.fixture.start().empty());
        }
        {
            SCOPED_TRACE("and later ones, while all of them are silent");
            for (int i = 2; i <= workersPerZone; ++i) {
                zones.fixture.leavePollUnanswered(TwoZones::nameOf(i));
            }
            zones.listFor(Milliseconds{4000});
            EXPECT_FALSE(zones.isGone(1));
            EXPECT_TRUE(zones.fixture.start().empty());
        }
        {
            SCOPED_TRACE("then their tasks wait until their leases have lapsed");
            zones.fixture.now +=
                    engine::lapseAfter(zones.fixture.engine, timePoint(0)) - timePoint(0);
            zones.fixture.poll();
            EXPECT_TRUE(zones.fixture.engine.jobs.at(JobId(firstJob))
                                .occurrences.at(0)
                                .steps[0][0]
                                .attempts.empty());
        }
    }
}

// Guards against commands that take tasks away: the machines of a zone that is cut off are listed
// without their workers, and look empty to a new owner.
TEST(ZoneCut, MachinesOfASilentZoneGetNoCommand)
{
    SCOPED_TRACE("given a task on each worker of two zones, and a wave over all machines");
    TwoZones zones(Row::WithoutWorker);
    zones.startEverywhere();
    zones.cutZone();
    Wave wave;
    wave.number = 1;
    wave.cap = workerCount;
    wave.duration = Milliseconds{20'000};
    for (int i = 1; i <= workersPerZone; ++i) {
        wave.machines.emplace_back("m" + std::to_string(i));
        zones.fixture.leavePollUnanswered(TwoZones::nameOf(i));
    }
    {
        SCOPED_TRACE("when an owner has never seen which workers the machines of one zone have");
        zones.pools = Pools{};
        applyWave(zones.pools, wave, {}, zones.fixture.now);
        zones.list();
        EXPECT_TRUE(planMachines(zones.pools, zones.fixture.engine, zones.fixture.now).empty());
    }
    {
        SCOPED_TRACE("then they get commands once the zone is back and they are listed as empty");
        zones.unlisted.clear();
        for (int i = 1; i <= workersPerZone; ++i) {
            zones.fixture.poll();
            zones.fixture.answer(TwoZones::nameOf(i));
        }
        zones.fixture.now += listPeriod;
        zones.list();
        EXPECT_FALSE(planMachines(zones.pools, zones.fixture.engine, zones.fixture.now).empty());
    }
}

// Guards against tasks of a crashed worker that wait for its lease although the rest of its zone
// answers.
TEST(ZoneCut, WorkerOfALivingZoneIsEndedByOneList)
{
    for (const Row row : {Row::WithoutWorker, Row::Down}) {
        SCOPED_TRACE("given two zones with a task on each worker");
        TwoZones zones(row);
        zones.startEverywhere();
        {
            SCOPED_TRACE("when one worker is silent and its machine is listed without it");
            zones.fixture.leavePollUnanswered("w1");
            zones.unlisted.insert(1);
            zones.list();
            {
                SCOPED_TRACE("then it has ended");
                EXPECT_TRUE(zones.isGone(1));
                EXPECT_FALSE(zones.isGone(2));
            }
        }
    }
}

// Guards against tasks that run twice in a zone with little work: the idle workers of a zone that
// is cut off are not polled, so only the list shows that they are away as well.
TEST(ZoneCut, OnlyBusyWorkerOfAZoneKeepsItsTask)
{
    for (const Row row : allRows) {
        SCOPED_TRACE("given a task on one of the four workers of a zone");
        TwoZones zones(row);
        zones.fixture.submit(submission(firstJob, step(1, 3000)));
        const auto starts = zones.fixture.startAll();
        ASSERT_EQ(starts.size(), 1U);
        zones.fixture.poll();
        zones.fixture.now += Milliseconds{100};
        const std::string busy = starts[0].target.worker.id.text();
        ASSERT_EQ(zones.fixture.worker(busy).entry.zone, ZoneId("a"));
        {
            SCOPED_TRACE("when it does not respond and the lists lack all workers of the zone");
            zones.cutZone();
            zones.fixture.leavePollUnanswered(busy);
            zones.listFor(Milliseconds{4000});
            {
                SCOPED_TRACE("then its task does not start elsewhere before its lease has lapsed");
                EXPECT_FALSE(zones.fixture.worker(busy).isGone);
                EXPECT_TRUE(zones.fixture.start().empty());
            }
        }
    }
}

// Guards against lasting tasks of dead workers that wait for their leases after a takeover because
// they were started before a list had shown the machine of their worker.
TEST(ZoneCut, MachineOfALastingRunIsStoredOnceAListShowsIt)
{
    SCOPED_TRACE("given a lasting task on each worker, started while no machine was known");
    TwoZones zones(Row::WithoutWorker);
    zones.forgetMachines();
    jobs::StepSpec lasting = step(workerCount, 3000);
    lasting.longRunning = true;
    zones.fixture.submit(submission(firstJob, lasting));
    ASSERT_EQ(zones.fixture.startAll().size(), static_cast<std::size_t>(workerCount));
    zones.fixture.store();
    {
        SCOPED_TRACE("when a list shows the machines");
        zones.fixture.now += listPeriod;
        zones.list();
        {
            SCOPED_TRACE("then they are stored, once");
            const engine::Batch batch = zones.fixture.store();
            ASSERT_EQ(batch.records.size(), 1U);
            EXPECT_NE(batch.records[0].value.value_or("").find("\"m8\""), std::string::npos);
            zones.fixture.now += listPeriod;
            zones.list();
            EXPECT_TRUE(zones.fixture.store().records.empty());
        }
    }
}

// Guards against tasks that run twice when a cut ends: the workers of the zone respond, and are
// listed again, one after the other.
TEST(ZoneCut, LastWorkersOfAReturningZoneKeepTheirTasks)
{
    SCOPED_TRACE("given a zone that is silent");
    TwoZones zones(Row::WithoutWorker);
    zones.startEverywhere();
    zones.cutZone();
    for (int i = 1; i <= workersPerZone; ++i) {
        zones.fixture.leavePollUnanswered(TwoZones::nameOf(i));
    }
    zones.listFor(Milliseconds{2000});
    ASSERT_FALSE(zones.isGone(1));
    {
        SCOPED_TRACE("when half of its workers are back, and the next list lacks the others");
        zones.fixture.poll();
        for (int i = 3; i <= workersPerZone; ++i) {
            zones.answerWithRuns(i);
            zones.unlisted.erase(i);
        }
        zones.fixture.now += Milliseconds{10};
        zones.list();
        {
            SCOPED_TRACE("then those keep their tasks");
            EXPECT_FALSE(zones.isGone(1));
            EXPECT_FALSE(zones.isGone(2));
            EXPECT_TRUE(zones.fixture.start().empty());
        }
    }
}

}  // namespace
}  // namespace poplarstream::pools
