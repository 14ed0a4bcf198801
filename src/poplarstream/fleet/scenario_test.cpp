#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/fleet/queries.hpp"  // for budgetOf, awayHosts
#include "poplarstream/fleet/random_log.hpp"  // for smallFleet
#include "poplarstream/fleet/replay.hpp"  // for apply

namespace poplarstream {
namespace {

// The state and log of a fleet of three pools (p: h0 to h3, o: h4 and h5, q: h6 and h7). Functions
// that append a record return the reason of its refusal, or an empty string.
struct FleetFixture
{
    FleetState state;
    std::int64_t time = 1000;

    FleetFixture() { EXPECT_EQ(change(smallFleet()), ""); }

    std::string append(ControlBody body, const std::string &id = {})
    {
        const Offset offset = state.next;
        const RecordHeader header{RecordId(id.empty() ? "r" + std::to_string(offset) : id),
                                  EntryHostId("e1")};
        return apply(state, {offset, timePoint(time), {header, std::move(body)}}).reason;
    }
    std::string change(std::vector<ConfigEdit> edits)
    {
        return append(ConfigChange{state.version, "ann", std::move(edits)});
    }
    std::string reboot(const char *host, const char *wave = "")
    {
        return append(AbsenceRequest{HostId(host), AbsenceKind::Reboot, {}, WaveId(wave), "test"});
    }
    std::string move(const char *host, const char *target)
    {
        return append(AbsenceRequest{HostId(host), AbsenceKind::Move, PoolId(target), WaveId("w"),
                                     "test"});
    }
    std::string progress(const char *host, AbsencePhase phase)
    {
        const auto &absence = state.hosts.at(HostId(host)).absence;
        return append(AbsenceProgress{HostId(host), absence ? absence->grant : 0, phase});
    }
    void completeAbsence(const char *host)
    {
        progress(host, AbsencePhase::Drained);
        progress(host, AbsencePhase::Away);
        progress(host, AbsencePhase::Returning);
        EXPECT_EQ(progress(host, AbsencePhase::Returned), "");
    }
    std::string health(const char *host, bool failed)
    {
        return append(HostHealth{HostId(host), failed, "probe"});
    }
    std::uint32_t remaining(const char *pool) { return budgetOf(state, PoolId(pool))->remaining; }
    HostState stateOf(const char *host) { return state.hosts.at(HostId(host)).state; }
};

// Guards against two concurrent changes that both take effect, and against a change that takes
// effect only partly.
TEST(Scenario, ConcurrentAndInvalidChanges)
{
    FleetFixture fleet;
    const std::uint64_t base = fleet.state.version;
    EXPECT_EQ(fleet.append(ConfigChange{base, "bob", {{"pool p", "max_away", "1"}}}, "bob-1"), "");
    EXPECT_EQ(fleet.append(ConfigChange{base, "eve", {{"pool p", "max_away", "3"}}}),
              "version 2 is in force since change bob-1 by bob; the change was written for "
              "version 1");
    const ConfigDocument before = fleet.state.document;
    EXPECT_EQ(fleet.change({{"pool p", "max_away", "2"}, {"pool q", "max_away", "5"}}),
              "[pool q] max_away: expected at most 2, the number of hosts in the pool, found "
              "\"5\"");
    EXPECT_EQ(fleet.state.document, before);
    EXPECT_EQ(fleet.state.version, 2u);
    EXPECT_TRUE(changeOutcome(fleet.state, RecordId("bob-1"))->granted);
    EXPECT_EQ(fleet.append(ConfigChange{2, "bob", {{"pool p", "max_away", "3"}}}, "bob-1"),
              "the record was seen before");
}

// Guards against an exceeded budget (guarantee 1) when an operator lowers a budget in use.
TEST(Scenario, LoweredBudget)
{
    FleetFixture fleet;
    EXPECT_EQ(fleet.reboot("h0"), "");
    EXPECT_EQ(fleet.reboot("h1"), "");
    EXPECT_EQ(fleet.change({{"pool p", "max_away", "1"}}),
              "2 hosts of pool p are away or moving in by grant, so max_away can not be 1 yet");
    fleet.completeAbsence("h0");
    EXPECT_EQ(fleet.change({{"pool p", "max_away", "1"}}), "");
    SCOPED_TRACE("given more failures than the budget, it can be lowered and nothing is granted");
    EXPECT_EQ(fleet.health("h2", true), "");
    EXPECT_EQ(fleet.health("h3", true), "");
    fleet.completeAbsence("h1");
    EXPECT_EQ(fleet.change({{"pool p", "max_away", "0"}}), "");
    EXPECT_EQ(fleet.reboot("h0"), "2 hosts of pool p are away and 0 are moving in; 0 may be away");
}

// Guards against a host that is removed while it reboots and counts as in service when it is added
// again, and against removals of hosts in service that exceed the budget.
TEST(Scenario, RemovedHosts)
{
    FleetFixture fleet;
    const auto remove = [&](const char *host) {
        return fleet.change({{std::string("host ") + host, std::nullopt, std::nullopt}});
    };
    EXPECT_EQ(fleet.reboot("h0"), "");
    EXPECT_EQ(remove("h0"), "host h0 is draining under the absence granted at offset 1; it can be "
                            "removed when it is back or has failed");
    EXPECT_EQ(fleet.change({{"host h1", "pool", "o"}}),
              "host h1 is in pool p; only a move changes its pool");
    EXPECT_EQ(fleet.change({{"host h1", {}, {}}, {"host h2", {}, {}}}),
              "1 hosts of pool p are away and the change removes 2 in service; 2 may be away");
    EXPECT_EQ(fleet.health("h0", true), "");
    EXPECT_EQ(remove("h0"), "");
    EXPECT_EQ(fleet.append(AbsenceProgress{HostId("h0"), 1, AbsencePhase::Drained}),
              "the host is not configured");
    EXPECT_EQ(fleet.remaining("p"), 2u);
}

// Guards against a worker that gets fencing tokens from the streams of two zones without a restart:
// it would reject newer tokens, or mistake two runs with equal tokens for the same run.
TEST(Scenario, HostsKeepTheirZone)
{
    FleetFixture fleet;
    const ConfigDocument before = fleet.state.document;
    EXPECT_EQ(fleet.change({{"host h1", "zone", "b"}, {"host h1", "rack", "k2"}}),
              "host h1 is in zone a; to change its zone, remove it and restart its worker before "
              "it is added again");
    EXPECT_EQ(fleet.state.document, before);
}

// Guards against late or repeated reports that return a host to service before its probe.
TEST(Scenario, StaleProgress)
{
    FleetFixture fleet;
    EXPECT_EQ(fleet.reboot("h0"), "");
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Returned), "the host is draining");
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Drained), "");
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Drained), "the host is away");
    fleet.completeAbsence("h0");
    EXPECT_EQ(fleet.append(AbsenceProgress{HostId("h0"), 1, AbsencePhase::Returned}),
              "the absence granted at offset 1 has ended");
    EXPECT_EQ(fleet.reboot("h0"), "");
    EXPECT_EQ(fleet.append(AbsenceProgress{HostId("h0"), 1, AbsencePhase::Drained}),
              "the report is about the absence granted at offset 1, and the present one was "
              "granted at offset 10");
    SCOPED_TRACE("an abandoned absence ends only with a probe");
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Abandoned), "");
    EXPECT_EQ(fleet.stateOf("h0"), HostState::Returning);
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Returned), "");
}

