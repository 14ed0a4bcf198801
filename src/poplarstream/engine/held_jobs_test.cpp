#include <string>  // for string
#include <vector>  // for vector

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture, submission, step

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::secondJob;
using test::step;
using test::submission;

// Guards against a job whose stored progress cannot be read and that therefore runs again from its
// beginning, tasks that have ended included.
TEST(HeldJobs, UnreadableProgressStartsNothing)
{
    SCOPED_TRACE("given a job of which an owner can read one part of the progress only");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(3, 1000)));
    fixture.submit(submission(secondJob, step(1, 1000)));
    const std::string head =
            R"({"state":"running","begun":true,"open":1,"finished":0,"done":[],"runs":[]})";
    const std::vector<ProgressRecord> parts = {{std::string(firstJob) + ".0.0.0", "[1,1,"}};
    ASSERT_FALSE(
            adoptProgress(fixture.engine, JobId(firstJob), head, fixture.now, fixture.now, parts));
    {
        SCOPED_TRACE("then nothing of it starts, and other jobs go on");
        const std::vector<StartCommand> started = fixture.startAll();
        ASSERT_EQ(started.size(), 1U);
        EXPECT_EQ(started[0].task.job, JobId(secondJob));
        fixture.now += Milliseconds{60'000};
        tickJobs(fixture.engine, {fixture.now, 60'000});
        EXPECT_TRUE(fixture.start().empty());
        EXPECT_EQ(fixture.engine.jobsHeld, 1U);
    }
    {
        SCOPED_TRACE("and its records stay as they are, for an owner that can read them");
        for (const ProgressRecord &record : fixture.store().records) {
            EXPECT_NE(jobs::jobOfRecord(record.key), firstJob);
        }
    }
    {
        SCOPED_TRACE("and its cancellation ends it and deletes its parts");
        cancelJob(fixture.engine, JobId(firstJob), fixture.now);
        EXPECT_EQ(fixture.job().state, jobs::JobState::Cancelled);
        const Batch batch = fixture.store();
        ASSERT_EQ(batch.records.size(), 2U);
        EXPECT_EQ(batch.records[0].key, firstJob);
        EXPECT_EQ(batch.records[1].key, parts[0].key);
        EXPECT_FALSE(batch.records[1].value);
    }
}

}  // namespace
}  // namespace poplarstream::engine
