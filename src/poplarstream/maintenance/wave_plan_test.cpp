#include "poplarstream/maintenance/wave_plan.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE
#include <rapidcheck.h>  // for rc::check

#include <algorithm>  // for min, max, max_element
#include <map>  // for map

namespace poplarstream::maintenance {
namespace {

using std::chrono::seconds;

FleetView fleetOf(const std::vector<int> &drains, std::uint32_t budget, AbsenceKind action)
{
    FleetView view;
    view.weights = {1, 1, 0};
    view.pools = {{PoolId("p"), budget}, {PoolId("q"), 2}};
    view.policy.rebootTime = seconds(10);
    view.policy.moveTime = seconds(10);
    for (std::size_t i = 0; i < drains.size(); ++i) {
        HostView host;
        host.id = HostId("h" + std::to_string(i));
        host.pool = PoolId("p");
        host.rack = RackId("r" + std::to_string(i / 2));
        host.remainingWork = seconds(drains[i]);
        view.hosts.push_back(host);
    }
    WaveView wave;
    wave.id = WaveId("w");
    wave.pools = {PoolId("p")};
    wave.action = action;
    wave.target = PoolId(hasMove(action) ? "q" : "");
    view.waves = {wave};
    return view;
}

// The duration of the shortest roll-out, found by trying every assignment of hosts to budget slots.
Milliseconds shortest(const std::vector<Milliseconds> &jobs, std::vector<Milliseconds> &slots,
                      std::size_t next)
{
    if (next == jobs.size()) {
        return *std::max_element(slots.begin(), slots.end());
    }
    Milliseconds best = Milliseconds::max();
    for (Milliseconds &slot : slots) {
        slot += jobs[next];
        best = std::min(best, shortest(jobs, slots, next + 1));
        slot -= jobs[next];
    }
    return best;
}

// The peak number of hosts away at once, counted at the start of each planned absence.
std::uint32_t mostAtOnce(const WavePlan &plan)
{
    std::uint32_t most = 0;
    for (const PlannedAbsence &at : plan.absences) {
        std::uint32_t away = 0;
        for (const PlannedAbsence &other : plan.absences) {
            away += other.start <= at.start && at.start < other.end ? 1 : 0;
        }
        most = std::max(most, away);
    }
    return most;
}

// Guards against a plan that is needlessly long, omits a host, or exceeds the budget. Longest-first
// scheduling on m machines takes at most 4/3 - 1/(3m) of the optimum (Graham 1969).
TEST(WavePlan, AgainstExhaustiveSearch)
{
    EXPECT_TRUE(rc::check("reboots are near the shortest roll-out", [] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 8);
        const auto drains = *rc::gen::container<std::vector<int>>(size, rc::gen::inRange(0, 60));
        const auto budget = *rc::gen::inRange<std::uint32_t>(1, 4);
        const FleetView view = fleetOf(drains, budget, AbsenceKind::Reboot);
        std::vector<Milliseconds> jobs;
        for (const int drain : drains) {
            jobs.emplace_back(seconds(drain + 10));
        }
        std::vector<Milliseconds> slots(budget, Milliseconds{0});
        const Milliseconds best = shortest(jobs, slots, 0);
        const WavePlan plan = planWaves(view, timePoint(0));
        RC_ASSERT(plan.absences.size() == size);
        RC_ASSERT(plan.blocked.empty());
        RC_ASSERT(mostAtOnce(plan) <= budget);
        RC_ASSERT(plan.rollout >= best);
        RC_ASSERT(3 * budget * plan.rollout <= (4 * budget - 1) * best);
    }));
}

