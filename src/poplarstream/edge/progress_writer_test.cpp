#include "poplarstream/edge/progress_writer.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/engine/engine_fixture.hpp"  // for EngineFixture

namespace poplarstream::edge {
namespace {

using engine::test::firstJob;
using engine::test::step;
using engine::test::submission;

// A store that keeps what it is asked to append and answers when the test says so.
struct Store
{
    std::vector<AppendRequest> requests;
    std::vector<std::function<void(AppendOutcome)>> answers;

    StorePort port()
    {
        StorePort port;
        port.append = [this](AppendRequest request, std::function<void(AppendOutcome)> done) {
            requests.push_back(std::move(request));
            answers.push_back(std::move(done));
        };
        return port;
    }

    void answer(AppendResult result)
    {
        AppendOutcome outcome;
        outcome.result = result;
        answers.back()(outcome);
    }
};

// An owner with one planned start, whose batch has been sent to the store.
struct Owner
{
    explicit Owner(Milliseconds freshFor)
        : writer(runtime, 7, freshFor)
    {
        scene.submit(submission(firstJob, step(1, 1000)));
        engine::planStarts(scene.engine, scene.now);
        writer.write(scene.engine, [this](WriteResult result) { result_ = result; });
        io.run();
    }

    boost::asio::io_context io;
    Store store;
    Runtime runtime{io, {}, store.port(), {}, {}, {}, {}};
    engine::test::EngineFixture scene{1};
    ProgressWriter writer;
    std::optional<WriteResult> result_;
};

// Guards against an owner that starts nothing because its renewals are not confirmed although its
// progress is stored: only the partition of the ownership log is away.
TEST(ProgressWriter, StoredProgressConfirmsTheOwnership)
{
    Owner owner(Milliseconds{60'000});
    ASSERT_EQ(owner.store.requests.size(), 1U);
    EXPECT_EQ(owner.writer.confirmedAt(), TimePoint{});
    owner.store.answer(AppendResult::Stored);
    EXPECT_GT(owner.writer.confirmedAt(), TimePoint{});
    EXPECT_EQ(owner.scene.take<engine::StartCommand>().size(), 1U);
}

// Guards against a start that leaves long after its record was written, when another owner may have
// read the record and settled the task.
TEST(ProgressWriter, StartOfAnOldBatchIsPlannedAgain)
{
    Owner owner(Milliseconds{-1});
    owner.store.answer(AppendResult::Stored);
    EXPECT_TRUE(owner.scene.take<engine::StartCommand>().empty());
    EXPECT_TRUE(owner.scene.job().occurrences.at(0).steps[0][0].attempts.empty());
    owner.scene.engine.mayStart = true;
    EXPECT_EQ(owner.scene.start().size(), 1U);
}

// Guards against a start by an owner that has been shut out.
TEST(ProgressWriter, FencedBatchSendsNothing)
{
    Owner owner(Milliseconds{60'000});
    owner.store.answer(AppendResult::Fenced);
    EXPECT_EQ(owner.result_, WriteResult::Superseded);
    EXPECT_EQ(owner.writer.confirmedAt(), TimePoint{});
    EXPECT_TRUE(owner.scene.take<engine::StartCommand>().empty());
}

}  // namespace
}  // namespace poplarstream::edge
