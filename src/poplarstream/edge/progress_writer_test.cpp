#include "poplarstream/edge/progress_writer.hpp"

#include <algorithm>  // for any_of
#include <map>  // for map
#include <utility>  // for exchange

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture

namespace poplarstream::edge {
namespace {

using engine::test::firstJob;
using engine::test::step;
using engine::test::submission;

// A store that records append requests and responds when the test says so.
struct Store
{
    std::vector<AppendRequest> requests;
    std::vector<std::function<void(AppendOutcome)>> callbacks;

    StorePort port()
    {
        StorePort port;
        port.append = [this](AppendRequest request, std::function<void(AppendOutcome)> done) {
            requests.push_back(std::move(request));
            callbacks.push_back(std::move(done));
        };
        return port;
    }

    void respond(AppendResult result)
    {
        AppendOutcome outcome;
        outcome.result = result;
        callbacks.back()(outcome);
    }
};

// An owner with one planned start whose batch has been sent to the store.
struct Owner
{
    explicit Owner(bool mayStart)
        : writer(runtime, 0, 7, [this, mayStart](TimePoint recordedAt) {
            recordedAt_ = recordedAt;
            return mayStart;
        })
    {
        fixture.submit(submission(firstJob, step(1, 1000)));
        engine::planStarts(fixture.engine, fixture.now);
        writer.write(fixture.engine, [this](WriteResult result) { result_ = result; });
        io.run();
    }