// Guards against a host that stays away for ever because its reboot never ends, and against one
// that returns to service without a probe.
TEST(Scenario, HostThatDoesNotComeBack)
{
    FleetFixture fleet;
    EXPECT_EQ(fleet.reboot("h0"), "");
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Away), "");
    EXPECT_EQ(fleet.health("h0", true), "");
    EXPECT_EQ(fleet.remaining("p"), 1u);
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Returning), "the host is failed");
    EXPECT_EQ(fleet.health("h0", false), "");
    EXPECT_EQ(fleet.stateOf("h0"), HostState::Returning);
    EXPECT_EQ(fleet.progress("h0", AbsencePhase::Returned), "");
    EXPECT_EQ(fleet.remaining("p"), 2u);
}

// Guards against a withdrawn wave that continues, and against one that does not return its hosts to
// service.
TEST(Scenario, StoppedAndWithdrawnWave)
{
    FleetFixture fleet;
    EXPECT_EQ(fleet.reboot("h0", "v"), "wave v is stopped");
    EXPECT_EQ(fleet.reboot("h0", "u"), "wave u is not configured");
    EXPECT_EQ(fleet.change({{"wave v", "state", "running"}}), "");
    EXPECT_EQ(fleet.reboot("h0", "v"), "");
    EXPECT_EQ(fleet.change({{"wave v", "state", "withdrawn"}}), "");
    EXPECT_EQ(fleet.reboot("h1", "v"), "wave v is withdrawn");
    fleet.completeAbsence("h0");
    EXPECT_EQ(fleet.state.waves.at(WaveId("v")).done.count(HostId("h0")), 1u);
    EXPECT_FALSE(decisionsOf(fleet.state, WaveId("v")).empty());
    SCOPED_TRACE("the log time decides whether a window over midnight is open");
    EXPECT_EQ(fleet.change({{"wave v", "state", "running"},
                            {"wave v", "window_start", "82800"},
                            {"wave v", "window_end", "3600"}}),
              "");
    fleet.time = 3'600'000;
    EXPECT_EQ(fleet.reboot("h1", "v"), "the time is outside the window of wave v");
    fleet.time = 82'800'000;
    EXPECT_EQ(fleet.reboot("h1", "v"), "");
}

