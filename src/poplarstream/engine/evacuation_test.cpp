#include "poplarstream/engine/evacuation.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "engine_fixture.hpp"  // for EngineFixture

namespace poplarstream::engine {
namespace {

using test::EngineFixture;
using test::firstJob;
using test::step;
using test::submission;

// Responds to each poll in flight, as workers on which these runs are at work.
void answerAtWork(EngineFixture &fixture, const std::vector<StartCommand> &runs)
{
    for (const PollCommand &poll : fixture.poll()) {
        std::vector<RunningReport> running;
        for (const StartCommand &run : runs) {
            if (run.target.worker == poll.target.worker) {
                running.push_back({run.task, run.run, "", jobs::readyPercent, 0});
            }
        }
        fixture.answer(poll.target.worker.id.text(), running);
    }
}

// Guards against a task that is moved off a machine for its maintenance at the moment at which
// others of its step have to go off leaving workers: more of them are missing then than may be.
TEST(Evacuation, LeavingWorkersGoFirst)
{
    for (const bool isLeavingFirst : {false, true}) {
        SCOPED_TRACE(isLeavingFirst ? "given a leaving worker and then a cordoned one"
                                    : "given a cordoned worker and then a leaving one");
        EngineFixture fixture(3);
        jobs::StepSpec lasting = step(3, 1000);
        lasting.longRunning = true;
        lasting.antiAffinity = 1;
        lasting.mayMiss = 1;
        fixture.submit(submission(firstJob, lasting));
        const std::vector<StartCommand> runs = fixture.startAll();
        ASSERT_EQ(runs.size(), 3U);
        fixture.now += Milliseconds{100};
        answerAtWork(fixture, runs);
        const std::string leaving = isLeavingFirst ? "w1" : "w2";
        const std::string cordoned = isLeavingFirst ? "w2" : "w1";
        fixture.addWorker(leaving, 1, true);
        fixture.worker(cordoned).isCordoned = true;
        {
            SCOPED_TRACE("when a worker with room for their tasks comes");
            fixture.addWorker("w4");
            fixture.poll();
            fixture.answer("w4");
            fixture.take<StopCommand>();
            evacuate(fixture.engine, fixture.now);
            const auto stops = fixture.take<StopCommand>();
            {
                SCOPED_TRACE(
                        "then only the task of the leaving one is stopped, and the other held");
                ASSERT_EQ(stops.size(), 1U);
                EXPECT_EQ(stops[0].target.worker.id.text(), leaving);
                EXPECT_TRUE(fixture.worker(cordoned).heldBy);
            }
        }
    }
}

}  // namespace
}  // namespace poplarstream::engine
