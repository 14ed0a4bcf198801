#include "poplarstream/runs/decide.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/runs/queries.hpp"  // for findRun

namespace poplarstream {
namespace {

// One owner "e1" with a valid lease, two workers, and a log whose records are applied immediately.
struct DecisionFixture
{
    RunsState state;
    FleetView fleet;
    OwnerState ownerState;
    RunPolicy policy;
    TimePoint now = timePoint(1'000'000);
    Random random{1};
    Offset offset = 0;

    DecisionFixture()
    {
        ownerState.self = EntryHostId("e1");
        ownerState.zone = ZoneId("a");
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
        append({OwnerLease{ownerState.self, policy.ownerLease}});
    }

    // Appends the entries as this owner and reads them back.
    ApplyResult append(std::vector<RunEntry> entries)
    {
        Logged<RunRecord> logged{
                offset,
                now,
                {{RecordId("r" + std::to_string(offset)), ownerState.self}, std::move(entries)}};
        ++offset;
        recordAppend(ownerState, logged.record, now);
        const ApplyResult applied = apply(state, logged);
        recordReadBack(ownerState, state, logged, applied, now);
        return applied;
    }
    void accept(const std::string &run, bool isIdempotent = false, Resources declared = {1, 100, 0})
    {
        append({RunAccepted{RunId(run), AccountId("t"), ServiceId("s"), run, 1, "payload", declared,
                            Milliseconds{60'000}, isIdempotent, now}});
    }
    RunDecision decide() { return decideRuns(state, fleet, ownerState, policy, now, random); }
    // Decides, and appends the entries to the log. The commands are recorded but not sent.
    RunDecision step()
    {
        RunDecision decision = decide();
        recordDecision(ownerState, state, decision, now);
        recordCommands(ownerState, decision.commands, now);
        if (!decision.entries.empty()) {
            append(decision.entries);
        }
        return decision;
    }
    void advance(Milliseconds time)
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
        observe(run, TaskState::Running);
        return *findRun(state, RunId(run));
    }
    void observe(const std::string &run, TaskState taskState)
    {
        const Claim &claim = *findRun(state, RunId(run))->claim;
        TaskObservation observation;
        observation.task = {RunId(run), claim.token, claim.worker};
        observation.workerBoot = 1;
        observation.state = taskState;
        recordTaskObservation(ownerState, observation, now);
    }
};

template <class Kind, class Variants>
std::size_t countOf(const Variants &variants)
{
    return static_cast<std::size_t>(
            std::count_if(variants.begin(), variants.end(),
                          [](const auto &v) { return std::holds_alternative<Kind>(v); }));
}

// Guards against an owner that acts after a pause in which its lease expired.
TEST(Decide, OwnerWithExpiredLeaseOnlyRenewsIt)
{
    DecisionFixture fixture;
    fixture.startRun("a-1", false);
    fixture.accept("a-2");
    fixture.advance(fixture.policy.ownerLease);
    const RunDecision decision = fixture.decide();
    EXPECT_EQ(decision.entries.size(), 1U);
    EXPECT_EQ(countOf<OwnerLease>(decision.entries), 1U);
    EXPECT_TRUE(decision.commands.empty());
    EXPECT_LE(decision.validUntil, fixture.now);
}

// Guards against a second start of a non-idempotent run by an owner that cannot know whether the
// first one was sent: after a takeover, and after a restart under the same id.
TEST(Decide, UnknownStartIsRevokedFirst)
{
    for (const bool isIdempotent : {false, true}) {
        SCOPED_TRACE(isIdempotent ? "given an idempotent run" : "given a non-idempotent run");
        DecisionFixture fixture;
        fixture.accept("a-1", isIdempotent);
        fixture.step();
        ASSERT_EQ(findRun(fixture.state, RunId("a-1"))->stage, RunStage::Claimed);
        SCOPED_TRACE("when the owner restarts and knows only the log");
        fixture.ownerState.tasks.clear();
        const RunDecision decision = fixture.decide();
        EXPECT_EQ(countOf<StartTask>(decision.commands), isIdempotent ? 1U : 0U);
        EXPECT_EQ(countOf<RevokeTask>(decision.commands), isIdempotent ? 0U : 1U);
    }
}

// Guards against a second proposal or a command while the outcome of the first is unknown.
TEST(Decide, PendingRunGetsNoSecondProposal)
{
    DecisionFixture fixture;
    fixture.startRun("a-1", false);
    fixture.accept("a-2");
    fixture.observe("a-1", TaskState::Succeeded);
    const RunDecision first = fixture.decide();
    EXPECT_EQ(countOf<RunFinished>(first.entries), 1U);
    EXPECT_EQ(countOf<RunClaimed>(first.entries), 1U);
    const RunRecord record{{RecordId("lost"), fixture.ownerState.self}, first.entries};
    recordAppend(fixture.ownerState, record, fixture.now);
    const RunDecision second = fixture.decide();
    EXPECT_EQ(countOf<RunFinished>(second.entries), 0U);
    EXPECT_EQ(countOf<RunClaimed>(second.entries), 0U);
    SCOPED_TRACE("then the same record is due again under its id");
    const auto late = overdue(fixture.ownerState.proposals, fixture.now + Milliseconds{2'000},
                              fixture.policy.appendRetryInterval);
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0], record);
    SCOPED_TRACE("when a fence has been read back, then the runs can be proposed again");
    EXPECT_EQ(settleFenced(fixture.ownerState.proposals, 0).size(), 1U);
    EXPECT_EQ(countOf<RunFinished>(fixture.decide().entries), 1U);
}

// Guards against runs that wait forever: a run that fits on no worker is dead-lettered within 60 s,
// or handed over to a zone where it fits.
TEST(Decide, UnplaceableRunIsReportedInTime)
{
    for (const bool hasOffer : {false, true}) {
        SCOPED_TRACE(hasOffer ? "given another zone" : "given no other zone");
        DecisionFixture fixture;
        if (hasOffer) {
            fixture.fleet.otherZones.push_back({ZoneId("b"), ServiceId("s"), {64, 4'000, 0}});
        }
        fixture.accept("a-1", false, {16, 100, 0});
        const TimePoint begin = fixture.now;
        while (fixture.now < begin + Milliseconds{60'000}) {
            fixture.advance(Milliseconds{1'000});
            fixture.step();
        }
        const auto &run = *findRun(fixture.state, RunId("a-1"));
        EXPECT_EQ(run.stage, hasOffer ? RunStage::HandedOver : RunStage::DeadLettered);
        EXPECT_EQ(run.accepted.payload.empty(), !hasOffer);
        if (!hasOffer) {
            EXPECT_NE(run.reason.find("16 processors"), std::string::npos) << run.reason;
            EXPECT_EQ(verdictOf(run), Verdict::NotRun);
            continue;
        }
        const RunDecision delivery = fixture.decide();
        ASSERT_EQ(delivery.arrivals.size(), 1U);
        EXPECT_EQ(delivery.arrivals[0].received.accepted.payload, "payload");
        recordArrivalConfirmed(fixture.ownerState, run.id(), fixture.now);
        EXPECT_EQ(countOf<HandOverConfirmed>(fixture.decide().entries), 1U);
    }
}

// Guards against endless attempts: an idempotent run ends after failures on three distinct workers,
// any other run after one failure.
TEST(Decide, RepeatedFailuresEndTheRun)
{
    DecisionFixture fixture;
    fixture.fleet.workers.push_back(fixture.fleet.workers.back());
    fixture.fleet.workers.back().host = HostId("h3");
    fixture.accept("a-1", true);
    fixture.accept("a-2", false);
    std::set<HostId> workers;
    for (int i = 0; i < 3; ++i) {
        for (int wait = 0; !findRun(fixture.state, RunId("a-1"))->claim && wait < 100; ++wait) {
            fixture.advance(Milliseconds{1'000});
            fixture.step();
        }
        ASSERT_TRUE(findRun(fixture.state, RunId("a-1"))->claim);
        workers.insert(findRun(fixture.state, RunId("a-1"))->claim->worker);
        fixture.observe("a-1", TaskState::Failed);
        if (i == 0) {
            fixture.observe("a-2", TaskState::Failed);
        }
        fixture.step();
    }
    EXPECT_EQ(workers.size(), 3U);
    EXPECT_EQ(findRun(fixture.state, RunId("a-1"))->stage, RunStage::DeadLettered);
    EXPECT_EQ(findRun(fixture.state, RunId("a-2"))->stage, RunStage::Failed);
}

// Guards against a quarantine caused by the faulty runs of one tenant, and against a faulty worker
// that stays in use.
TEST(Decide, QuarantineNeedsSeveralTenants)
{
    for (const std::size_t tenants : {1U, 2U}) {
        SCOPED_TRACE("given faults of tenants: " + std::to_string(tenants));
        DecisionFixture fixture;
        WorkerHistory &record = fixture.state.workers[HostId("h1")];
        for (std::uint64_t i = 0; i < 4; ++i) {
            record.outcomes.push_back({fixture.now, i % tenants, i, true});
        }
        record.consecutiveFaults = 4;
        record.lastOutcome = fixture.now;
        const auto proposals = fixture.decide().quarantines;
        EXPECT_EQ(proposals.size(), tenants - 1);
    }
}

// Guards against a drain that interrupts a run that would complete in time, or that waits for one
// that could be checkpointed.
TEST(Decide, DrainCheckpointsOnlyLongRuns)
{
    for (const std::int64_t seconds : {30, 90}) {
        SCOPED_TRACE("given a drain in " + std::to_string(seconds) + " s and a run of 60 s");
        DecisionFixture fixture;
        const HostId worker = fixture.startRun("a-1", false).claim->worker;
        for (WorkerView &view : fixture.fleet.workers) {
            if (view.host == worker) {
                view.condition = WorkerCondition::Draining;
                view.drainBy = fixture.now + Milliseconds{seconds * 1'000};
            }
        }
        EXPECT_EQ(countOf<CheckpointTask>(fixture.decide().commands), seconds < 60 ? 1U : 0U);
        EXPECT_EQ(countOf<StopTask>(fixture.decide().commands), 0U);
    }
}

// Guards against a worker that runs out of memory because its usage reports lag behind.
TEST(Decide, GrowingWorkerShedsLoadBeforeItIsFull)
{
    DecisionFixture fixture;
    const Claim claim = *fixture.startRun("a-1", true).claim;
    for (WorkerView &view : fixture.fleet.workers) {
        if (view.host == claim.worker) {
            const auto report = [&](std::int64_t ago, std::uint64_t memoryMegabytes) {
                const Resources usage{1, memoryMegabytes, 0};
                return UsageReport{fixture.now - Milliseconds{ago}, usage, {{claim.token, usage}}};
            };
            view.previousUsage = report(3'000, 800);
            view.usage = report(2'000, 880);
        }
    }
    SCOPED_TRACE("given 880 of 1000 MB, growing by 80 MB a second, measured two seconds ago");
    const RunDecision decision = fixture.decide();
    EXPECT_EQ(countOf<StopTask>(decision.commands) + countOf<CheckpointTask>(decision.commands),
              1U);
}

// Guards against a throttle that leaves a task no processors: a usage report right after a start
// can be 0.
TEST(Decide, ThrottledTaskKeepsAShare)
{
    DecisionFixture fixture;
    fixture.fleet.workers.pop_back();
    const Claim old = *fixture.startRun("a-1", true).claim;
    fixture.advance(Milliseconds{1'000});
    const Claim young = *fixture.startRun("a-2", true).claim;
    WorkerView &worker = fixture.fleet.workers.front();
    for (const double measured : {0.0, 0.1, 2.0}) {
        SCOPED_TRACE("given a young task that uses processors: " + std::to_string(measured));
        worker.usage = UsageReport{
                fixture.now,
                {8, 200, 0},
                {{old.token, {8 - measured, 100, 0}}, {young.token, {measured, 100, 0}}}};
        std::size_t throttled = 0;
        for (const WorkerCommand &command : fixture.decide().commands) {
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

// Guards against a task that stays throttled forever because its throttle was sent by a previous
// owner, or because the lift was lost.
TEST(Decide, ThrottleOfUnknownStateIsLifted)
{
    DecisionFixture fixture;
    const Claim claim = *fixture.startRun("a-1", true).claim;
    const auto lifts = [&] {
        for (WorkerView &worker : fixture.fleet.workers) {
            worker.usage = UsageReport{fixture.now, {1, 100, 0}, {}};
        }
        const RunDecision decision = fixture.step();
        return countOf<ThrottleTask>(decision.commands);
    };
    SCOPED_TRACE("given a task that only this process can have throttled");
    EXPECT_EQ(lifts(), 0U);
    SCOPED_TRACE("when the owner restarts, then it lifts throttles of its predecessor");
    fixture.ownerState.tasks.clear();
    fixture.observe("a-1", TaskState::Running);
    EXPECT_EQ(lifts(), 1U);
    EXPECT_EQ(lifts(), 0U);
    SCOPED_TRACE("then it repeats the lift at the rate of lease renewals");
    std::size_t count = 0;
    for (int second = 0; second < 60; ++second) {
        fixture.advance(Milliseconds{1'000});
        count += lifts();
    }
    EXPECT_EQ(count, 4U);
}

// Guards against a run that is lost or executed twice because its worker was lost.
TEST(Decide, LostWorkerEndsTheAttempt)
{
    for (const bool isIdempotent : {false, true}) {
        SCOPED_TRACE(isIdempotent ? "given an idempotent run" : "given a non-idempotent run");
        DecisionFixture fixture;
        fixture.startRun("a-1", isIdempotent);
        fixture.step();
        const TimePoint begin = fixture.now;
        while (fixture.now < begin + fixture.policy.workerGivenUpAfter + Milliseconds{5'000}
               && findRun(fixture.state, RunId("a-1"))->claim) {
            fixture.now += Milliseconds{1'000};
            fixture.step();
        }
        const Milliseconds taken = fixture.now - begin;
        EXPECT_EQ(findRun(fixture.state, RunId("a-1"))->stage,
                  isIdempotent ? RunStage::Accepted : RunStage::MayHaveRun);
        EXPECT_GE(taken, isIdempotent ? fixture.policy.workerLostAfter
                                      : fixture.policy.workerGivenUpAfter);
    }
}

// Guards against a run that ends as may-have-run without being executed because its worker rebooted
// just before the claim, and against a second execution of a run whose start may have arrived.
TEST(Decide, RunOfRebootedWorkerIsGivenUpOnlyIfItsStartMayHaveArrived)
{
    enum class Start { NotSent, Refused, Unanswered };
    for (const Start sent : {Start::NotSent, Start::Refused, Start::Unanswered}) {
        SCOPED_TRACE("given start " + std::to_string(static_cast<int>(sent)));
        DecisionFixture fixture;
        fixture.accept("a-1");
        fixture.step();
        if (sent != Start::NotSent) {
            ASSERT_EQ(countOf<StartTask>(fixture.step().commands), 1U);
        }
        if (sent == Start::Refused) {
            fixture.observe("a-1", TaskState::Refused);
        }
        SCOPED_TRACE("when the worker reports another boot");
        for (WorkerView &worker : fixture.fleet.workers) {
            worker.boot = 2;
        }
        const RunDecision decision = fixture.step();
        EXPECT_EQ(countOf<StartTask>(decision.commands), 0U);
        EXPECT_EQ(findRun(fixture.state, RunId("a-1"))->stage,
                  sent == Start::Unanswered ? RunStage::MayHaveRun : RunStage::Accepted);
    }
}

// Guards against taking the result of another zone's run for that of a run of this zone: tokens are
// offsets in one zone's stream, so tasks of different zones can have the same token.
TEST(Decide, TokensOfOtherZonesAreNoAttempts)
{
    SCOPED_TRACE("given a claimed run");
    DecisionFixture fixture;
    fixture.accept("r");
    fixture.step();
    const auto *run = findRun(fixture.state, RunId("r"));
    ASSERT_TRUE(run->claim);
    const FencingToken token = run->claim->token;
    {
        SCOPED_TRACE("then only its own token is one of its attempts");
        EXPECT_TRUE(hasAttempt(fixture.state, RunId("r"), token));
        EXPECT_FALSE(hasAttempt(fixture.state, RunId("r"), {token.offset + 1, token.index}));
    }
    {
        SCOPED_TRACE("then the token is no attempt of another zone's run");
        EXPECT_FALSE(hasAttempt(fixture.state, RunId("other"), token));
    }
}

// Guards against a run that ends as may-have-run although it never started: its claim names the
// boot before a reboot, so the start is refused, and the revocation is answered under the new boot.
TEST(Decide, StartRefusedAfterRebootReleasesTheRun)
{
    SCOPED_TRACE("given a claimed run whose only start was refused by another boot of the worker");
    DecisionFixture fixture;
    fixture.accept("r");
    fixture.step();
    const auto *run = findRun(fixture.state, RunId("r"));
    ASSERT_TRUE(run->claim);
    fixture.now += Milliseconds{10};
    recordCommands(fixture.ownerState, fixture.decide().commands, fixture.now);
    const TaskRef task{RunId("r"), run->claim->token, run->claim->worker};
    recordTaskObservation(fixture.ownerState,
                          {.task = task, .workerBoot = 2, .state = TaskState::Refused},
                          fixture.now);
    {
        SCOPED_TRACE("when the revocation is answered under the new boot");
        recordTaskObservation(fixture.ownerState,
                              {.task = task, .workerBoot = 2, .state = TaskState::NeverStarted},
                              fixture.now);
        const RunDecision decision = fixture.decide();
        SCOPED_TRACE("then the run is released, to be claimed again");
        ASSERT_FALSE(decision.entries.empty());
        const auto *released = std::get_if<RunReleased>(&decision.entries.front());
        ASSERT_NE(released, nullptr);
        EXPECT_EQ(released->cause, ReleaseCause::NeverStarted);
    }
}

}  // namespace
}  // namespace poplarstream