// Guards against a host that is rebooted once for each wave that includes it, and against a wave
// that skips a host because of an absence without a reboot or from before the wave was running.
TEST(Scenario, OneRebootForSeveralWaves)
{
    FleetFixture fleet;
    const auto isDone = [&](const char *wave, const char *host) {
        return fleet.state.waves.at(WaveId(wave)).done.contains(HostId(host));
    };
    EXPECT_EQ(fleet.change({{"wave v", "state", "running"},
                            {"wave u", "pools", "p"},
                            {"wave u", "action", "reboot"},
                            {"wave u", "state", "stopped"},
                            {"wave t", "pools", "q"},
                            {"wave t", "action", "reboot"},
                            {"wave t", "state", "running"},
                            {"wave s", "pools", "o"},
                            {"wave s", "action", "reboot"},
                            {"wave s", "state", "running"}}),
              "");
    SCOPED_TRACE("a reboot for v does not count for u, which is stopped");
    EXPECT_EQ(fleet.reboot("h0", "v"), "");
    fleet.completeAbsence("h0");
    EXPECT_TRUE(isDone("v", "h0"));
    EXPECT_FALSE(isDone("u", "h0"));
    SCOPED_TRACE("a reboot for v counts for u, which is running, but not for waves of other pools");
    EXPECT_EQ(fleet.change({{"wave u", "state", "running"}}), "");
    EXPECT_EQ(fleet.reboot("h1", "v"), "");
    fleet.completeAbsence("h1");
    EXPECT_TRUE(isDone("v", "h1") && isDone("u", "h1"));
    EXPECT_FALSE(isDone("s", "h1") || isDone("t", "h1") || isDone("w", "h1"));
    SCOPED_TRACE("a reboot with a move counts for the waves of both pools");
    EXPECT_EQ(fleet.append(AbsenceRequest{HostId("h2"), AbsenceKind::RebootAndMove, PoolId("q"),
                                          WaveId("w"), "test"}),
              "");
    EXPECT_EQ(fleet.progress("h2", AbsencePhase::Away), "");
    EXPECT_EQ(fleet.append(HostMove{HostId("h2"), PoolId("p"), PoolId("q")}), "");
    fleet.completeAbsence("h2");
    EXPECT_TRUE(isDone("w", "h2") && isDone("v", "h2") && isDone("u", "h2") && isDone("t", "h2"));
    SCOPED_TRACE("a move without a reboot does not count as a reboot");
    EXPECT_EQ(fleet.move("h4", "q"), "");
    EXPECT_EQ(fleet.progress("h4", AbsencePhase::Away), "");
    EXPECT_EQ(fleet.append(HostMove{HostId("h4"), PoolId("o"), PoolId("q")}), "");
    fleet.completeAbsence("h4");
    EXPECT_TRUE(isDone("w", "h4"));
    EXPECT_FALSE(isDone("s", "h4") || isDone("t", "h4"));
}

