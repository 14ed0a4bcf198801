#include "poplarstream/edge/worker_registry.hpp"

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture

namespace poplarstream::edge {
namespace {

using engine::test::EngineFixture;
using engine::test::firstJob;
using engine::test::step;
using engine::test::submission;

constexpr std::int64_t nowUnixMs = 1'700'000'000'000;
constexpr std::int64_t dayMs = 24LL * 3600 * 1000;

// An entry "START SERVICE" is readable; one that does not begin with a digit is odd.
DecoderPort testDecoder()
{
    DecoderPort decoder;
    decoder.workerEntry = [](const std::string &key,
                             const std::string &text) -> Result<engine::WorkerEntry> {
        if (text.empty() || text[0] < '0' || text[0] > '9') {
            return Failure{"not an entry: " + text, {}};
        }
        const std::size_t space = text.find(' ');
        engine::WorkerEntry entry;
        entry.incarnation = {engine::WorkerId(key), std::stoll(text.substr(0, space))};
        entry.service = ServiceId(text.substr(space + 1));
        entry.address = "10.0.0.1:80";
        entry.capacity = {4000, 10'000, 0};
        entry.clockMs = 5000;
        return entry;
    };
    return decoder;
}

// An owner with two workers, "w1" and "w2", that follows the registry.
struct RegistryFixture : EngineFixture
{
    DecoderPort decoder = testDecoder();
    ownership::Shard shard;
    UnusableEntries unusable;

    std::vector<Failure> apply(const std::vector<StoredRecord> &records, bool isSnapshot = false)
    {
        return applyRegistry(engine, unusable, decoder, shard, records, isSnapshot,
                             {now, nowUnixMs});
    }

    // The workers on which the tasks of a new job start.
    std::vector<std::string> workersOfNewTasks(const std::string &job, const jobs::StepSpec &tasks)
    {
        submit(submission(job, tasks));
        std::vector<std::string> ids;
        for (const engine::StartCommand &command : startAll()) {
            ids.push_back(command.target.worker.id.text());
        }
        return ids;
    }
};

using Ids = std::vector<std::string>;

// Guards against odd entries of another writer that keep the good ones from being used, or stop the
// owner from following the registry.
TEST(WorkerRegistry, OddEntriesAmongGoodOnes)
{
    SCOPED_TRACE("given a snapshot with an odd entry before, between and after good ones");
    RegistryFixture fixture;
    const std::vector<StoredRecord> snapshot = {{"a", std::string(5'000'000, '['), 1},
                                                {"w1", "1 shop", 2},
                                                {std::string("\0\xff", 2), "odd", 3},
                                                {"w2", "1 shop", 4},
                                                {"z", "", 5}};
    const auto toLog = fixture.apply(snapshot, true);
    EXPECT_EQ(fixture.unusable.count, 3U);
    {
        SCOPED_TRACE("then each odd entry is named in a short text");
        ASSERT_EQ(toLog.size(), 3U);
        EXPECT_EQ(toLog[0].field, "a");
        EXPECT_LT(toLog[0].message.size(), 200U);
        EXPECT_EQ(toLog[1].field, "??");
    }
    {
        SCOPED_TRACE("then the next good entry is used, and the others stay in use");
        fixture.apply({{"a", "odd again", 6}, {"w3", "1 shop", 7}});
        fixture.poll();
        fixture.answerPolls();
        EXPECT_EQ(fixture.workersOfNewTasks(firstJob, step(4, 4000)), (Ids{"w1", "w2", "w3"}));
    }
}

// Guards against a log that fills with the same entry, since the registry is read many times a
// second and an owner's snapshot contains all entries.
TEST(WorkerRegistry, EachEntryIsReportedOnce)
{
    RegistryFixture fixture;
    EXPECT_EQ(fixture.apply({{"a", "odd", 1}}).size(), 1U);
    EXPECT_EQ(fixture.apply({{"a", "odd", 2}}).size(), 0U);
    EXPECT_EQ(fixture.apply({{"a", "still odd", 3}}, true).size(), 0U);
    {
        SCOPED_TRACE("an entry that was removed and comes back is reported again");
        fixture.apply({{"a", {}, 4}});
        EXPECT_EQ(fixture.apply({{"a", "odd", 5}}).size(), 1U);
    }
    {
        SCOPED_TRACE("the memory of reported entries is bounded");
        std::vector<StoredRecord> many;
        for (int i = 0; i < 1000; ++i) {
            many.push_back({std::to_string(i), "odd", i});
        }
        EXPECT_EQ(fixture.apply(many).size(), maxReportedEntries - 1);
        EXPECT_EQ(fixture.unusable.reported.size(), maxReportedEntries);
    }
}

// Guards against new tasks for a worker whose newest entry names no worker to use, and against
// tasks that are released or started again although nothing says that their worker has ended.
TEST(WorkerRegistry, WorkerWithOddEntryKeepsItsTasks)
{
    for (const char *odd : {"odd", "1 unconfigured"}) {
        SCOPED_TRACE(std::string("given a worker with a task and room for more, and the entry ")
                     + odd);
        RegistryFixture fixture;
        fixture.apply({{"w1", "1 shop", 1}, {"w2", "1 shop", 2}}, true);
        fixture.submit(submission(firstJob, step(1, 1000)));
        const auto starts = fixture.startAll();
        ASSERT_EQ(starts.size(), 1U);
        const std::string id = starts[0].target.worker.id.text();
        const std::string other = id == "w1" ? "w2" : "w1";
        const auto running = engine::RunningReport{starts[0].task, starts[0].run, "", 10, 0};
        fixture.apply({{id, odd, 3}});
        {
            SCOPED_TRACE("when it goes on answering for longer than a lease");
            for (int i = 0; i < 20; ++i) {
                fixture.now += Milliseconds{500};
                fixture.poll();
                if (fixture.worker(id).isPolling) {
                    fixture.answer(id, {running});
                }
            }
            {
                SCOPED_TRACE("then its task stays, and another starts on the other worker only");
                EXPECT_EQ(fixture.job().occurrences.at(0).steps[0][0].attempts.size(), 1U);
                EXPECT_TRUE(fixture.worker(id).lapsedRuns.empty());
                EXPECT_EQ(fixture.workersOfNewTasks(engine::test::secondJob, step(2, 1000)),
                          (Ids{other, other}));
            }
            {
                SCOPED_TRACE("then it is used again after a readable entry");
                fixture.apply({{id, "1 shop", 4}});
                EXPECT_EQ(fixture.workersOfNewTasks("00000000000000c3", step(1, 3000)), Ids{id});
            }
        }
    }
}

// Guards against a living worker that counts as ended, so that its tasks start a second time,
// because an entry of another writer gives an absurd start for its id.
TEST(WorkerRegistry, AbsurdStartEndsNoWorker)
{
    for (const std::int64_t born :
         {nowUnixMs + 2 * dayMs, std::int64_t{1} << 50, std::int64_t{0}}) {
        SCOPED_TRACE(born);
        RegistryFixture fixture;
        fixture.apply({{"w1", "1 shop", 1}, {"w2", "1 shop", 2}}, true);
        fixture.submit(submission(firstJob, step(1, 1000)));
        const auto starts = fixture.startAll();
        ASSERT_EQ(starts.size(), 1U);
        const std::string id = starts[0].target.worker.id.text();
        fixture.apply({{id, std::to_string(born) + " shop", 3}});
        fixture.now += Milliseconds{500};
        fixture.poll();
        EXPECT_FALSE(fixture.worker(id).isGone);
        EXPECT_EQ(fixture.job().occurrences.at(0).steps[0][0].attempts.size(), 1U);
        EXPECT_EQ(fixture.engine.newestIncarnations.at(engine::WorkerId(id)),
                  EngineFixture::incarnation(id));
    }
}

// Guards against two owners that command the same worker: each uses only the workers of its shard.
TEST(WorkerRegistry, WorkersOfOtherShardsAreLeftOut)
{
    SCOPED_TRACE("given a deployment of four shards");
    std::map<std::string, int> owners;
    for (int index = 0; index < 4; ++index) {
        RegistryFixture fixture;
        fixture.shard = {index, 4};
        fixture.decoder.workerEntry = [](const std::string &key, const std::string &rack) {
            engine::WorkerEntry entry;
            entry.incarnation = {engine::WorkerId(key), 1};
            entry.rack = RackId(rack);
            return Result<engine::WorkerEntry>(entry);
        };
        {
            SCOPED_TRACE("when the owner of each reads the same entries");
            std::vector<StoredRecord> entries;
            for (int rack = 0; rack < 8; ++rack) {
                entries.push_back({fmt::format("x{}", rack), fmt::format("r1-{}", rack), rack});
            }
            EXPECT_TRUE(fixture.apply(entries, true).empty());
            for (const auto &[incarnation, worker] : fixture.engine.workers) {
                owners[incarnation.id.text()] += worker.isListed ? 1 : 0;
            }
        }
    }
    {
        SCOPED_TRACE("then each worker is used by one of them");
        for (int rack = 0; rack < 8; ++rack) {
            EXPECT_EQ(owners[fmt::format("x{}", rack)], 1);
        }
    }
}

}  // namespace
}  // namespace poplarstream::edge