// Guards against moves that exceed the budget of the target pool, or a second move of a host.
TEST(WavePlan, MovesShareBothBudgets)
{
    EXPECT_TRUE(rc::check("moves keep the smaller of two budgets", [] {
        const auto drains = *rc::gen::container<std::vector<int>>(7, rc::gen::inRange(0, 60));
        const auto budget = *rc::gen::inRange<std::uint32_t>(1, 5);
        const WavePlan plan =
                planWaves(fleetOf(drains, budget, AbsenceKind::RebootAndMove), timePoint(0));
        RC_ASSERT(plan.absences.size() == drains.size());
        RC_ASSERT(plan.moves == drains.size());
        RC_ASSERT(mostAtOnce(plan) <= std::min<std::uint32_t>(budget, 2));
    }));
}

// Guards against absences that leave no headroom for the loss of a rack.
TEST(WavePlan, RackHeadroom)
{
    SCOPED_TRACE("given 6 hosts in racks of 2 and a budget of 4 with headroom");
    FleetView view = fleetOf({5, 5, 5, 5, 5, 5}, 4, AbsenceKind::Reboot);
    view.hasRackHeadroom = true;
    SCOPED_TRACE("then 3 leave at once, one of each rack, since 3 + 1 hosts fit the budget");
    const WavePlan plan = planWaves(view, timePoint(0));
    EXPECT_EQ(mostAtOnce(plan), 3);
    EXPECT_EQ(plan.rollout, seconds(30));
    SCOPED_TRACE("given a budget below the size of a rack, then the plan gives the reason");
    view.pools[0].maxAway = 1;
    const WavePlan blocked = planWaves(view, timePoint(0));
    ASSERT_EQ(blocked.blocked.size(), 6);
    EXPECT_EQ(blocked.blocked[0].refusal, Refusal::RackHeadroom);
}

// Guards against an absence that starts outside the window or ends after it.
TEST(WavePlan, DayWindow)
{
    SCOPED_TRACE("given a window of 60 s that spans midnight, and absences of 25 s");
    FleetView view = fleetOf({15, 15, 15}, 1, AbsenceKind::Reboot);
    const Milliseconds day = std::chrono::hours(24);
    view.waves[0].window = DayWindow{day - seconds(30), seconds(30)};
    const WavePlan plan = planWaves(view, timePoint(0) + std::chrono::hours(12));
    SCOPED_TRACE("then two start in the first night and one in the second");
    ASSERT_EQ(plan.absences.size(), 3);
    EXPECT_EQ(plan.absences[0].start, timePoint(0) + day - seconds(30));
    EXPECT_EQ(plan.absences[1].start, timePoint(0) + day - seconds(5));
    EXPECT_EQ(plan.absences[2].start, timePoint(0) + 2 * day - seconds(30));
}

// Guards against loans that cost more than they gain, or that are not returned.
TEST(WavePlan, SpareHostsAreLentWhereDemandLimits)
{
    SCOPED_TRACE("given 24 busy hosts, a budget of 8 of which the demand leaves 4, and 8 spares");
    FleetView view = fleetOf(std::vector<int>(24, 290), 8, AbsenceKind::Reboot);
    view.pools = {{PoolId("p"), 8, false, 0, 22 / 1.5}, {PoolId("spare"), 8, true}};
    for (int i = 0; i < 8; ++i) {
        HostView host;
        host.id = HostId("s" + std::to_string(i));
        host.pool = PoolId("spare");
        view.hosts.push_back(host);
    }
    SCOPED_TRACE("when the roll-out is weighted, then loans shorten it and each is returned");
    view.weights = {4, 1, 5};
    view.mayLend = true;
    const WavePlan withLoans = planWaves(view, timePoint(0));
    EXPECT_GT(withLoans.moves, 0);
    EXPECT_EQ(withLoans.moves % 2, 0);
    SCOPED_TRACE("when moves have most of the weight, then there are no loans");
    view.weights = {4, 100, 104};
    const WavePlan without = planWaves(view, timePoint(0));
    EXPECT_EQ(without.moves, 0);
    EXPECT_LT(withLoans.rollout, without.rollout);
}

}  // namespace
}  // namespace poplarstream::maintenance