// Guards against an exceeded budget (guarantee 1) in the pool that a host moves to, and against
// changes that are blocked because moves have made a pool smaller than its budget.
TEST(Scenario, Move)
{
    FleetFixture fleet;
    EXPECT_EQ(fleet.reboot("h7"), "");
    EXPECT_EQ(fleet.move("h4", "q"),
              "1 hosts of pool q are away and 0 are moving in; 1 may be away");
    fleet.completeAbsence("h7");
    EXPECT_EQ(fleet.move("h4", "q"), "");
    EXPECT_EQ(fleet.remaining("q"), 0u);
    EXPECT_EQ(fleet.reboot("h6"), "0 hosts of pool q are away and 1 are moving in; 1 may be away");
    EXPECT_EQ(fleet.append(HostMove{HostId("h4"), PoolId("o"), PoolId("q")}),
              "the host is draining, not away");
    EXPECT_EQ(fleet.progress("h4", AbsencePhase::Drained), "");
    EXPECT_EQ(fleet.append(HostMove{HostId("h4"), PoolId("o"), PoolId("q")}), "");
    EXPECT_EQ(*valueOf(*fleet.state.document.find(SectionId("host h4")), "pool"), "q");
    EXPECT_EQ(fleet.remaining("o"), 1u);
    EXPECT_EQ(fleet.remaining("q"), 0u);
    fleet.completeAbsence("h4");
    EXPECT_EQ(fleet.state.waves.at(WaveId("w")).done.count(HostId("h4")), 1u);
    EXPECT_EQ(fleet.move("h5", "q"), "");
    EXPECT_EQ(fleet.progress("h5", AbsencePhase::Away), "");
    EXPECT_EQ(fleet.append(HostMove{HostId("h5"), PoolId("o"), PoolId("q")}), "");
    EXPECT_EQ(hostsOf(fleet.state, PoolId("o")).size(), 0u);
    EXPECT_EQ(fleet.change({{"fleet", "name", "renamed"}}), "");
}

// Guards against spare hosts that are lent without a record of the loan, and against moves of a
// wave that are mistaken for loans.
TEST(Scenario, Loans)
{
    FleetFixture fleet;
    const auto loanOf = [&](const char *host) { return fleet.state.hosts.at(HostId(host)).loan; };
    const auto request = [&](const char *host, const char *target, const char *wave) {
        return fleet.append(AbsenceRequest{HostId(host), AbsenceKind::Move, PoolId(target),
                                           WaveId(wave), "test"});
    };
    const auto departAndMove = [&](const char *host, const char *from, const char *to) {
        EXPECT_EQ(fleet.progress(host, AbsencePhase::Away), "");
        return fleet.append(HostMove{HostId(host), PoolId(from), PoolId(to)});
    };
    EXPECT_EQ(fleet.change({{"wave v", "state", "running"}}), "");
    SCOPED_TRACE("a spare host that moves for a reboot wave is on loan after its move");
    EXPECT_EQ(request("h6", "p", "v"), "");
    EXPECT_FALSE(loanOf("h6"));
    SCOPED_TRACE("the loan does not depend on the wave, which is removed before the move");
    EXPECT_EQ(fleet.change({{"wave v", std::nullopt, std::nullopt}}), "");
    EXPECT_EQ(departAndMove("h6", "q", "p"), "");
    EXPECT_EQ(loanOf("h6"), (HostLoan{PoolId("q"), PoolId("p"), WaveId("v")}));
    fleet.completeAbsence("h6");
    SCOPED_TRACE("a host of another pool that moves to the target of its wave is not on loan");
    EXPECT_EQ(fleet.move("h4", "q"), "");
    EXPECT_EQ(departAndMove("h4", "o", "q"), "");
    EXPECT_FALSE(loanOf("h4"));
    fleet.completeAbsence("h4");
    SCOPED_TRACE("the loan ends when the host moves back without a wave");
    EXPECT_EQ(request("h6", "q", ""), "");
    EXPECT_TRUE(loanOf("h6"));
    EXPECT_EQ(departAndMove("h6", "p", "q"), "");
    EXPECT_FALSE(loanOf("h6"));
}