    boost::asio::io_context io;
    Store store;
    Runtime runtime{io, {}, store.port(), {}, {}, {}, {}};
    engine::test::EngineFixture fixture{1};
    ProgressWriter writer;
    std::optional<WriteResult> result_;
    std::optional<TimePoint> recordedAt_;
};

// Guards against an owner that starts nothing because its renewals are not confirmed although its
// progress is stored, when only the partition of the ownership log is unavailable.
TEST(ProgressWriter, StoredProgressConfirmsTheOwnership)
{
    Owner owner(true);
    ASSERT_EQ(owner.store.requests.size(), 1U);
    EXPECT_EQ(owner.writer.confirmedAt(), TimePoint{});
    owner.store.respond(AppendResult::Stored);
    EXPECT_GT(owner.writer.confirmedAt(), TimePoint{});
    EXPECT_EQ(owner.fixture.take<engine::StartCommand>().size(), 1U);
}

// Guards against a start that is sent long after its record was written: another owner may have
// read the record and decided about the task meanwhile.
TEST(ProgressWriter, StartOfAnOldBatchIsPlannedAgain)
{
    Owner owner(false);
    EXPECT_FALSE(owner.recordedAt_);
    owner.store.respond(AppendResult::Stored);
    EXPECT_EQ(owner.recordedAt_, owner.writer.confirmedAt()) << "asked when the record is stored";
    EXPECT_TRUE(owner.fixture.take<engine::StartCommand>().empty());
    EXPECT_TRUE(owner.fixture.job().occurrences.at(0).steps[0][0].attempts.empty());
    owner.fixture.engine.mayStart = true;
    EXPECT_EQ(owner.fixture.start().size(), 1U);
}

// Guards against a start by an owner that has been fenced.
TEST(ProgressWriter, FencedBatchSendsNothing)
{
    Owner owner(true);
    owner.store.respond(AppendResult::Fenced);
    EXPECT_EQ(owner.result_, WriteResult::Superseded);
    EXPECT_EQ(owner.writer.confirmedAt(), TimePoint{});
    EXPECT_TRUE(owner.fixture.take<engine::StartCommand>().empty());
}

// Guards against one record that stops all jobs: what the store refuses for good must not be
// repeated while everything else waits behind it.
TEST(ProgressWriter, RefusedRecordStopsNoOtherJob)
{
    SCOPED_TRACE("given a batch with the starts of four jobs, one of which the store refuses");
    boost::asio::io_context io;
    Store store;
    Runtime runtime{io, {}, store.port(), {}, {}, {}, {}};
    engine::test::EngineFixture fixture{2};
    ProgressWriter writer(runtime, 0, 7, [](TimePoint) { return true; });
    const std::string refused = engine::test::secondJob;
    std::vector<std::string> others{firstJob, "00000000000000c3", "00000000000000d4"};
    for (const std::string &id : others) {
        fixture.submit(submission(id, step(1, 1000)));
    }
    fixture.submit(submission(refused, step(1, 1000)));
    engine::planStarts(fixture.engine, fixture.now);
    int stored = 0;
    std::map<std::int64_t, int> writesBySequence;
    const auto respondToAll = [&] {
        io.restart();
        io.run();
        while (!store.callbacks.empty()) {
            const AppendRequest request = std::exchange(store.requests, {}).front();
            const auto done = std::exchange(store.callbacks, {}).front();
            const bool isRefused =
                    std::any_of(request.records.begin(), request.records.end(),
                                [&](const StoredRecord &record) {
                                    return record.key == refused
                                           && record.value->find("failed") == std::string::npos;
                                });
            stored += isRefused ? 0 : 1;
            writesBySequence[request.producer->sequence] += isRefused ? 0 : 1;
            done({isRefused ? AppendResult::Refused : AppendResult::Stored, 0});
        }
    };
    writer.write(fixture.engine, [](WriteResult) {});
    respondToAll();
    {
        SCOPED_TRACE("then the others start");
        EXPECT_EQ(fixture.take<engine::StartCommand>().size(), others.size());
        EXPECT_GT(stored, 0);
    }
    {
        SCOPED_TRACE("and the refused job has failed, which is stored next and seen then");
        EXPECT_EQ(fixture.job(refused).state, jobs::JobState::Failed);
        EXPECT_NE(fixture.job(refused).durableState, jobs::JobState::Failed);
        writer.write(fixture.engine, [](WriteResult) {});
        respondToAll();
        EXPECT_EQ(fixture.job(refused).durableState, jobs::JobState::Failed);
    }
    {
        SCOPED_TRACE("and each sequence number was stored once, without a gap");
        for (const auto &[sequence, count] : writesBySequence) {
            EXPECT_EQ(count, 1) << sequence;
        }
        EXPECT_EQ(writesBySequence.rbegin()->first, stored - 1);
    }
}

// Guards against a batch that is larger than the store takes in one call, and against starts that
// are sent before all of it is stored.
TEST(ProgressWriter, LargeBatchesAreWrittenInSeveralCalls)
{
    boost::asio::io_context io;
    Store store;
    Runtime runtime{io, {}, store.port(), {}, {}, {}, {}};
    runtime.settings.maxCallBytes = 300;
    engine::test::EngineFixture fixture{3};
    ProgressWriter writer(runtime, 0, 7, [](TimePoint) { return true; });
    constexpr std::size_t jobCount = 9;
    for (std::size_t i = 0; i < jobCount; ++i) {
        fixture.submit(submission("00000000000000e" + std::to_string(i), step(1, 1000)));
    }
    engine::planStarts(fixture.engine, fixture.now);
    writer.write(fixture.engine, [](WriteResult) {});
    io.run();
    std::size_t records = 0;
    while (records < jobCount) {
        ASSERT_FALSE(store.requests.empty());
        EXPECT_TRUE(fixture.take<engine::StartCommand>().empty());
        std::size_t bytes = 0;
        for (const StoredRecord &record : store.requests.back().records) {
            bytes += storedBytes(record);
        }
        records += store.requests.back().records.size();
        EXPECT_LE(bytes, runtime.settings.maxCallBytes);
        store.respond(AppendResult::Stored);
    }
    EXPECT_GT(store.requests.size(), 1U);
    EXPECT_EQ(fixture.take<engine::StartCommand>().size(), jobCount);
}

// Guards against a worker that responds to each poll at once for good: an end that changes no job
// has to be acknowledged as well, although there is nothing to store.
TEST(ProgressWriter, EndOfAnUnknownJobIsAcknowledged)
{
    SCOPED_TRACE("given an owner that has stored everything");
    Owner owner(true);
    owner.store.respond(AppendResult::Stored);
    owner.fixture.poll();
    {
        SCOPED_TRACE("when a worker reports the end of a task of an unknown job");
        owner.fixture.answer(
                "w1", {},
                {{1, engine::test::EngineFixture::ref(0, 1, engine::test::secondJob).task, 1,
                  jobs::AttemptResult::Done, ""}});
        ASSERT_TRUE(owner.fixture.engine.dirty.empty());
        owner.writer.write(owner.fixture.engine, [](WriteResult) {});
        owner.io.restart();
        owner.io.run();
        {
            SCOPED_TRACE("then it is acknowledged without a write");
            EXPECT_EQ(owner.store.requests.size(), 1U);
            EXPECT_EQ(owner.fixture.worker("w1").completionsStored, 1);
        }
    }
}

}  // namespace
}  // namespace poplarstream::edge
