#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/history/check.hpp"  // for checkNoAcceptedRunLost, CheckResult
#include "poplarstream/runs/fakes/zone.hpp"  // for Zone

namespace poplarstream {
namespace {

using fakes::FakeCall;
using fakes::FakeWorker;
using fakes::Zone;

constexpr Milliseconds minute{60'000};
constexpr std::size_t runCount = 12;

void prepare(Zone &zone)
{
    for (int i = 0; i < 4; ++i) {
        FakeWorker worker;
        worker.host = HostId("h" + std::to_string(i));
        worker.rack = RackId("r" + std::to_string(i / 2));
        worker.services = {ServiceId("s")};
        worker.capacity = {16, 8'000, 0};
        zone.addWorker(std::move(worker));
    }
    zone.addOwners(2);
    zone.start(Milliseconds{200}, Milliseconds{500});
    for (std::size_t i = 0; i < runCount; ++i) {
        FakeCall call;
        const std::string key = "k" + std::to_string(i);
        call.accepted.tenant = AccountId("t");
        call.accepted.service = ServiceId("s");
        call.accepted.idempotencyKey = key;
        call.accepted.payload = key;
        call.accepted.declared = {1, 100, 0};
        call.accepted.idempotent = i % 2 == 0;
        call.actual.peak = {1, 100, 0};
        // Some runs complete during the outage, some after it.
        call.actual.duration = minute * static_cast<std::int64_t>(4 + i);
        call.accepted.declaredDuration = call.actual.duration;
        zone.callByKey[key] = i;
        zone.calls.push_back(std::move(call));
        zone.submit(i);
    }
}

// The number of runs at each stage.
std::map<RunStage, std::size_t> countStages(const RunsState &state)
{
    std::map<RunStage, std::size_t> stages;
    for (const auto &[ordinal, run] : state.runs) {
        ++stages[run.stage];
    }
    return stages;
}

// Guards against running tasks that stop, run twice or are lost because their owners cannot renew
// their own leases while the log is unavailable.
TEST(Outage, ClaimedRunsGoOn)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Zone zone(seed, RunPolicy{}, {});
        prepare(zone);
        zone.timeline.runUntil(zone.timeline.now() + minute * 2);
        ASSERT_EQ(countStages(zone.finalState())[RunStage::Started], runCount);
        SCOPED_TRACE("given started runs, when the log is unavailable for 10 minutes");
        zone.isLogDown = true;
        zone.timeline.runUntil(zone.timeline.now() + minute * 10);
        zone.isLogDown = false;
        EXPECT_EQ(countStages(zone.finalState())[RunStage::Started], runCount);
        zone.timeline.runUntil(zone.timeline.now() + minute * 6);
        const RunsState state = zone.finalState();
        EXPECT_EQ(countStages(state)[RunStage::Finished], runCount);
        std::size_t executed = 0;
        for (const history::Event &event : zone.history) {
            executed += std::holds_alternative<history::RunExecuted>(event.body) ? 1 : 0;
        }
        EXPECT_EQ(executed, runCount);
        for (const auto &[ordinal, run] : state.runs) {
            zone.history.push_back({zone.timeline.now(), history::RunKnownAtEnd{run.id()}});
        }
        for (const auto &result : {history::checkNoAcceptedRunLost(zone.history),
                                   history::checkNonIdempotentOnce(zone.history),
                                   history::checkVerdictsTrue(zone.history)}) {
            EXPECT_TRUE(result.violations.empty()) << result.guarantee;
        }
    }
}

}  // namespace
}  // namespace poplarstream