// Guards against a grant when a lost zone, or the loss of one more rack, would exceed the budget.
TEST(Scenario, ZoneAndRack)
{
    FleetFixture fleet;
    EXPECT_EQ(fleet.append(ZoneReachability{ZoneId("a"), true}), "");
    EXPECT_EQ(awayHosts(fleet.state, PoolId("p")).size(), 4u);
    EXPECT_EQ(fleet.reboot("h0"), "zone a is lost");
    EXPECT_EQ(fleet.append(ZoneReachability{ZoneId("a"), false}), "");
    EXPECT_EQ(fleet.change({{"fleet", "rack_headroom", "yes"}}), "");
    EXPECT_EQ(fleet.reboot("h0"), "the loss of rack k1 would take 2 more hosts of pool p, and room "
                                  "for 1 would remain");
    EXPECT_EQ(fleet.change({{"pool p", "max_away", "3"}}), "");
    EXPECT_EQ(fleet.reboot("h0"), "");
    EXPECT_NE(fleet.reboot("h1"), "");
}

// Guards against a wave that is refused because all hosts without a rack count as one large rack.
TEST(Scenario, HostsWithoutRack)
{
    FleetFixture fleet;
    EXPECT_EQ(fleet.change({{"fleet", "rack_headroom", "yes"}}), "");
    // Validation requires a rack, so it is removed from the state directly.
    for (auto &[id, host] : fleet.state.hosts) {
        HostConfig config = *host.config;
        config.rack = RackId();
        host.config = std::make_shared<const HostConfig>(std::move(config));
    }
    EXPECT_EQ(fleet.reboot("h0"), "");
    EXPECT_EQ(fleet.reboot("h1"), "the loss of host h2 would take 1 more hosts of pool p, and room "
                                  "for 0 would remain");
}

// Guards against two holders of a leader lease, even if the log clock jumps.
TEST(Scenario, LeaderLeases)
{
    FleetFixture fleet;
    const auto lease = [&](const char *holder, std::int64_t duration) {
        return fleet.append(
                LeaderLease{DutyId("plan"), EntryHostId(holder), Milliseconds{duration}});
    };
    EXPECT_EQ(lease("e1", 100), "");
    EXPECT_EQ(lease("e2", 100), "e1 holds the duty for another 100 ms");
    fleet.time += 60;
    EXPECT_EQ(lease("e1", 100), "");
    EXPECT_EQ(leaseHolder(fleet.state, DutyId("plan"), fleet.state.time)->token, 1u);
    fleet.time -= 500;
    EXPECT_EQ(lease("e2", 100), "e1 holds the duty for another 100 ms");
    fleet.time += 600;
    EXPECT_EQ(lease("e2", 100), "");
    EXPECT_EQ(lease("e2", 0), "");
    EXPECT_EQ(lease("e2", 0), "nobody holds the duty");
    EXPECT_EQ(lease("e1", 3'600'000), "a lease lasts at most 600000 ms");
    SCOPED_TRACE("a log clock that is a day ahead for one record does not extend the lease");
    fleet.time += 86'400'000;
    EXPECT_EQ(lease("e1", 100), "");
    fleet.time -= 86'400'000;
    EXPECT_EQ(lease("e2", 100), "e1 holds the duty for another 100 ms");
    fleet.time += 100;
    EXPECT_EQ(lease("e2", 100), "");
}

// Guards against memory that grows with the log: histories keep a limited number of short texts.
TEST(Scenario, BoundedHistory)
{
    FleetFixture fleet;
    for (int i = 0; i < 100; ++i) {
        fleet.append(HostHealth{HostId("h0"), i % 2 == 0, std::string(60'000, 'x')});
        fleet.append(HostHealth{HostId("nowhere"), true, ""});
        fleet.change({{"pool p", "max_away", "99"}});
    }
    EXPECT_EQ(decisionsOf(fleet.state, HostId("h0")).size(), maxDecisionsPerHost);
    EXPECT_LE(decisionsOf(fleet.state, HostId("h0"))[0].reason.size(), 240u);
    EXPECT_EQ(fleet.state.unknownHostDecisions.size(), maxUnknownHostDecisions);
    EXPECT_EQ(fleet.state.changes.size(), maxChangeDecisions);
}

}  // namespace
}  // namespace poplarstream
