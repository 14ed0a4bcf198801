#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/node/staged_publication.hpp"  // for publishStages

namespace poplarstream {
namespace {

struct Recorder
{
    StagedOutcome run(std::vector<PublicationResult> results, std::size_t stageCount)
    {
        StagedOutcome last;
        StagedChange change{7, "eva", {}};
        for (std::size_t i = 0; i < stageCount; ++i) {
            change.stages.push_back({{"pool p" + std::to_string(i), "max_away", "1"}});
        }
        publishStages(
                [&, results](const ConfigPublication &publication) {
                    const std::size_t index = bases.size();
                    bases.push_back(publication.change.baseVersion);
                    if (index >= results.size()) {
                        return false;
                    }
                    publication.reply({.result = results[index],
                                       .version = publication.change.baseVersion + 1});
                    return true;
                },
                std::move(change),
                [&](const StagedOutcome &outcome) {
                    last = outcome;
                    ++calls;
                });
        return last;
    }

    std::vector<std::uint64_t> bases;
    int calls = 0;
};

// Guards against a stage based on the version of the page instead of that of the previous stage,
// and against an outcome that is reported twice or never.
TEST(StagedPublication, EachStageFollowsTheLast)
{
    using enum PublicationResult;
    {
        SCOPED_TRACE("all stages are granted");
        Recorder recorder;
        const StagedOutcome outcome = recorder.run({InForce, InForce, InForce}, 3);
        EXPECT_EQ(recorder.bases, (std::vector<std::uint64_t>{7, 8, 9}));
        EXPECT_EQ(outcome.last.version, 10U);
        EXPECT_EQ(outcome.stagesDone, 3U);
        EXPECT_EQ(recorder.calls, 1);
    }
    for (const PublicationResult result : {Refused, Unknown}) {
        SCOPED_TRACE("the second stage is not in force");
        Recorder recorder;
        const StagedOutcome outcome = recorder.run({InForce, result, InForce}, 3);
        EXPECT_EQ(recorder.bases.size(), 2U);
        EXPECT_EQ(outcome.last.result, result);
        EXPECT_EQ(outcome.stagesDone, 1U);
        EXPECT_EQ(recorder.calls, 1);
    }
    {
        SCOPED_TRACE("the mailbox is full");
        Recorder recorder;
        const StagedOutcome outcome = recorder.run({InForce}, 2);
        EXPECT_EQ(outcome.last.result, PublicationResult::Refused);
        EXPECT_EQ(outcome.stagesDone, 1U);
        EXPECT_EQ(recorder.calls, 1);
    }
    Recorder recorder;
    EXPECT_EQ(recorder.run({}, 0).last.result, InForce);
    EXPECT_EQ(recorder.calls, 1);
}

}  // namespace
}  // namespace poplarstream
