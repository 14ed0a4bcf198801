#include "poplarstream/node/wave_view.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/fleet/random_log.hpp"  // for smallFleet
#include "poplarstream/fleet/replay.hpp"  // for apply
#include "poplarstream/maintenance/wave_step.hpp"  // for stepWaves

namespace poplarstream {
namespace {

std::string append(FleetState &state, ControlBody body)
{
    const RecordHeader header{RecordId("r" + std::to_string(state.next)), EntryHostId("e1")};
    return apply(state, {state.next, timePoint(1'000), {header, std::move(body)}}).reason;
}

void moveHost(FleetState &state, const HostId &host, const PoolId &from, const PoolId &to)
{
    const Offset grant = state.hosts.at(host).absence.value().grant;
    EXPECT_EQ(append(state, AbsenceProgress{host, grant, AbsencePhase::Away}), "");
    EXPECT_EQ(append(state, HostMove{host, from, to}), "");
    EXPECT_EQ(append(state, AbsenceProgress{host, grant, AbsencePhase::Returning}), "");
    EXPECT_EQ(append(state, AbsenceProgress{host, grant, AbsencePhase::Returned}), "");
}

// Guards against a spare host that is never returned, because replay, view and stepper disagree on
// its loan or because the wave that borrowed it was removed from the configuration.
TEST(WaveView, LoanOfARemovedWaveIsReturned)
{
    FleetState state;
    EXPECT_EQ(append(state, ConfigChange{0, "ann", smallFleet()}), "");
    EXPECT_EQ(append(state, ConfigChange{1, "ann", {{"wave v", "state", "running"}}}), "");
    const HostId spare("h6");
    EXPECT_EQ(append(state, AbsenceRequest{spare, AbsenceKind::Move, PoolId("p"), WaveId("v"), ""}),
              "");
    moveHost(state, spare, PoolId("q"), PoolId("p"));
    EXPECT_EQ(append(state, ConfigChange{2,
                                         "ann",
                                         {{"wave v", std::nullopt, std::nullopt},
                                          {"wave w", "state", "stopped"}}}),
              "");
    SCOPED_TRACE("the view still has the wave with its loan");
    const maintenance::FleetView view = makeWaveView(state, {}, {});
    EXPECT_TRUE(view.mayLend);
    ASSERT_EQ(view.waves.size(), 2U);
    EXPECT_EQ(view.waves[0].id, WaveId("v"));
    EXPECT_EQ(view.waves[0].state, maintenance::WaveState::Withdrawn);
    ASSERT_EQ(view.waves[0].loans.size(), 1U);
    EXPECT_EQ(view.waves[0].loans[0].host, spare);
    SCOPED_TRACE("the stepper proposes the return, which is granted and ends the loan");
    const maintenance::StepOutput output = maintenance::stepWaves({.fleet = view,
                                                                   .observations = {},
                                                                   .inFlight = {},
                                                                   .holdsLease = true,
                                                                   .isLogAvailable = true,
                                                                   .now = timePoint(1'000)});
    ASSERT_EQ(output.proposals.size(), 1U);
    EXPECT_EQ(append(state, output.proposals[0]), "");
    moveHost(state, spare, PoolId("p"), PoolId("q"));
    EXPECT_EQ(makeWaveView(state, {}, {}).waves.size(), 1U);
}

}  // namespace
}  // namespace poplarstream
