#include "traffic_cases.hpp"

#include <string>  // for string, to_string

#include "traffic_figures.hpp"  // for count, line, addPromises, runWorld
#include "traffic_setup.hpp"  // for makeSetup, addService, addPool

namespace poplarstream::bench {

namespace {

// Three services share a pool. Each takes 28% of it, close below its guaranteed third.
std::vector<MeasureLine> flood(const std::string &name, bool mostUrgent, std::uint64_t seed)
{
    WorldSetup setup = makeSetup(3, {0, 1, 2, 0, 1, 2, 0, 1});
    constexpr Micros time = 50'000;
    const std::size_t tickets = addService(setup, "tickets", time, false);
    const std::size_t proofs = addService(setup, "proofs", time, true);
    const std::size_t archive = addService(setup, "archive", time, true);
    addPool(setup, "m", 12);
    const std::size_t regular = addTenants(setup, 30);
    const std::size_t flooding = addTenants(setup, 5);
    const double all = capacity(setup, time);
    setup.end = 20 * oneSecond;
    setup.work = {{tickets, 0, regular, 30, oneSecond, false, constantRate(0.28 * all), {}},
                  {proofs, 1, regular, 30, oneSecond, false, constantRate(0.28 * all), {}},
                  {archive, 3, regular, 30, oneSecond, false, constantRate(0.28 * all), {}}};
    const WorldSetup undisturbed = setup;
    const Micros from = 8 * oneSecond;
    const Micros to = 18 * oneSecond;
    setup.work.push_back({mostUrgent ? tickets : archive,
                          static_cast<std::uint8_t>(mostUrgent ? 0 : 3),
                          flooding,
                          5,
                          oneSecond,
                          true,
                          rateBetween(20 * all, from, to),
                          {}});

    // "others" are all that do not flood; "other kinds" leave out the tenants of the flooded kind,
    // who share its part of the pool with the flood.
    const std::size_t floodedKind = mostUrgent ? 0 : 2;
    const auto isOther = [&](const CallerRequest &r) { return !setup.work[r.kind].flood; };
    const auto isOtherKind = [&](const CallerRequest &r) {
        return !setup.work[r.kind].flood && r.kind != floodedKind;
    };
    struct Figures
    {
        double others = 0;
        double otherKinds = 0;
        double fits = 0;
    };
    const auto measure = [&](const EntryFactory &factory, const World &flooded) {
        const World alone = runWorld(undisturbed, factory, seed, nothing);
        const auto ratio = [&](const auto &filter) {
            const double before = count(alone, from, to, filter).share();
            return before > 0 ? count(flooded, from, to, filter).share() / before : 0;
        };
        const double seconds = static_cast<double>(to - from) / oneSecond;
        return Figures{ratio(isOther), ratio(isOtherKind),
                       endedOnTime(flooded, from, to) / (all * seconds)};
    };
    const World present = runWorld(setup, presentEntryHost, seed, nothing);
    const World naive = runWorld(setup, naiveEntryHost, seed, nothing);
    const Figures now = measure(presentEntryHost, present);
    const Figures before = measure(naiveEntryHost, naive);
    std::vector<MeasureLine> lines{
            line(name, "others-on-time", before.others, now.others, 0.99, seed),
            line(name, "other-kinds-on-time", before.otherKinds, now.otherKinds, 0.99, seed),
            line(name, "on-time-of-all-that-fits", before.fits, now.fits, 0.95, seed)};
    addPromises(lines, name, present, seed);
    return lines;
}

// Runs one setup in both versions and reports the on-time share between `from` and `to`.
std::vector<MeasureLine> onTime(const std::string &name, const std::string &quantity,
                                const WorldSetup &setup, Micros from, Micros to, std::uint64_t seed,
                                const Prepare &prepare)
{
    const World present = runWorld(setup, presentEntryHost, seed, prepare);
    const World naive = runWorld(setup, naiveEntryHost, seed, prepare);
    std::vector<MeasureLine> lines{line(name, quantity, count(naive, from, to, isAny).share(),
                                        count(present, from, to, isAny).share(), 0.99, seed)};
    addPromises(lines, name, present, seed);
    return lines;
}

// Two services, one idempotent and one not, each at `load` of half of the pool.
void addPlainWork(WorldSetup &setup, double load, Micros time)
{
    const std::size_t tenants = addTenants(setup, 30);
    const double all = capacity(setup, time);
    for (std::size_t service = 0; service < 2; ++service) {
        setup.work.push_back({service,
                              static_cast<std::uint8_t>(service),
                              tenants,
                              30,
                              oneSecond,
                              false,
                              constantRate(load / 2 * all),
                              {}});
    }
}

WorldSetup plainSetup(std::size_t zones, std::vector<std::size_t> entryZones, std::size_t minions,
                      double load)
{
    constexpr Micros time = 50'000;
    WorldSetup setup = makeSetup(zones, std::move(entryZones));
    addService(setup, "tickets", time, false);
    addService(setup, "proofs", time, true);
    addPool(setup, "m", minions);
    addPlainWork(setup, load, time);
    return setup;
}

}  // namespace

std::vector<MeasureLine> floodLeastUrgent(std::uint64_t seed)
{
    return flood("flood-least-urgent", false, seed);
}

std::vector<MeasureLine> floodMostUrgent(std::uint64_t seed)
{
    return flood("flood-most-urgent", true, seed);
}

// Five services take turns at five times their mean, for 4 s each, on a fleet with a tenth more
// slots than the mean demand. All minions serve all services.
std::vector<MeasureLine> burstsInTurn(std::uint64_t seed)
{
    constexpr Micros time = 100'000;
    constexpr Micros turn = 4 * oneSecond;
    constexpr std::size_t count = 5;
    WorldSetup setup = makeSetup(3, {0, 1, 2, 0, 1, 2, 0, 1});
    for (std::size_t i = 0; i < count; ++i) {
        addService(setup, "s" + std::to_string(i), time, i % 2 == 0);
    }
    constexpr std::size_t minions = 55;
    constexpr double held = 0.1;
    addPool(setup, "m", minions);
    const std::size_t tenants = addTenants(setup, 40);
    const double mean = capacity(setup, time) / (1 + held) / count;
    for (std::size_t i = 0; i < count; ++i) {
        const auto rate = [=](Micros t) {
            return static_cast<std::size_t>(t / turn) % count == i ? 5 * mean : mean / 20;
        };
        setup.work.push_back(
                {i, static_cast<std::uint8_t>(i % 3), tenants, 40, oneSecond, false, rate, {}});
    }
    setup.end = 45 * oneSecond;
    auto lines = onTime("bursts-in-turn", "on-time", setup, warmUp, setup.end, seed, nothing);
    MeasureLine buffer = line("bursts-in-turn", "buffer-held", held, held, held, seed);
    buffer.better = "lower";
    lines.insert(lines.begin() + 1, buffer);
    return lines;
}

std::vector<MeasureLine> silentConnections(std::uint64_t seed)
{
    WorldSetup setup = plainSetup(3, {0, 1, 2, 0, 1, 2, 0, 1}, 12, 0.5);
    setup.end = 25 * oneSecond;
    const Micros silence = 10 * oneSecond;
    const auto prepare = [&](World &world) {
        world.at(silence, [&world] { world.silenceOpenConnections(); });
    };
    auto lines = onTime("silent-connections", "on-time-after-2s", setup, silence + 2 * oneSecond,
                        setup.end, seed, prepare);
    auto early = onTime("silent-connections", "on-time-first-2s", setup, silence,
                        silence + 2 * oneSecond, seed, prepare);
    early.front().target.reset();
    lines.insert(lines.begin() + 1, early.front());
    return lines;
}

// Zone c loses the others, first only what it sends, then both ways, then heals.
std::vector<MeasureLine> zoneCut(std::uint64_t seed)
{
    WorldSetup setup = plainSetup(3, {0, 1, 2, 0, 1, 2, 0, 1}, 12, 0.6);
    setup.end = 40 * oneSecond;
    const auto prepare = [](World &world) {
        const auto setBoth = [&world](bool out, bool in) {
            for (const std::size_t other : {0, 1}) {
                world.setCut(2, other, out);
                world.setCut(other, 2, in);
            }
        };
        world.at(10 * oneSecond, [=] { setBoth(true, false); });
        world.at(20 * oneSecond, [=] { setBoth(true, true); });
        world.at(30 * oneSecond, [=] { setBoth(false, false); });
    };
    return onTime("zone-cut", "servable-honoured", setup, 10 * oneSecond, setup.end, seed, prepare);
}

// Zones a and b are in one region, c and d in another 40 ms away. Region 2 is overloaded by half
// and spills into region 1 until the regions lose contact; from then on what fits into it is
// servable.
std::vector<MeasureLine> regionApart(std::uint64_t seed)
{
    WorldSetup setup = plainSetup(4, {0, 1, 2, 3, 0, 1, 2, 3}, 16, 0.6);
    for (const std::size_t here : {0, 1}) {
        for (const std::size_t there : {2, 3}) {
            setup.roundTrip[here][there] = setup.roundTrip[there][here] = 40'000;
        }
    }
    const double all = capacity(setup, 50'000);
    const Micros apart = 15 * oneSecond;
    setup.work.push_back({1,
                          1,
                          0,
                          30,
                          oneSecond,
                          false,
                          rateBetween(0.3 * all, 5 * oneSecond, apart - 2 * oneSecond),
                          {2, 3}});
    setup.end = 35 * oneSecond;
    const auto prepare = [=](World &world) {
        const auto set = [&world](bool cut) {
            for (const std::size_t here : {0, 1}) {
                for (const std::size_t there : {2, 3}) {
                    world.setCut(here, there, cut);
                    world.setCut(there, here, cut);
                }
            }
        };
        world.at(apart, [=] { set(true); });
        world.at(apart + 10 * oneSecond, [=] { set(false); });
    };
    auto lines =
            onTime("region-apart", "servable-honoured", setup, apart, setup.end, seed, prepare);
    auto spill = onTime("region-apart", "on-time-by-spilling", setup, 7 * oneSecond,
                        apart - 2 * oneSecond, seed, prepare);
    lines.insert(lines.begin() + 1, spill.front());
    return lines;
}

// Ten minutes without the platform, so that nothing is told of minions but by their own answers:
// each minute one of 24 fails everything for half a minute.
std::vector<MeasureLine> platformAway(std::uint64_t seed)
{
    WorldSetup setup = plainSetup(3, {0, 1, 2, 0, 1, 2, 0, 1}, 24, 0.5);
    constexpr Micros minute = 60 * oneSecond;
    setup.end = warmUp + 10 * minute;
    const auto prepare = [](World &world) {
        for (std::size_t i = 0; i < 10; ++i) {
            const Micros at = warmUp + static_cast<Micros>(i) * minute;
            world.at(at, [&world, i] { world.setFailing(2 * i, true); });
            world.at(at + minute / 2, [&world, i] { world.setFailing(2 * i, false); });
        }
    };
    return onTime("platform-away", "servable-honoured", setup, warmUp, setup.end, seed, prepare);
}

// Three of 24 minions fail everything at once, two take eight times as long, at 60% load.
std::vector<MeasureLine> badMinions(std::uint64_t seed)
{
    WorldSetup setup = plainSetup(3, {0, 1, 2, 0, 1, 2, 0, 1}, 24, 0.6);
    setup.end = 30 * oneSecond;
    setup.slowness.assign(24, 1);
    setup.slowness[3] = setup.slowness[4] = 8;
    const auto prepare = [](World &world) {
        world.at(10 * oneSecond, [&world] {
            for (const std::size_t minion : {0, 7, 14}) {
                world.setFailing(minion, true);
            }
        });
    };
    return onTime("bad-minions", "on-time", setup, 10 * oneSecond, setup.end, seed, prepare);
}

// A quarter of the minions run 2 slots where 8 are declared, at 70% of what really runs.
std::vector<MeasureLine> wrongSlots(std::uint64_t seed)
{
    constexpr double real = (18 * 8 + 6 * 2) / (24 * 8.0);
    WorldSetup setup = plainSetup(3, {0, 1, 2, 0, 1, 2, 0, 1}, 24, 0.7 * real);
    for (std::size_t minion = 0; minion < 24; minion += 4) {
        setup.realSlots[minion] = 2;
    }
    setup.end = 30 * oneSecond;
    return onTime("wrong-slots", "on-time", setup, warmUp, setup.end, seed, nothing);
}

// One minion after the other leaves, every 2 s, until a third has left.
std::vector<MeasureLine> leavingMinions(std::uint64_t seed)
{
    WorldSetup setup = plainSetup(3, {0, 1, 2, 0, 1, 2, 0, 1}, 24, 0.5);
    setup.end = 30 * oneSecond;
    const auto prepare = [](World &world) {
        for (std::size_t minion = 0; minion < 8; ++minion) {
            world.at(static_cast<Micros>(10 + 2 * minion) * oneSecond,
                     [&world, minion] { world.setLeaving(minion); });
        }
    };
    auto lines =
            onTime("leaving-minions", "on-time", setup, 10 * oneSecond, setup.end, seed, prepare);
    const World world = runWorld(setup, presentEntryHost, seed, prepare);
    lines.push_back(promise("leaving-minions", "nothing-new-2s-after-leaving",
                            world.requests().size(), world.startedWhileLeaving(), seed));
    return lines;
}

// One service uses the whole pool for 10 s, then another one comes back to its guaranteed share.
std::vector<MeasureLine> shareReclaimed(std::uint64_t seed)
{
    WorldSetup setup = plainSetup(3, {0, 1, 2, 0, 1, 2, 0, 1}, 12, 0.9);
    const double all = capacity(setup, 50'000);
    const Micros back = 15 * oneSecond;
    setup.end = 25 * oneSecond;
    setup.work[0].rate = rateBetween(0.45 * all, back, setup.end);
    setup.work[1].rate = constantRate(3 * all);
    setup.work[1].flood = true;
    const World present = runWorld(setup, presentEntryHost, seed, nothing);
    const World naive = runWorld(setup, naiveEntryHost, seed, nothing);
    const auto isBack = [](const CallerRequest &request) { return request.kind == 0; };
    const auto figure = [&](const std::string &quantity, Micros from, Micros to) {
        return line("share-reclaimed", quantity, count(naive, from, to, isBack).share(),
                    count(present, from, to, isBack).share(), 0.99, seed);
    };
    std::vector<MeasureLine> lines{figure("on-time-first-1s", back, back + oneSecond),
                                   figure("on-time-after-1s", back + oneSecond, setup.end)};
    lines.front().target.reset();
    addPromises(lines, "share-reclaimed", present, seed);
    return lines;
}

std::span<const TrafficCase> trafficCases()
{
    static const std::vector<TrafficCase> cases{{"flood-least-urgent", floodLeastUrgent},
                                                {"flood-most-urgent", floodMostUrgent},
                                                {"bursts-in-turn", burstsInTurn},
                                                {"silent-connections", silentConnections},
                                                {"zone-cut", zoneCut},
                                                {"region-apart", regionApart},
                                                {"bad-minions", badMinions},
                                                {"wrong-slots", wrongSlots},
                                                {"leaving-minions", leavingMinions},
                                                {"share-reclaimed", shareReclaimed}};
    return cases;
}

}  // namespace poplarstream::bench
