#include "poplarstream/maintenance/wave_step.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include <array>  // for array
#include <deque>  // for deque

#include "fake_fleet.hpp"  // for Fleet
#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::maintenance {
namespace {

using std::chrono::seconds;

std::string numbered(const std::string &prefix, std::size_t i)
{
    return prefix + (i < 10 ? "0" : "") + std::to_string(i);
}

// Two pools of 6 hosts in racks of 3, and 2 spare hosts. Drains and reboots are well within the
// timeouts.
fake::Fleet smallFleet(AbsenceKind action)
{
    fake::Fleet fleet;
    fleet.view.pools = {{PoolId("p"), 3}, {PoolId("q"), 4}, {PoolId("spare"), 2, true}};
    for (std::size_t i = 0; i < 14; ++i) {
        HostView host;
        host.id = HostId(numbered("h", i));
        host.pool = PoolId(i < 6 ? "p" : i < 12 ? "q" : "spare");
        host.zone = ZoneId("a");
        host.rack = RackId(numbered("r", i / 3));
        fleet.view.hosts.push_back(host);
    }
    Policy &policy = fleet.view.policy;
    policy.rebootTime = seconds(30);
    policy.moveTime = seconds(5);
    policy.drainTimeout = seconds(60);
    policy.drainExtensions = 1;
    policy.drainRetryDelay = seconds(120);
    policy.returnTimeout = seconds(150);
    policy.failureTimeout = seconds(20);
    WaveView wave;
    wave.id = WaveId("w1");
    wave.pools = {PoolId("p")};
    wave.action = action;
    wave.target = PoolId(hasMove(action) ? "q" : "");
    fleet.view.waves = {wave};
    fleet.view.mayLend = true;
    fleet.machines.resize(fleet.view.hosts.size());
    for (fake::Machine &machine : fleet.machines) {
        machine.drainTime = seconds(20);
        machine.rebootTime = seconds(30);
    }
    return fleet;
}

// Runs stepWaves() with lost, delayed, duplicated and reordered records and commands, stale views,
// log outages, new lease holders, crashes, hosts that do not come back, and changes of the waves.
class Interleaving
{
public:
    explicit Interleaving(std::uint64_t seed)
        : random_(seed)
        , fleet_(smallFleet(static_cast<AbsenceKind>(seed % 3)))
    {
        fleet_.view.hasRackHeadroom = random_.below(4) == 0;
        if (fleet_.view.hasRackHeadroom) {
            for (PoolView &pool : fleet_.view.pools) {
                pool.maxAway += 4;
            }
        }
        if (random_.below(2) == 0) {
            WaveView second = fleet_.view.waves[0];
            second.id = WaveId("w2");
            second.action = AbsenceKind::Reboot;
            second.pools = {PoolId("p"), PoolId("q"), PoolId("spare")};
            fleet_.view.waves.push_back(second);
        }
        for (fake::Machine &machine : fleet_.machines) {
            // Some drains exceed the timeout and its extension.
            machine.drainTime = seconds(random_.below(10) == 0 ? 150 : random_.below(40));
        }
        fleet_.view.pools[0].sustainedDemand = static_cast<double>(random_.below(5));
        fleet_.view.pools[0].demand = static_cast<double>(random_.below(8));
    }

    // Raises the demand on the pool of the first wave so that lending spare hosts pays off.
    void makeLoansWorthwhile()
    {
        fleet_.view.weights = {4, 1, 5};
        fleet_.view.pools[0].sustainedDemand = 3;
        fleet_.view.pools[0].demand = 3;
    }

    enum class End { Complete, Stopped, Withdrawn, Removed };

    // Ends all waves in the same way. A removed wave stays in the view, withdrawn and without
    // pools, until its loans are returned.
    void end(End how)
    {
        for (WaveView &wave : fleet_.view.waves) {
            wave.state = how == End::Complete  ? WaveState::Running
                         : how == End::Stopped ? WaveState::Stopped
                                               : WaveState::Withdrawn;
            if (how == End::Removed) {
                wave.pools.clear();
            }
        }
    }

    void run(int ticks, bool hasFaults)
    {
        hasFaults_ = hasFaults;
        for (int i = 0; i < ticks && (hasFaults || !fleet_.isComplete()); ++i) {
            tick();
        }
    }

    // Ends all faults: dead machines boot, the log is available, drains become short.
    void heal()
    {
        for (std::size_t i = 0; i < fleet_.machines.size(); ++i) {
            fleet_.machines[i].staysAwayOnReboot = false;
            fleet_.machines[i].drainTime = seconds(20);
            if (fleet_.machines[i].state == fake::Machine::State::Dead) {
                fleet_.boot(i);
            }
        }
        for (WaveView &wave : fleet_.view.waves) {
            wave.state = wave.state == WaveState::Stopped ? WaveState::Running : wave.state;
        }
        logAwayFor_ = 0;
        lag_ = 0;
    }

