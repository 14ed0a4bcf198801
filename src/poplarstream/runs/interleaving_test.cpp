#include <cstdlib>  // for getenv

#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE

#include "poplarstream/history/check.hpp"  // for checkNoAcceptedRunLost, CheckResult
#include "poplarstream/runs/fakes/zone.hpp"  // for Zone

namespace poplarstream {
namespace {

using fakes::FakeCall;
using fakes::FakeWorker;
using fakes::FaultRates;
using fakes::Zone;

// Timeouts of about a tenth of the production ones, in similar proportions, so that leases expire
// often.
RunPolicy quickPolicy()
{
    RunPolicy policy;
    policy.ownerLease = Milliseconds{1'000};
    policy.ownerLeaseRenewal = Milliseconds{330};
    policy.taskLease = Milliseconds{4'000};
    policy.taskLeaseRenewal = Milliseconds{1'000};
    policy.appendRetryInterval = Milliseconds{300};
    policy.ownerDelay = Milliseconds{500};
    policy.commandRetryInterval = Milliseconds{200};
    policy.startTimeout = Milliseconds{600};
    policy.workerLostAfter = Milliseconds{1'500};
    policy.workerGivenUpAfter = Milliseconds{6'000};
    policy.unplaceableAfter = Milliseconds{2'000};
    policy.sweepInterval = Milliseconds{500};
    policy.faultBackoff = Milliseconds{200};
    policy.maxFaultBackoff = Milliseconds{3'000};
    policy.probeDelay = Milliseconds{500};
    return policy;
}

FaultRates randomRates(Random &random)
{
    FaultRates rates;
    rates.loseMessage = 0.2 * random.unit();
    rates.duplicateMessage = 0.2 * random.unit();
    rates.crashAtAppend = random.below(2) * 0.02;
    rates.longestDelay = random.below(3) == 0 ? 2'500 : 100;
    rates.pauseOwner = random.below(2) * 0.02;
    rates.longestPause = 3'000;
    rates.loseWorker = random.below(2) * 0.1;
    rates.rebootWorker = random.below(2) * 0.05;
    rates.longestLoss = 9'000;
    return rates;
}

void addCall(Zone &zone, std::size_t index)
{
    FakeCall call;
    const std::string key = "k" + std::to_string(index);
    call.accepted.tenant = AccountId("t" + std::to_string(index % 3));
    call.accepted.service = ServiceId("s");
    call.accepted.idempotencyKey = key;
    call.accepted.payload = key;
    call.accepted.declared = {1, 100, 0};
    call.accepted.declaredDuration = Milliseconds{500};
    call.accepted.idempotent = zone.random.below(2) == 0;
    call.actual.peak = {1, 60 + zone.random.below(80), 0};
    call.actual.duration = Milliseconds{100 + static_cast<std::int64_t>(zone.random.below(1500))};
    call.actual.isFailing = zone.random.below(10) == 0;
    zone.callByKey[key] = zone.calls.size();
    zone.calls.push_back(std::move(call));
}

void prepare(Zone &zone)
{
    for (int i = 0; i < 4; ++i) {
        FakeWorker worker;
        worker.host = HostId("h" + std::to_string(i));
        worker.rack = RackId("r" + std::to_string(i / 2));
        worker.services = {ServiceId("s")};
        worker.capacity = {4, 800, 0};
        worker.failsAll = i == 0 && zone.random.below(4) == 0;
        zone.addWorker(std::move(worker));
    }
    zone.addOwners(2 + zone.random.below(2));
    zone.start(Milliseconds{50}, Milliseconds{200});
    for (std::size_t i = 0; i < 20; ++i) {
        addCall(zone, i);
        const auto at = Milliseconds{static_cast<std::int64_t>(zone.random.below(8'000))};
        zone.timeline.after(at, [&zone, i] { zone.submit(i); });
        if (zone.random.below(3) == 0) {
            const auto later = Milliseconds{static_cast<std::int64_t>(zone.random.below(4'000))};
            zone.timeline.after(at + later, [&zone, i] { zone.cancel(i); });
        }
    }
    const auto outage = Milliseconds{static_cast<std::int64_t>(zone.random.below(10'000))};
    zone.timeline.after(outage, [&zone] { zone.isLogDown = zone.random.below(3) == 0; });
    zone.timeline.after(outage + Milliseconds{2'000}, [&zone] { zone.isLogDown = false; });
}

struct Totals
{
    std::uint64_t executed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t notRun = 0;
    std::uint64_t finished = 0;
};

void expectPromisesHeld(const std::vector<history::Event> &events, std::uint64_t seed)
{
    for (const auto &result :
         {history::checkNoAcceptedRunLost(events), history::checkNonIdempotentOnce(events),
          history::checkCancelledNeverStarts(events), history::checkVerdictsTrue(events)}) {
        for (const history::Violation &violation : result.violations) {
            ADD_FAILURE() << "seed " << seed << ": " << result.guarantee << ": " << violation.what;
        }
    }
}

void count(const Zone &zone, Totals &totals)
{
    for (const history::Event &event : zone.history) {
        totals.executed += std::holds_alternative<history::RunExecuted>(event.body) ? 1 : 0;
        if (const auto *end = std::get_if<history::RunCompletionResponse>(&event.body)) {
            totals.cancelled += end->isCancelled ? 1 : 0;
            totals.notRun += end->verdict == Verdict::NotRun ? 1 : 0;
            totals.mayHaveRun += end->verdict == Verdict::MayHaveRun ? 1 : 0;
            totals.finished += end->verdict == Verdict::Ran ? 1 : 0;
        }
    }
}

// Runs one interleaving: 12 s with faults, then 30 s without faults, in which all runs have to end.
void runInterleaving(std::uint64_t seed, Totals &totals)
{
    Random random(seed);
    const FaultRates rates = randomRates(random);
    Zone zone(seed, quickPolicy(), rates);
    prepare(zone);
    zone.timeline.runUntil(zone.timeline.now() + Milliseconds{12'000});
    zone.heal();
    zone.timeline.runUntil(zone.timeline.now() + Milliseconds{30'000});
    const RunsState state = zone.finalState();
    std::set<std::string> keys;
    for (const auto &[ordinal, run] : state.runs) {
        zone.history.push_back({zone.timeline.now(), history::RunKnownAtEnd{run.id()}});
        EXPECT_TRUE(isFinal(run.stage))
                << "seed " << seed << ": " << run.id().text() << " is " << stageText(run.stage);
        EXPECT_TRUE(keys.insert(run.accepted.idempotencyKey).second)
                << "seed " << seed << ": a request was accepted twice";
    }
    EXPECT_EQ(state.runs.size(), zone.calls.size()) << "seed " << seed;
    expectPromisesHeld(zone.history, seed);
    count(zone, totals);
}

std::uint64_t numberFromEnvironment(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::stoull(text) : fallback;
}

// Guards against lost and duplicated runs under any combination of lost, duplicated, late and
// reordered messages, crashes around appends, pauses, lost and rebooting workers, and
// cancellations. The totals guard against a test that exercises none of these.
TEST(Interleaving, PromisesHold)
{
    const std::uint64_t first = numberFromEnvironment("POPLAR_FIRST_SEED", 1);
    const std::uint64_t interleavings = numberFromEnvironment("POPLAR_INTERLEAVINGS", 2'000);
    Totals totals;
    for (std::uint64_t seed = first; seed < first + interleavings; ++seed) {
        runInterleaving(seed, totals);
        if (testing::Test::HasFailure()) {
            break;
        }
    }
    std::printf("executed %lu, finished %lu, cancelled %lu, not run %lu, may have run %lu\n",
                totals.executed, totals.finished, totals.cancelled, totals.notRun,
                totals.mayHaveRun);
    EXPECT_GT(totals.finished, interleavings);
    EXPECT_GT(totals.cancelled, 0U);
    EXPECT_GT(totals.mayHaveRun, 0U);
    EXPECT_GT(totals.notRun, 0U);
}

}  // namespace
}  // namespace poplarstream
