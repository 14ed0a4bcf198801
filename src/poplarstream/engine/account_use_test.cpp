#include "poplarstream/engine/account_use.hpp"

#include <gtest/gtest.h>  // for TEST
#include <rapidcheck.h>  // for check, gen

#include "engine_fixture.hpp"  // for EngineFixture
#include "poplarstream/engine/account_caps.hpp"  // for useOf

namespace poplarstream::engine {
namespace {

using test::EngineFixture;

constexpr int workers = 3;

int draw(int end)
{
    return *rc::gen::inRange(0, end);
}

std::string workerName()
{
    return "w" + std::to_string(1 + draw(workers));
}

// The use of all accounts as the sum over all workers, whatever their state.
struct Uses
{
    std::map<AccountId, jobs::Resources> all;
    std::map<AccountId, jobs::Resources> longRunning;
};

Uses sumOfRuns(Engine &engine)
{
    Uses sum;
    const auto add = [&](const AttemptRef &ref, bool isExpected) {
        const jobs::Job *const job = findJob(engine, ref.task.job);
        if (job != nullptr && !job->submission.account.isEmpty()) {
            const jobs::StepSpec &step = stepOf(*job, ref.task);
            sum.all[job->submission.account] += step.need;
            if (isExpected && step.longRunning) {
                sum.longRunning[job->submission.account] += step.need;
            }
        }
    };
    for (const auto &[incarnation, worker] : engine.workers) {
        for (const auto &[ref, decisivePoll] : worker.attempts) {
            add(ref, true);
        }
        for (const auto &[ref, counted] : worker.unexpectedAttempts) {
            add(ref, false);
        }
    }
    return sum;
}

void submitRandomJob(EngineFixture &fixture, int number)
{
    jobs::StepSpec step = test::step(1 + draw(4), 200 + 100 * draw(5));
    step.fills = draw(4) == 0;
    step.speculative = draw(3) == 0;
    step.gang = !step.speculative && draw(4) == 0;
    step.longRunning = !step.speculative && draw(4) == 0;
    jobs::Submission submission = test::submission("00000000000000" + std::to_string(number), step);
    submission.account = AccountId(draw(3) == 0 ? "" : "account-" + std::to_string(draw(2)));
    fixture.submit(submission);
}

// A response to the last poll that lists some of the runs, ends some, and has an unknown one.
void answerAtRandom(EngineFixture &fixture, const std::string &name, int submitted)
{
    const auto place = fixture.engine.workers.find(EngineFixture::incarnation(name));
    if (place == fixture.engine.workers.end()) {
        return;
    }
    std::vector<RunningReport> running;
    std::vector<CompletionReport> completed;
    std::int64_t number = place->second.completionsSeen;
    for (const auto &[ref, decisivePoll] : place->second.attempts) {
        const int fate = draw(4);
        if (fate < 2) {
            running.push_back({.task = ref.task, .run = ref.run});
        } else if (fate == 2) {
            const auto result = static_cast<jobs::AttemptResult>(draw(6));
            completed.push_back({++number, ref.task, ref.run, result, ""});
        }
    }
    if (submitted > 0 && draw(3) == 0) {
        const std::string job = "00000000000000" + std::to_string(10 + draw(submitted));
        running.push_back({.task = EngineFixture::ref(0, 1, job).task, .run = 20 + draw(2)});
    }
    fixture.answer(name, std::move(running), std::move(completed));
}

void applyRandomEvent(EngineFixture &fixture, int &submitted)
{
    fixture.now += Milliseconds(draw(800));
    const std::string job = "00000000000000" + std::to_string(10 + draw(submitted + 1));
    switch (draw(9)) {
    case 0:
        submitRandomJob(fixture, 10 + submitted++);
        return;
    case 1:
        for (const StartCommand &command : fixture.start()) {
            fixture.answerStart(command, static_cast<StartResult>(draw(9)));
        }
        return;
    case 2:
        planStarts(fixture.engine, fixture.now);  // is not stored yet
        return;
    case 3:
        if (fixture.engine.workers.contains(EngineFixture::incarnation("w1"))) {
            fixture.leavePollUnanswered("w1");
        }
        return;
    case 4:
        cancelJob(fixture.engine, JobId(job), fixture.now);
        return;
    case 5:
        fixture.addWorker(workerName(), 1 + draw(3));  // perhaps another incarnation
        return;
    case 6:
        endIncarnation(fixture.engine, EngineFixture::incarnation(workerName()),
                       EndEvidence::Registry, fixture.now);
        return;
    default:
        fixture.poll();
        answerAtRandom(fixture, workerName(), submitted);
    }
}

// Guards against an account that passes its cap, or can no longer use it, because a run is counted
// twice or never, or stays counted after its end: whatever happens to starts, workers and polls,
// the use that is kept is the sum over all runs.
TEST(AccountUse, IsTheSumOfAllRuns)
{
    EXPECT_TRUE(rc::check([] {
        EngineFixture fixture(workers);
        configureAccounts(fixture.engine,
                          {{AccountId("account-0"), {AccountId("account-0"), 1, {3000, 0, 0}}},
                           {AccountId("account-1"), {AccountId("account-1"), 1, {0, 500, 0}}}},
                          {{AccountId("account-0"), accounts::limitsOf({3000, 0, 0})},
                           {AccountId("account-1"), accounts::limitsOf({0, 500, 0})}});
        int submitted = 0;
        const int events = draw(80);
        for (int event = 0; event < events; ++event) {
            applyRandomEvent(fixture, submitted);
            const Uses sum = sumOfRuns(fixture.engine);
            RC_ASSERT(fixture.engine.accountUse == sum.all);
            RC_ASSERT(fixture.engine.longRunningUse == sum.longRunning);
        }
    }));
}

}  // namespace
}  // namespace poplarstream::engine