    const fake::Fleet &fleet() const { return fleet_; }
    const std::set<std::string> &pageKeys() const { return pageKeys_; }

private:
    bool chance(std::uint64_t oneIn) { return hasFaults_ && random_.below(oneIn) == 0; }

    void tick()
    {
        fleet_.advance(seconds(1));
        ++tick_;
        injectFaults();
        deliver();
        views_.push_back(fleet_.view);
        if (views_.size() > 5) {
            views_.pop_front();
        }
        if (chance(40)) {
            // A new lease holder does not know which proposals are in flight.
            inFlight_.clear();
            lag_ = random_.below(4);
        }
        if (!chance(6)) {
            step();
        }
    }

    void injectFaults()
    {
        const std::size_t host = random_.below(fleet_.machines.size());
        fake::Machine &machine = fleet_.machines[host];
        if (chance(150)) {
            fleet_.crash(host);
        } else if (chance(20) && machine.state == fake::Machine::State::Dead) {
            fleet_.boot(host);
        }
        if (chance(100)) {
            machine.staysAwayOnReboot = !machine.staysAwayOnReboot;
        }
        if (chance(120)) {
            logAwayFor_ = random_.below(60);
        }
        if (chance(100)) {
            WaveView &wave = fleet_.view.waves[random_.below(fleet_.view.waves.size())];
            wave.state = static_cast<WaveState>(random_.below(3));
        }
        if (chance(200)) {
            fleet_.view.waves[0].target = PoolId(random_.below(2) == 0 ? "q" : "spare");
        }
        logAwayFor_ -= logAwayFor_ > 0 ? 1 : 0;
    }

    // Delivers records and commands whose delay has passed; different delays reorder them.
    void deliver()
    {
        for (std::size_t i = 0; i < records_.size();) {
            if (records_[i].first <= tick_ && logAwayFor_ == 0) {
                fleet_.apply(records_[i].second);
                records_.erase(records_.begin() + static_cast<std::ptrdiff_t>(i));
            } else {
                ++i;
            }
        }
        for (std::size_t i = 0; i < commands_.size();) {
            if (commands_[i].first <= tick_) {
                fleet_.execute(commands_[i].second);
                commands_.erase(commands_.begin() + static_cast<std::ptrdiff_t>(i));
            } else {
                ++i;
            }
        }
        std::erase_if(inFlight_, [&](const auto &entry) { return entry.first <= tick_; });
    }

    void step()
    {
        const FleetView &replayed = views_[views_.size() - 1 - std::min(lag_, views_.size() - 1)];
        std::vector<InFlight> inFlight;
        for (const auto &entry : inFlight_) {
            inFlight.push_back(entry.second);
        }
        const std::vector<HostObservation> observations = fleet_.observe(replayed);
        const bool holdsLease = !chance(10);
        const StepOutput output = stepWaves(
                {replayed, observations, inFlight, holdsLease, logAwayFor_ == 0, fleet_.now});
        for (const ControlBody &body : output.proposals) {
            propose(body);
        }
        for (const HostCommand &command : output.commands) {
            if (!chance(5)) {
                commands_.emplace_back(tick_ + (chance(4) ? random_.below(5) : 0), command);
            }
            if (chance(10)) {
                commands_.emplace_back(tick_ + random_.below(5), command);
            }
        }
        for (const Page &page : output.pages) {
            pageKeys_.insert(page.key);
        }
    }

    void propose(const ControlBody &body)
    {
        const std::size_t landing = tick_ + (chance(3) ? random_.below(6) : 0);
        if (!chance(8)) {
            records_.emplace_back(landing, body);
        }
        if (chance(10)) {
            records_.emplace_back(landing + random_.below(6), body);
        }
        InFlight entry;
        if (const auto *request = std::get_if<AbsenceRequest>(&body)) {
            entry = {request->host, request->target};
        } else if (const auto *progress = std::get_if<AbsenceProgress>(&body)) {
            entry = {progress->host, {}};
        }
        if (!entry.host.isEmpty()) {
            inFlight_.emplace_back(landing + lag_ + 1, entry);
        }
    }

