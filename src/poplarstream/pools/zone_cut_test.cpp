#include <set>  // for set

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/batches.hpp"  // for Batch
#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress
#include "poplarstream/pools/planning.hpp"  // for applyMachineList

namespace poplarstream::pools {
namespace {

using engine::JobId;
using engine::test::EngineFixture;
using engine::test::firstJob;
using engine::test::step;
using engine::test::submission;

constexpr int workersPerZone = 4;
constexpr int workerCount = 2 * workersPerZone;
constexpr Milliseconds listPeriod{400};

// How a list shows the machine of a worker that the platform does not reach.
enum class Row { WithoutWorker, Down, Missing };

constexpr Row allRows[] = {Row::WithoutWorker, Row::Down, Row::Missing};

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

// Guards against tasks that run twice after a takeover: the new owner has had no response from any
// worker of the zone in which its predecessor lives on.
TEST(ZoneCut, SuccessorKeepsTheTasksOfWorkersThatItsListsLack)
{
    for (const Row row : allRows) {
        SCOPED_TRACE("given the progress of an owner with a task on each worker of two zones");
        TwoZones before(row);
        before.startEverywhere();
        const std::string stored = jobs::encodeProgress(before.fixture.job());
        TwoZones zones(row);
        engine::Engine &engine = zones.fixture.engine;
        zones.fixture.submit(submission(firstJob, step(workerCount, 3000)));
        const TimePoint lapsedAt = zones.fixture.now + Milliseconds{13'000};
        ASSERT_TRUE(engine::adoptProgress(engine, JobId(firstJob), stored, lapsedAt,
                                          zones.fixture.now));
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

// Guards against tasks that run twice after a takeover: the registry entries of a zone that is cut
// off have expired, so the new owner knows neither zone nor address of its workers.
TEST(ZoneCut, SuccessorKeepsTheTasksOfWorkersWithoutEntries)
{
    for (const Row row : allRows) {
        SCOPED_TRACE("given the progress of an owner with a task on each worker of two zones");
        TwoZones before(row);
        before.startEverywhere();
        const std::string stored = jobs::encodeProgress(before.fixture.job());
        TwoZones zones(row);
        engine::Engine &engine = zones.fixture.engine;
        zones.pools = Pools{};
        zones.forgetEntries();
        zones.fixture.submit(submission(firstJob, step(workerCount, 3000)));
        const TimePoint lapsedAt = zones.fixture.now + Milliseconds{13'000};
        ASSERT_TRUE(engine::adoptProgress(engine, JobId(firstJob), stored, lapsedAt,
                                          zones.fixture.now));
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

// Guards against tasks of dead workers that wait for their leases after a takeover: no worker has
// responded to the new owner when it reads its first list, so that each zone looked silent.
TEST(ZoneCut, SuccessorEndsDeadWorkersOfLivingZones)
{
    for (const Row row : allRows) {
        SCOPED_TRACE("given the progress of an owner with a task on each worker of two zones");
        TwoZones before(row);
        before.startEverywhere();
        const std::string stored = jobs::encodeProgress(before.fixture.job());
        TwoZones zones(row);
        zones.fixture.submit(submission(firstJob, step(workerCount, 3000)));
        ASSERT_TRUE(engine::adoptProgress(zones.fixture.engine, JobId(firstJob), stored,
                                          zones.fixture.now + Milliseconds{13'000},
                                          zones.fixture.now));
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
    TwoZones before(Row::WithoutWorker);
    before.startEverywhere();
    const std::string stored = jobs::encodeProgress(before.fixture.job());
    TwoZones zones(Row::WithoutWorker);
    zones.pools = Pools{};
    zones.forgetEntries();
    zones.fixture.submit(submission(firstJob, step(workerCount, 3000)));
    ASSERT_TRUE(engine::adoptProgress(zones.fixture.engine, JobId(firstJob), stored,
                                      zones.fixture.now + Milliseconds{13'000}, zones.fixture.now));
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

// Guards against commands that take lasting tasks away after a takeover: the registry entries of a
// zone that is cut off have expired, and its machines are listed without workers.
TEST(ZoneCut, SuccessorSendsNoCommandToMachinesThatMayHaveUnknownWorkers)
{
    SCOPED_TRACE("given progress that does not name the machines of its runs");
    TwoZones before(Row::WithoutWorker);
    before.forgetMachines();
    before.startEverywhere();
    const std::string stored = jobs::encodeProgress(before.fixture.job());
    TwoZones zones(Row::WithoutWorker);
    zones.pools = Pools{};
    zones.forgetEntries();
    zones.fixture.submit(submission(firstJob, step(workerCount, 3000)));
    ASSERT_TRUE(engine::adoptProgress(zones.fixture.engine, JobId(firstJob), stored,
                                      zones.fixture.now + Milliseconds{13'000}, zones.fixture.now));
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
