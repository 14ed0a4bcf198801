#include "poplarstream/runs/decide.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/runs/queries.hpp"  // for findRun

namespace poplarstream {
namespace {

// One owner "e1" with a valid lease, two workers, and a log that is applied at once.
struct Scene
{
    RunsState state;
    FleetView fleet;
    OwnerMemory memory;
    RunPolicy policy;
    TimePoint now = timePoint(1'000'000);
    Random random{1};
    Offset offset = 0;

    Scene()
    {
        memory.self = EntryHostId("e1");
        memory.zone = ZoneId("a");
        fleet.isComplete = true;
        for (const char *host : {"h1", "h2"}) {
            WorkerView worker;
            worker.host = HostId(host);
            worker.rack = RackId(host);
            worker.services = {ServiceId("s")};
            worker.capacity = {8, 1'000, 0};
            worker.boot = 1;
            worker.lastHeard = now;
            fleet.workers.push_back(worker);
        }
        append({OwnerLease{memory.self, policy.ownerLease}});
    }

    // Appends as this owner and reads back.
    ApplyResult append(std::vector<RunEntry> entries)
    {
        Logged<RunRecord> logged{
                offset,
                now,
                {{RecordId("r" + std::to_string(offset)), memory.self}, std::move(entries)}};
        ++offset;
        noteAppend(memory, logged.record, now);
        const ApplyResult applied = apply(state, logged);
        noteReadBack(memory, state, logged, applied, now);
        return applied;
    }
    void accept(const std::string &run, bool isIdempotent = false, Resources declared = {1, 100, 0})
    {
        append({RunAccepted{RunId(run), TenantId("t"), ServiceId("s"), run, 1, "payload", declared,
                            Milliseconds{60'000}, isIdempotent, now}});
    }
    RunDecision decide() { return decideRuns(state, fleet, memory, policy, now, random); }
    // Decides and carries the decision out as far as the log.
    RunDecision step()
    {
        RunDecision decision = decide();
        noteDecision(memory, state, decision, now);
        noteCommands(memory, decision.commands, now);
        if (!decision.entries.empty()) {
            append(decision.entries);
        }
        return decision;
    }
    void pass(Milliseconds time)
    {
        now += time;
        for (WorkerView &worker : fleet.workers) {
            worker.lastHeard = now;
        }
    }
    // Accepts, claims and starts a run.
    const Run &startRun(const std::string &run, bool isIdempotent)
    {
        accept(run, isIdempotent);
        step();
        const Claim claim = *findRun(state, RunId(run))->claim;
        append({RunStarted{RunId(run), claim.token}});
        see(run, TaskState::Running);
        return *findRun(state, RunId(run));
    }
    void see(const std::string &run, TaskState taskState)
    {
        const Claim &claim = *findRun(state, RunId(run))->claim;
        TaskObservation seen;
        seen.task = {RunId(run), claim.token, claim.worker};
        seen.workerBoot = 1;
        seen.state = taskState;
        noteTask(memory, seen, now);
    }
};

template <class Kind, class Variants>
std::size_t countOf(const Variants &variants)
{
    return static_cast<std::size_t>(
            std::count_if(variants.begin(), variants.end(),
                          [](const auto &v) { return std::holds_alternative<Kind>(v); }));
}

// Guards against work that a holder does after a pause in which its lease lapsed.
TEST(Decide, LapsedHolderOnlyAsksForItsLease)
{
    Scene scene;
    scene.startRun("a-1", false);
    scene.accept("a-2");
    scene.pass(scene.policy.ownerLease);
    const RunDecision decision = scene.decide();
    EXPECT_EQ(decision.entries.size(), 1U);
    EXPECT_EQ(countOf<OwnerLease>(decision.entries), 1U);
    EXPECT_TRUE(decision.commands.empty());
    EXPECT_LE(decision.validUntil, scene.now);
}

// Guards against a second start of a non-idempotent run by an owner that cannot know whether the
// first one was sent: after a takeover, and after a restart under the same id.
TEST(Decide, UnknownStartIsRevokedFirst)
{
    for (const bool isIdempotent : {false, true}) {
        SCOPED_TRACE(isIdempotent ? "given an idempotent run" : "given a non-idempotent run");
        Scene scene;
        scene.accept("a-1", isIdempotent);
        scene.step();
        ASSERT_EQ(findRun(scene.state, RunId("a-1"))->stage, RunStage::Claimed);
        SCOPED_TRACE("when the owner restarts and knows only the log");
        scene.memory.tasks.clear();
        const RunDecision decision = scene.decide();
        EXPECT_EQ(countOf<StartTask>(decision.commands), isIdempotent ? 1U : 0U);
        EXPECT_EQ(countOf<RevokeTask>(decision.commands), isIdempotent ? 0U : 1U);
    }
}

// Guards against a second proposal or a command while the outcome of the first is unknown.
TEST(Decide, PendingRunIsLeftAlone)
{
    Scene scene;
    scene.startRun("a-1", false);
    scene.accept("a-2");
    scene.see("a-1", TaskState::Succeeded);
    const RunDecision first = scene.decide();
    EXPECT_EQ(countOf<RunFinished>(first.entries), 1U);
    EXPECT_EQ(countOf<RunClaimed>(first.entries), 1U);
    const RunRecord record{{RecordId("lost"), scene.memory.self}, first.entries};
    noteAppend(scene.memory, record, scene.now);
    const RunDecision second = scene.decide();
    EXPECT_EQ(countOf<RunFinished>(second.entries), 0U);
    EXPECT_EQ(countOf<RunClaimed>(second.entries), 0U);
    SCOPED_TRACE("then the record itself is due again, under its id");
    const auto late = overdue(scene.memory.proposals, scene.now + Milliseconds{2'000},
                              scene.policy.appendPatience);
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0], record);
    SCOPED_TRACE("when its fence has passed, then the runs are free again");
    EXPECT_EQ(settleFenced(scene.memory.proposals, 0).size(), 1U);
    EXPECT_EQ(countOf<RunFinished>(scene.decide().entries), 1U);
}

// Guards against runs that wait for ever: what no worker can hold is reported within 60 s, or goes
// to a zone that can hold it.
TEST(Decide, UnplaceableRunIsReportedInTime)
{
    for (const bool hasOffer : {false, true}) {
        SCOPED_TRACE(hasOffer ? "given another zone" : "given no other zone");
        Scene scene;
        if (hasOffer) {
            scene.fleet.otherZones.push_back({ZoneId("b"), ServiceId("s"), {64, 4'000, 0}});
        }
        scene.accept("a-1", false, {16, 100, 0});
        const TimePoint begin = scene.now;
        while (scene.now < begin + Milliseconds{60'000}) {
            scene.pass(Milliseconds{1'000});
            scene.step();
        }
        const auto &run = *findRun(scene.state, RunId("a-1"));
        EXPECT_EQ(run.stage, hasOffer ? RunStage::HandedOver : RunStage::DeadLettered);
        EXPECT_EQ(run.accepted.payload.empty(), !hasOffer);
        if (!hasOffer) {
            EXPECT_NE(run.reason.find("16 processors"), std::string::npos) << run.reason;
            EXPECT_EQ(verdictOf(run), Verdict::NotRun);
            continue;
        }
        const RunDecision delivery = scene.decide();
        ASSERT_EQ(delivery.arrivals.size(), 1U);
        EXPECT_EQ(delivery.arrivals[0].received.accepted.payload, "payload");
        noteArrived(scene.memory, run.id(), scene.now);
        EXPECT_EQ(countOf<HandOverConfirmed>(scene.decide().entries), 1U);
    }
}

// Guards against endless attempts: three failures on distinct workers end an idempotent run, one
// ends any other.
TEST(Decide, FailuresEnd)
{
    Scene scene;
    scene.fleet.workers.push_back(scene.fleet.workers.back());
    scene.fleet.workers.back().host = HostId("h3");
    scene.accept("a-1", true);
    scene.accept("a-2", false);
    std::set<HostId> workers;
    for (int i = 0; i < 3; ++i) {
        for (int wait = 0; !findRun(scene.state, RunId("a-1"))->claim && wait < 100; ++wait) {
            scene.pass(Milliseconds{1'000});
            scene.step();
        }
        ASSERT_TRUE(findRun(scene.state, RunId("a-1"))->claim);
        workers.insert(findRun(scene.state, RunId("a-1"))->claim->worker);
        scene.see("a-1", TaskState::Failed);
        if (i == 0) {
            scene.see("a-2", TaskState::Failed);
        }
        scene.step();
    }
    EXPECT_EQ(workers.size(), 3U);
    EXPECT_EQ(findRun(scene.state, RunId("a-1"))->stage, RunStage::DeadLettered);
    EXPECT_EQ(findRun(scene.state, RunId("a-2"))->stage, RunStage::Failed);
}

// Guards against a quarantine for one tenant's bad runs, and against a bad worker that stays.
TEST(Decide, QuarantineNeedsSeveralTenants)
{
    for (const std::size_t tenants : {1U, 2U}) {
        SCOPED_TRACE("given faults of tenants: " + std::to_string(tenants));
        Scene scene;
        WorkerHistory &record = scene.state.workers[HostId("h1")];
        for (std::uint64_t i = 0; i < 4; ++i) {
            record.outcomes.push_back({scene.now, i % tenants, i, true});
        }
        record.consecutiveFaults = 4;
        record.lastOutcome = scene.now;
        const auto proposals = scene.decide().quarantines;
        EXPECT_EQ(proposals.size(), tenants - 1);
    }
}

// Guards against a drain that cuts a run, or waits for one that could be checkpointed.
TEST(Decide, DrainCheckpointsOnlyLongRuns)
{
    for (const std::int64_t seconds : {30, 90}) {
        SCOPED_TRACE("given a drain in " + std::to_string(seconds) + " s and a run of 60 s");
        Scene scene;
        const HostId worker = scene.startRun("a-1", false).claim->worker;
        for (WorkerView &view : scene.fleet.workers) {
            if (view.host == worker) {
                view.condition = WorkerCondition::Draining;
                view.drainBy = scene.now + Milliseconds{seconds * 1'000};
            }
        }
        EXPECT_EQ(countOf<CheckpointTask>(scene.decide().commands), seconds < 60 ? 1U : 0U);
        EXPECT_EQ(countOf<StopTask>(scene.decide().commands), 0U);
    }
}

// Guards against a worker that becomes overfull while its usage reports lag.
TEST(Decide, GrowingWorkerIsRelievedBeforeItIsFull)
{
    Scene scene;
    const Claim claim = *scene.startRun("a-1", true).claim;
    for (WorkerView &view : scene.fleet.workers) {
        if (view.host == claim.worker) {
            const auto report = [&](std::int64_t ago, std::uint64_t memory) {
                const Resources usage{1, memory, 0};
                return UsageReport{scene.now - Milliseconds{ago}, usage, {{claim.token, usage}}};
            };
            view.previousUsage = report(3'000, 800);
            view.usage = report(2'000, 880);
        }
    }
    SCOPED_TRACE("given 880 of 1000 MB, growing by 80 a second, seen two seconds ago");
    const RunDecision decision = scene.decide();
    EXPECT_EQ(countOf<StopTask>(decision.commands) + countOf<CheckpointTask>(decision.commands),
              1U);
}

// Guards against a throttle that leaves a task nothing: a report right after a start says 0.
TEST(Decide, ThrottledTaskKeepsAShare)
{
    Scene scene;
    scene.fleet.workers.pop_back();
    const Claim old = *scene.startRun("a-1", true).claim;
    scene.pass(Milliseconds{1'000});
    const Claim young = *scene.startRun("a-2", true).claim;
    WorkerView &worker = scene.fleet.workers.front();
    for (const double measured : {0.0, 0.1, 2.0}) {
        SCOPED_TRACE("given a young task that uses processors: " + std::to_string(measured));
        worker.usage = UsageReport{
                scene.now,
                {8, 200, 0},
                {{old.token, {8 - measured, 100, 0}}, {young.token, {measured, 100, 0}}}};
        std::size_t throttled = 0;
        for (const WorkerCommand &command : scene.decide().commands) {
            if (const auto *throttle = std::get_if<ThrottleTask>(&command)) {
                ++throttled;
                EXPECT_FALSE(throttle->isLifted);
                EXPECT_GE(throttle->cpus, 1.0);
                EXPECT_EQ(throttle->task.token, measured < 1 ? old.token : young.token);
            }
        }
        EXPECT_EQ(throttled, 1U);
    }
}

// Guards against a task that stays throttled for ever: its throttle was sent by an owner that is
// gone, or the lift was lost.
TEST(Decide, ThrottleOfUnknownStateIsLifted)
{
    Scene scene;
    const Claim claim = *scene.startRun("a-1", true).claim;
    const auto lifts = [&] {
        for (WorkerView &worker : scene.fleet.workers) {
            worker.usage = UsageReport{scene.now, {1, 100, 0}, {}};
        }
        const RunDecision decision = scene.step();
        return countOf<ThrottleTask>(decision.commands);
    };
    SCOPED_TRACE("given a task that only this process can have throttled");
    EXPECT_EQ(lifts(), 0U);
    SCOPED_TRACE("when the owner restarts, then it lifts what its predecessor may have set");
    scene.memory.tasks.clear();
    scene.see("a-1", TaskState::Running);
    EXPECT_EQ(lifts(), 1U);
    EXPECT_EQ(lifts(), 0U);
    SCOPED_TRACE("then it repeats the lift at the rate of lease renewals");
    std::size_t count = 0;
    for (int second = 0; second < 60; ++second) {
        scene.pass(Milliseconds{1'000});
        count += lifts();
    }
    EXPECT_EQ(count, 4U);
}

// Guards against a worker or owner whose loss loses or doubles a run.
TEST(Decide, LostWorkerEndsTheAttempt)
{
    for (const bool isIdempotent : {false, true}) {
        SCOPED_TRACE(isIdempotent ? "given an idempotent run" : "given a non-idempotent run");
        Scene scene;
        scene.startRun("a-1", isIdempotent);
        scene.step();
        const TimePoint begin = scene.now;
        while (scene.now < begin + scene.policy.workerGivenUp + Milliseconds{5'000}
               && findRun(scene.state, RunId("a-1"))->claim) {
            scene.now += Milliseconds{1'000};
            scene.step();
        }
        const Milliseconds taken = scene.now - begin;
        EXPECT_EQ(findRun(scene.state, RunId("a-1"))->stage,
                  isIdempotent ? RunStage::Accepted : RunStage::MayHaveRun);
        EXPECT_GE(taken, isIdempotent ? scene.policy.workerLost : scene.policy.workerGivenUp);
    }
}

// Guards against a run that is given up as may-have-run, and so is never executed, because its
// worker had rebooted just before the claim; and against a second execution of one whose start may
// have arrived.
TEST(Decide, RunOfRebootedWorkerIsGivenUpOnlyIfItsStartMayHaveArrived)
{
    enum class Start { NotSent, Refused, Unanswered };
    for (const Start sent : {Start::NotSent, Start::Refused, Start::Unanswered}) {
        SCOPED_TRACE("given start " + std::to_string(static_cast<int>(sent)));
        Scene scene;
        scene.accept("a-1");
        scene.step();
        if (sent != Start::NotSent) {
            ASSERT_EQ(countOf<StartTask>(scene.step().commands), 1U);
        }
        if (sent == Start::Refused) {
            scene.see("a-1", TaskState::Refused);
        }
        SCOPED_TRACE("when the worker is seen under another boot");
        for (WorkerView &worker : scene.fleet.workers) {
            worker.boot = 2;
        }
        const RunDecision decision = scene.step();
        EXPECT_EQ(countOf<StartTask>(decision.commands), 0U);
        EXPECT_EQ(findRun(scene.state, RunId("a-1"))->stage,
                  sent == Start::Unanswered ? RunStage::MayHaveRun : RunStage::Accepted);
    }
}

// Guards against a result of another zone's run that is taken for the own one: tokens are offsets
// of one zone's stream, so a task of another zone can have the token of a claim here.
TEST(Decide, TokensOfOtherZones)
{
    SCOPED_TRACE("given a claimed run");
    Scene scene;
    scene.accept("r");
    scene.step();
    const auto *run = findRun(scene.state, RunId("r"));
    ASSERT_TRUE(run->claim);
    const FencingToken token = run->claim->token;
    {
        SCOPED_TRACE("then only its own token is one of its attempts");
        EXPECT_TRUE(hasAttempt(scene.state, RunId("r"), token));
        EXPECT_FALSE(hasAttempt(scene.state, RunId("r"), {token.offset + 1, token.index}));
    }
    {
        SCOPED_TRACE("then the token says nothing about a run of another zone");
        EXPECT_FALSE(hasAttempt(scene.state, RunId("other"), token));
    }
}

// Guards against an invoice run that ends as may-have-run although it never began: a claim made
// with the boot before a reboot is refused, and the revocation is answered under the new boot.
TEST(Decide, RefusedStartAfterReboot)
{
    SCOPED_TRACE("given a claimed run whose only start was refused by another boot of the worker");
    Scene scene;
    scene.accept("r");
    scene.step();
    const auto *run = findRun(scene.state, RunId("r"));
    ASSERT_TRUE(run->claim);
    scene.now += Milliseconds{10};
    noteCommands(scene.memory, scene.decide().commands, scene.now);
    const TaskRef task{RunId("r"), run->claim->token, run->claim->worker};
    noteTask(scene.memory, {.task = task, .workerBoot = 2, .state = TaskState::Refused}, scene.now);
    {
        SCOPED_TRACE("when the revocation is answered under the new boot");
        noteTask(scene.memory, {.task = task, .workerBoot = 2, .state = TaskState::NeverStarted},
                 scene.now);
        const RunDecision decision = scene.decide();
        SCOPED_TRACE("then the run is released, to be claimed again");
        ASSERT_FALSE(decision.entries.empty());
        const auto *released = std::get_if<RunReleased>(&decision.entries.front());
        ASSERT_NE(released, nullptr);
        EXPECT_EQ(released->cause, ReleaseCause::NeverStarted);
    }
}

}  // namespace
}  // namespace poplarstream