    Random random_;
    fake::Fleet fleet_;
    std::deque<FleetView> views_;
    std::vector<std::pair<std::size_t, ControlBody>> records_;
    std::vector<std::pair<std::size_t, HostCommand>> commands_;
    std::vector<std::pair<std::size_t, InFlight>> inFlight_;
    std::set<std::string> pageKeys_;
    std::size_t tick_ = 0;
    std::size_t lag_ = 0;
    std::uint64_t logAwayFor_ = 0;
    bool hasFaults_ = false;
};

// Guards against a wave that exceeds the budget, interrupts work, leaves a host away without
// counting it, or hangs, when records, commands, hosts and lease holders fail in any order.
TEST(WaveStep, RandomInterleavings)
{
    constexpr std::uint64_t interleavings = 3'000;
    for (std::uint64_t seed = 1; seed <= interleavings; ++seed) {
        SCOPED_TRACE("given faults with seed " + std::to_string(seed));
        Interleaving interleaving(seed);
        interleaving.run(400, true);
        {
            SCOPED_TRACE("when the faults end");
            interleaving.heal();
            interleaving.run(1'500, false);
        }
        SCOPED_TRACE("then no guarantee is violated and the waves are complete");
        ASSERT_EQ(interleaving.fleet().violations, std::vector<std::string>());
        ASSERT_TRUE(interleaving.fleet().isComplete());
    }
}

// Guards against a spare host that stays in the pool that borrowed it, or a loan that exceeds the
// budget of either pool, no matter how and when the wave ends.
TEST(WaveStep, LentHostsReturn)
{
    constexpr std::uint64_t interleavings = 1'000;
    std::array<std::uint32_t, 4> loans{};
    for (std::uint64_t seed = 1; seed <= interleavings; ++seed) {
        const std::uint64_t how = seed % loans.size();
        SCOPED_TRACE("given loans, faults with seed " + std::to_string(seed) + " and the end "
                     + std::to_string(how));
        Interleaving interleaving(seed);
        interleaving.makeLoansWorthwhile();
        interleaving.run(static_cast<int>(20 + seed % 230), true);
        interleaving.heal();
        interleaving.end(static_cast<Interleaving::End>(how));
        interleaving.run(1'500, false);
        loans[how] += interleaving.fleet().loans;
        ASSERT_EQ(interleaving.fleet().violations, std::vector<std::string>());
        ASSERT_TRUE(interleaving.fleet().isComplete());
    }
    for (const std::uint32_t count : loans) {
        EXPECT_GT(count, 100U);  // ensures that the test covers enough loans
    }
}

// Runs without faults until the waves are complete; returns the seconds taken, or nothing after
// `maxSeconds` seconds.
std::optional<int> runUndisturbed(fake::Fleet &fleet, int maxSeconds)
{
    for (int second = 0; second < maxSeconds; ++second) {
        fleet.advance(seconds(1));
        const auto observations = fleet.observe(fleet.view);
        const StepOutput output = stepWaves({fleet.view, observations, {}, true, true, fleet.now});
        for (const ControlBody &body : output.proposals) {
            fleet.apply(body);
        }
        for (const HostCommand &command : output.commands) {
            fleet.execute(command);
        }
        if (fleet.isComplete()) {
            return second;
        }
    }
    return std::nullopt;
}

// Guards against two absences for a host that is part of two waves, which doubles the roll-out.
TEST(WaveStep, OneAbsenceForRebootAndMove)
{
    SCOPED_TRACE("given a reboot wave and a move wave of the same pool");
    fake::Fleet fleet = smallFleet(AbsenceKind::Move);
    WaveView second = fleet.view.waves[0];
    second.id = WaveId("w2");
    second.action = AbsenceKind::Reboot;
    fleet.view.waves.push_back(second);
    SCOPED_TRACE("when they run, then each host leaves once and moves once");
    ASSERT_TRUE(runUndisturbed(fleet, 2'000).has_value());
    EXPECT_EQ(fleet.moves, 6);
    EXPECT_EQ(fleet.view.waves[1].done.size(), 6);
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Guards against a drain that interrupts work because its timeout has passed.
TEST(WaveStep, EndlessDrainIsAbandoned)
{
    SCOPED_TRACE("given a host whose work never finishes");
    fake::Fleet fleet = smallFleet(AbsenceKind::Reboot);
    fleet.machines[0].drainTime = seconds(100'000);
    SCOPED_TRACE("when the wave runs");
    EXPECT_FALSE(runUndisturbed(fleet, 1'000).has_value());
    SCOPED_TRACE("then the other hosts are done and that host still serves or drains");
    EXPECT_EQ(fleet.view.waves[0].done.size(), 5);
    EXPECT_TRUE(fleet.view.hosts[0].lastAbandoned.has_value());
    EXPECT_EQ(fleet.violations, std::vector<std::string>());
}

// Guards against a host that never comes back and occupies a budget slot unnoticed.
TEST(WaveStep, HostThatStaysAwayFailsWithOnePage)
{
    SCOPED_TRACE("given a host that does not come back from its reboot");
    fake::Fleet fleet = smallFleet(AbsenceKind::Reboot);
    fleet.machines[0].staysAwayOnReboot = true;
    std::vector<Page> pages;
    for (int second = 0; second < 1'000; ++second) {
        fleet.advance(seconds(1));
        const auto observations = fleet.observe(fleet.view);
        StepOutput output = stepWaves({fleet.view, observations, {}, true, true, fleet.now});
        for (const ControlBody &body : output.proposals) {
            fleet.apply(body);
        }
        for (const HostCommand &command : output.commands) {
            fleet.execute(command);
        }
        pages.insert(pages.end(), output.pages.begin(), output.pages.end());
    }
    SCOPED_TRACE("then it counts as failed, one page is sent and the other hosts are done");
    EXPECT_EQ(fleet.view.hosts[0].state, HostState::Failed);
    EXPECT_EQ(pages.size(), 1);
    EXPECT_EQ(fleet.view.waves[0].done.size(), 5);
}

// Guards against actions of a holder whose lease has expired, and against hosts that have finished
// their absence but stay out of service while the log is unavailable.
TEST(WaveStep, WithoutLeaseOnlyFinishes)
{
    fake::Fleet fleet = smallFleet(AbsenceKind::Reboot);
    fleet.view.hosts[0].grant = Grant{1, AbsenceKind::Reboot, {}, WaveId("w1"), fleet.now};
    fleet.view.hosts[0].state = HostState::Away;
    HostObservation observation;
    observation.host = fleet.view.hosts[0].id;
    observation.grant = 1;
    observation.isDraining = observation.isDrained = true;
    {
        SCOPED_TRACE("given a drained host, no lease and no log, then it is not rebooted");
        const auto output =
                stepWaves({fleet.view, std::span(&observation, 1), {}, false, false, fleet.now});
        EXPECT_TRUE(output.proposals.empty());
        for (const HostCommand &command : output.commands) {
            EXPECT_EQ(command.kind, CommandKind::Probe);
        }
    }
    {
        SCOPED_TRACE("given a rebooted host, then it is undrained");
        observation.hasRebooted = true;
        const auto output =
                stepWaves({fleet.view, std::span(&observation, 1), {}, false, false, fleet.now});
        ASSERT_EQ(output.commands.size(), 2);
        EXPECT_EQ(output.commands[0].kind, CommandKind::Undrain);
    }
    {
        SCOPED_TRACE("given the log but no lease, then nothing is done");
        const auto output =
                stepWaves({fleet.view, std::span(&observation, 1), {}, false, true, fleet.now});
        EXPECT_TRUE(output.commands.empty());
    }
}

// Guards against a reboot that relies on a status from an earlier absence, or on that of a host
// that accepts work again: either would interrupt work.
TEST(WaveStep, RebootNeedsDrainedHostOfThisGrant)
{
    fake::Fleet fleet = smallFleet(AbsenceKind::Reboot);
    fleet.view.hosts[0].grant = Grant{7, AbsenceKind::Reboot, {}, WaveId("w1"), fleet.now};
    fleet.view.hosts[0].state = HostState::Away;
    const auto reboots = [&](Offset grant, bool isDrained) {
        HostObservation observation;
        observation.host = fleet.view.hosts[0].id;
        observation.grant = grant;
        observation.isDraining = observation.isDrained = isDrained;
        const auto output =
                stepWaves({fleet.view, std::span(&observation, 1), {}, true, true, fleet.now});
        return std::any_of(output.commands.begin(), output.commands.end(),
                           [](const auto &command) { return command.kind == CommandKind::Reboot; });
    };
    EXPECT_TRUE(reboots(7, true));
    EXPECT_FALSE(reboots(7, false));
    EXPECT_FALSE(reboots(6, true));
}

// Guards against recording the hosts of a zone as failed when only one observer cannot reach them.
TEST(WaveStep, UnresponsiveZoneIsNotFailed)
{
    fake::Fleet fleet = smallFleet(AbsenceKind::Reboot);
    SCOPED_TRACE("given no response from 8 of 14 hosts of a zone, then none is reported as failed");
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.machines[i].unansweredSince = timePoint(0);
    }
    fleet.now = timePoint(100'000);
    const auto observations = fleet.observe(fleet.view);
    const auto output = stepWaves({fleet.view, observations, {}, true, true, fleet.now});
    for (const ControlBody &body : output.proposals) {
        EXPECT_FALSE(std::holds_alternative<HostHealth>(body));
    }
}

}  // namespace
}  // namespace poplarstream::maintenance
