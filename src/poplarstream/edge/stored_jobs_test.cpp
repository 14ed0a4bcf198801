#include "poplarstream/edge/stored_jobs.hpp"

#include <string>  // for string
#include <vector>  // for vector

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE

#include "poplarstream/edge/session_metrics.hpp"  // for sessionMetrics
#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture, submission, step

namespace poplarstream::edge {
namespace {

using engine::test::EngineFixture;
using engine::test::firstJob;
using engine::test::secondJob;
using engine::test::step;
using engine::test::submission;

// Guards against a job that runs again without a line in the log because its stored progress could
// not be read in full.
TEST(StoredJobs, UnreadableProgressIsLogged)
{
    SCOPED_TRACE("given a job with malformed progress, and one with a part of its progress only");
    EngineFixture fixture;
    fixture.submit(submission(firstJob, step(2, 1000)));
    fixture.submit(submission(secondJob, step(2, 1000)));
    const std::vector<StoredRecord> malformed = {
            {firstJob, R"({"state":"running","begun":true,"runs":[[0,0,[[1]]]]})", 0}};
    const std::vector<StoredRecord> withoutHead = {{std::string(secondJob) + ".0.0.0", "[1,0]", 1}};
    ::testing::internal::CaptureStdout();
    adoptStoredProgress(fixture.engine, malformed, fixture.now, fixture.now);
    adoptStoredProgress(fixture.engine, withoutHead, fixture.now, fixture.now);
    const std::string log = ::testing::internal::GetCapturedStdout();
    {
        SCOPED_TRACE("then nothing of either starts");
        EXPECT_TRUE(fixture.startAll().empty());
    }
    {
        SCOPED_TRACE("and the log and the metrics say so");
        for (const char *const id : {firstJob, secondJob}) {
            EXPECT_NE(log.find(fmt::format("752 job-held job={}", id)), std::string::npos) << log;
        }
        EXPECT_NE(sessionMetrics(fixture.engine, 0, 0, 0).find("poplar_jobs_held{shard=\"0\"} 2\n"),
                  std::string::npos);
    }
}

}  // namespace
}  // namespace poplarstream::edge
