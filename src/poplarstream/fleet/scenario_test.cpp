#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/fleet/queries.hpp"  // for budgetOf, awayHosts
#include "poplarstream/fleet/random_log.hpp"  // for smallFleet
#include "poplarstream/fleet/replay.hpp"  // for apply

namespace poplarstream {
namespace {

// A fleet of three pools (p: h0 to h3, o: h4 and h5, q: h6 and h7) and its log. Each function
// appends one record and returns the reason of a refusal, or nothing.
struct Story
{
    FleetState state;
    std::int64_t time = 1000;

    Story() { EXPECT_EQ(change(smallFleet()), ""); }

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
    void bringBack(const char *host)
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

// Guards against two racing changes that both take effect, and against a change that takes effect
// in part.
TEST(Scenario, RacingAndInvalidChanges)
{
    Story story;
    const std::uint64_t base = story.state.version;
    EXPECT_EQ(story.append(ConfigChange{base, "bob", {{"pool p", "max_away", "1"}}}, "bob-1"), "");
    EXPECT_EQ(story.append(ConfigChange{base, "eve", {{"pool p", "max_away", "3"}}}),
              "version 2 is in force since change bob-1 by bob; the change was written for "
              "version 1");
    const ConfigDocument before = story.state.document;
    EXPECT_EQ(story.change({{"pool p", "max_away", "2"}, {"pool q", "max_away", "5"}}),
              "[pool q] max_away: expected at most 2, the number of hosts in the pool, found "
              "\"5\"");
    EXPECT_EQ(story.state.document, before);
    EXPECT_EQ(story.state.version, 2u);
    EXPECT_TRUE(changeOutcome(story.state, RecordId("bob-1"))->granted);
    EXPECT_EQ(story.append(ConfigChange{2, "bob", {{"pool p", "max_away", "3"}}}, "bob-1"),
              "the record was seen before");
}

// Guards guarantee 1 when an operator lowers a budget that is in use.
TEST(Scenario, LoweredBudget)
{
    Story story;
    EXPECT_EQ(story.reboot("h0"), "");
    EXPECT_EQ(story.reboot("h1"), "");
    EXPECT_EQ(story.change({{"pool p", "max_away", "1"}}),
              "2 hosts of pool p are away or moving in by grant, so max_away can not be 1 yet");
    story.bringBack("h0");
    EXPECT_EQ(story.change({{"pool p", "max_away", "1"}}), "");
    SCOPED_TRACE(
            "given failures beyond the budget, then it can be lowered, and nothing is granted");
    EXPECT_EQ(story.health("h2", true), "");
    EXPECT_EQ(story.health("h3", true), "");
    story.bringBack("h1");
    EXPECT_EQ(story.change({{"pool p", "max_away", "0"}}), "");
    EXPECT_EQ(story.reboot("h0"), "2 hosts of pool p are away and 0 are moving in; 0 may be away");
}

// Guards against a host that is taken out while it reboots and counts as in service when it is
// added again, and against removals in service that exceed the budget.
TEST(Scenario, RemovedHosts)
{
    Story story;
    const auto remove = [&](const char *host) {
        return story.change({{std::string("host ") + host, std::nullopt, std::nullopt}});
    };
    EXPECT_EQ(story.reboot("h0"), "");
    EXPECT_EQ(remove("h0"), "host h0 is draining under the absence granted at offset 1; it can be "
                            "removed when it is back or has failed");
    EXPECT_EQ(story.change({{"host h1", "pool", "o"}}),
              "host h1 is in pool p; only a move changes its pool");
    EXPECT_EQ(story.change({{"host h1", {}, {}}, {"host h2", {}, {}}}),
              "1 hosts of pool p are away and the change removes 2 in service; 2 may be away");
    EXPECT_EQ(story.health("h0", true), "");
    EXPECT_EQ(remove("h0"), "");
    EXPECT_EQ(story.append(AbsenceProgress{HostId("h0"), 1, AbsencePhase::Drained}),
              "the host is not configured");
    EXPECT_EQ(story.remaining("p"), 2u);
}

// Guards against a worker that meets the fencing tokens of two zones' streams under one boot: it
// would refuse newer ones, or take two runs with equal ones for the same.
TEST(Scenario, HostsKeepTheirZone)
{
    Story story;
    const ConfigDocument before = story.state.document;
    EXPECT_EQ(story.change({{"host h1", "zone", "b"}, {"host h1", "rack", "k2"}}),
              "host h1 is in zone a; to change its zone, remove it and restart its worker before "
              "it is added again");
    EXPECT_EQ(story.state.document, before);
}

// Guards against late or repeated reports that bring a host back into service before its probe.
TEST(Scenario, StaleProgress)
{
    Story story;
    EXPECT_EQ(story.reboot("h0"), "");
    EXPECT_EQ(story.progress("h0", AbsencePhase::Returned), "the host is draining");
    EXPECT_EQ(story.progress("h0", AbsencePhase::Drained), "");
    EXPECT_EQ(story.progress("h0", AbsencePhase::Drained), "the host is away");
    story.bringBack("h0");
    EXPECT_EQ(story.append(AbsenceProgress{HostId("h0"), 1, AbsencePhase::Returned}),
              "the absence granted at offset 1 has ended");
    EXPECT_EQ(story.reboot("h0"), "");
    EXPECT_EQ(story.append(AbsenceProgress{HostId("h0"), 1, AbsencePhase::Drained}),
              "the report is about the absence granted at offset 1, and the present one was "
              "granted at offset 10");
    SCOPED_TRACE("given an abandoned absence, then only a probe ends it");
    EXPECT_EQ(story.progress("h0", AbsencePhase::Abandoned), "");
    EXPECT_EQ(story.stateOf("h0"), HostState::Returning);
    EXPECT_EQ(story.progress("h0", AbsencePhase::Returned), "");
}

// Guards against a host that is lost for ever because its reboot never ends, and against one that
// returns to service without a probe.
TEST(Scenario, HostThatDoesNotComeBack)
{
    Story story;
    EXPECT_EQ(story.reboot("h0"), "");
    EXPECT_EQ(story.progress("h0", AbsencePhase::Away), "");
    EXPECT_EQ(story.health("h0", true), "");
    EXPECT_EQ(story.remaining("p"), 1u);
    EXPECT_EQ(story.progress("h0", AbsencePhase::Returning), "the host is failed");
    EXPECT_EQ(story.health("h0", false), "");
    EXPECT_EQ(story.stateOf("h0"), HostState::Returning);
    EXPECT_EQ(story.progress("h0", AbsencePhase::Returned), "");
    EXPECT_EQ(story.remaining("p"), 2u);
}

// Guards against a withdrawn wave that goes on, and one that leaves its hosts away.
TEST(Scenario, StoppedAndWithdrawnWave)
{
    Story story;
    EXPECT_EQ(story.reboot("h0", "v"), "wave v is stopped");
    EXPECT_EQ(story.reboot("h0", "u"), "wave u is not configured");
    EXPECT_EQ(story.change({{"wave v", "state", "running"}}), "");
    EXPECT_EQ(story.reboot("h0", "v"), "");
    EXPECT_EQ(story.change({{"wave v", "state", "withdrawn"}}), "");
    EXPECT_EQ(story.reboot("h1", "v"), "wave v is withdrawn");
    story.bringBack("h0");
    EXPECT_EQ(story.state.waves.at(WaveId("v")).done.count(HostId("h0")), 1u);
    EXPECT_FALSE(decisionsOf(story.state, WaveId("v")).empty());
    SCOPED_TRACE("given a window over midnight, then the log's time decides");
    EXPECT_EQ(story.change({{"wave v", "state", "running"},
                            {"wave v", "window_start", "82800"},
                            {"wave v", "window_end", "3600"}}),
              "");
    story.time = 3'600'000;
    EXPECT_EQ(story.reboot("h1", "v"), "the time is outside the window of wave v");
    story.time = 82'800'000;
    EXPECT_EQ(story.reboot("h1", "v"), "");
}

// Guards against a host that is rebooted once for each wave that names it, and against one that a
// wave leaves out because of an absence without a reboot or before the wave ran.
TEST(Scenario, OneRebootForSeveralWaves)
{
    Story story;
    const auto isDone = [&](const char *wave, const char *host) {
        return story.state.waves.at(WaveId(wave)).done.contains(HostId(host));
    };
    EXPECT_EQ(story.change({{"wave v", "state", "running"},
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
    SCOPED_TRACE("when a host is rebooted for v, then u, which is stopped, still needs it");
    EXPECT_EQ(story.reboot("h0", "v"), "");
    story.bringBack("h0");
    EXPECT_TRUE(isDone("v", "h0"));
    EXPECT_FALSE(isDone("u", "h0"));
    SCOPED_TRACE(
            "given u runs, then a reboot for v counts for u, and not for waves of other pools");
    EXPECT_EQ(story.change({{"wave u", "state", "running"}}), "");
    EXPECT_EQ(story.reboot("h1", "v"), "");
    story.bringBack("h1");
    EXPECT_TRUE(isDone("v", "h1") && isDone("u", "h1"));
    EXPECT_FALSE(isDone("s", "h1") || isDone("t", "h1") || isDone("w", "h1"));
    SCOPED_TRACE("when a host is rebooted and moved, then the waves of both pools have it");
    EXPECT_EQ(story.append(AbsenceRequest{HostId("h2"), AbsenceKind::RebootAndMove, PoolId("q"),
                                          WaveId("w"), "test"}),
              "");
    EXPECT_EQ(story.progress("h2", AbsencePhase::Away), "");
    EXPECT_EQ(story.append(HostMove{HostId("h2"), PoolId("p"), PoolId("q")}), "");
    story.bringBack("h2");
    EXPECT_TRUE(isDone("w", "h2") && isDone("v", "h2") && isDone("u", "h2") && isDone("t", "h2"));
    SCOPED_TRACE("when a host only moves, then no wave counts it as rebooted");
    EXPECT_EQ(story.move("h4", "q"), "");
    EXPECT_EQ(story.progress("h4", AbsencePhase::Away), "");
    EXPECT_EQ(story.append(HostMove{HostId("h4"), PoolId("o"), PoolId("q")}), "");
    story.bringBack("h4");
    EXPECT_TRUE(isDone("w", "h4"));
    EXPECT_FALSE(isDone("s", "h4") || isDone("t", "h4"));
}

// Guards guarantee 1 in the pool that a host moves to, and changes that are blocked by a pool that
// moves have made smaller than its budget.
TEST(Scenario, Move)
{
    Story story;
    EXPECT_EQ(story.reboot("h7"), "");
    EXPECT_EQ(story.move("h4", "q"),
              "1 hosts of pool q are away and 0 are moving in; 1 may be away");
    story.bringBack("h7");
    EXPECT_EQ(story.move("h4", "q"), "");
    EXPECT_EQ(story.remaining("q"), 0u);
    EXPECT_EQ(story.reboot("h6"), "0 hosts of pool q are away and 1 are moving in; 1 may be away");
    EXPECT_EQ(story.append(HostMove{HostId("h4"), PoolId("o"), PoolId("q")}),
              "the host is draining, not away");
    EXPECT_EQ(story.progress("h4", AbsencePhase::Drained), "");
    EXPECT_EQ(story.append(HostMove{HostId("h4"), PoolId("o"), PoolId("q")}), "");
    EXPECT_EQ(*valueOf(*story.state.document.find(SectionId("host h4")), "pool"), "q");
    EXPECT_EQ(story.remaining("o"), 1u);
    EXPECT_EQ(story.remaining("q"), 0u);
    story.bringBack("h4");
    EXPECT_EQ(story.state.waves.at(WaveId("w")).done.count(HostId("h4")), 1u);
    EXPECT_EQ(story.move("h5", "q"), "");
    EXPECT_EQ(story.progress("h5", AbsencePhase::Away), "");
    EXPECT_EQ(story.append(HostMove{HostId("h5"), PoolId("o"), PoolId("q")}), "");
    EXPECT_EQ(hostsOf(story.state, PoolId("o")).size(), 0u);
    EXPECT_EQ(story.change({{"fleet", "name", "renamed"}}), "");
}

// Guards against spare hosts that are lent and forgotten, and against moves of a wave that are
// taken for loans.
TEST(Scenario, Loans)
{
    Story story;
    const auto lent = [&](const char *host) { return story.state.hosts.at(HostId(host)).loan; };
    const auto request = [&](const char *host, const char *target, const char *wave) {
        return story.append(AbsenceRequest{HostId(host), AbsenceKind::Move, PoolId(target),
                                           WaveId(wave), "test"});
    };
    const auto moved = [&](const char *host, const char *from, const char *to) {
        EXPECT_EQ(story.progress(host, AbsencePhase::Away), "");
        return story.append(HostMove{HostId(host), PoolId(from), PoolId(to)});
    };
    EXPECT_EQ(story.change({{"wave v", "state", "running"}}), "");
    SCOPED_TRACE("when a spare host moves for a reboot wave, then it is lent with its move");
    EXPECT_EQ(request("h6", "p", "v"), "");
    EXPECT_FALSE(lent("h6"));
    SCOPED_TRACE("given that the wave is removed before the move");
    EXPECT_EQ(story.change({{"wave v", std::nullopt, std::nullopt}}), "");
    EXPECT_EQ(moved("h6", "q", "p"), "");
    EXPECT_EQ(lent("h6"), (HostLoan{PoolId("q"), PoolId("p"), WaveId("v")}));
    story.bringBack("h6");
    SCOPED_TRACE(
            "when a host of another pool moves to the target of its wave, then it is not lent");
    EXPECT_EQ(story.move("h4", "q"), "");
    EXPECT_EQ(moved("h4", "o", "q"), "");
    EXPECT_FALSE(lent("h4"));
    story.bringBack("h4");
    SCOPED_TRACE("when the lent host moves back without a wave, then the loan has ended");
    EXPECT_EQ(request("h6", "q", ""), "");
    EXPECT_TRUE(lent("h6"));
    EXPECT_EQ(moved("h6", "p", "q"), "");
    EXPECT_FALSE(lent("h6"));
}

// Guards against a grant while a lost zone or the loss of one more rack would exceed the budget.
TEST(Scenario, ZoneAndRack)
{
    Story story;
    EXPECT_EQ(story.append(ZoneReachability{ZoneId("a"), true}), "");
    EXPECT_EQ(awayHosts(story.state, PoolId("p")).size(), 4u);
    EXPECT_EQ(story.reboot("h0"), "zone a is lost");
    EXPECT_EQ(story.append(ZoneReachability{ZoneId("a"), false}), "");
    EXPECT_EQ(story.change({{"fleet", "rack_headroom", "yes"}}), "");
    EXPECT_EQ(story.reboot("h0"), "the loss of rack k1 would take 2 more hosts of pool p, and room "
                                  "for 1 would remain");
    EXPECT_EQ(story.change({{"pool p", "max_away", "3"}}), "");
    EXPECT_EQ(story.reboot("h0"), "");
    EXPECT_NE(story.reboot("h1"), "");
}

// Guards against a wave that is refused because hosts without a rack count as one large rack.
TEST(Scenario, HostsWithoutRack)
{
    Story story;
    EXPECT_EQ(story.change({{"fleet", "rack_headroom", "yes"}}), "");
    // The checks of the configuration demand a rack, so it is taken away here.
    for (auto &[id, host] : story.state.hosts) {
        HostConfig config = *host.config;
        config.rack = RackId();
        host.config = std::make_shared<const HostConfig>(std::move(config));
    }
    EXPECT_EQ(story.reboot("h0"), "");
    EXPECT_EQ(story.reboot("h1"), "the loss of host h2 would take 1 more hosts of pool p, and room "
                                  "for 0 would remain");
}

// Guards against two holders of a duty, also when the log's clock jumps back.
TEST(Scenario, DutyLeases)
{
    Story story;
    const auto lease = [&](const char *holder, std::int64_t duration) {
        return story.append(DutyLease{DutyId("plan"), EntryHostId(holder), Milliseconds{duration}});
    };
    EXPECT_EQ(lease("e1", 100), "");
    EXPECT_EQ(lease("e2", 100), "e1 holds the duty for another 100 ms");
    story.time += 60;
    EXPECT_EQ(lease("e1", 100), "");
    EXPECT_EQ(leaseHolder(story.state, DutyId("plan"), story.state.time)->token, 1u);
    story.time -= 500;
    EXPECT_EQ(lease("e2", 100), "e1 holds the duty for another 100 ms");
    story.time += 600;
    EXPECT_EQ(lease("e2", 100), "");
    EXPECT_EQ(lease("e2", 0), "");
    EXPECT_EQ(lease("e2", 0), "nobody holds the duty");
    EXPECT_EQ(lease("e1", 3'600'000), "a lease lasts at most 600000 ms");
    SCOPED_TRACE("given a clock that was a day ahead for one record, then the lease ends in time");
    story.time += 86'400'000;
    EXPECT_EQ(lease("e1", 100), "");
    story.time -= 86'400'000;
    EXPECT_EQ(lease("e2", 100), "e1 holds the duty for another 100 ms");
    story.time += 100;
    EXPECT_EQ(lease("e2", 100), "");
}

// Guards against memory that grows with the log: histories keep a bounded number of short texts.
TEST(Scenario, BoundedHistory)
{
    Story story;
    for (int i = 0; i < 100; ++i) {
        story.append(HostHealth{HostId("h0"), i % 2 == 0, std::string(60'000, 'x')});
        story.append(HostHealth{HostId("nowhere"), true, ""});
        story.change({{"pool p", "max_away", "99"}});
    }
    EXPECT_EQ(decisionsOf(story.state, HostId("h0")).size(), decisionsPerHost);
    EXPECT_LE(decisionsOf(story.state, HostId("h0"))[0].reason.size(), 240u);
    EXPECT_EQ(story.state.unknownHostDecisions.size(), strayDecisions);
    EXPECT_EQ(story.state.changes.size(), changeDecisions);
}

}  // namespace
}  // namespace poplarstream
