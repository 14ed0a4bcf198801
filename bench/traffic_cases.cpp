#include "traffic_cases.hpp"

#include <algorithm>  // for max
#include <string>  // for string, to_string

#include "traffic_world.hpp"  // for World, WorldSetup

namespace poplarstream::bench {

namespace {

constexpr Micros warmUp = 5 * oneSecond;
constexpr std::uint32_t slots = 8;

// Zones of one region, half a millisecond apart.
WorldSetup makeSetup(std::size_t zoneCount, std::vector<std::size_t> entryZones)
{
    WorldSetup setup;
    for (std::size_t i = 0; i < zoneCount; ++i) {
        setup.zones.emplace_back(std::string(1, static_cast<char>('a' + i)));
    }
    setup.roundTrip.assign(zoneCount, std::vector<Micros>(zoneCount, 1000));
    setup.entryZones = std::move(entryZones);
    return setup;
}

std::size_t addService(WorldSetup &setup, const std::string &name, Micros time, bool idempotent)
{
    setup.settings.services.push_back({ServiceId(name), idempotent, 1, Milliseconds{time / 1000}});
    setup.serviceTime.push_back(time);
    return setup.settings.services.size() - 1;
}

std::size_t addTenants(WorldSetup &setup, std::size_t count)
{
    const std::size_t first = setup.settings.tenants.size();
    for (std::size_t i = 0; i < count; ++i) {
        setup.settings.tenants.push_back({TenantId("t" + std::to_string(first + i)), 1, 0});
    }
    return first;
}

// A pool for all services of the setup, its minions spread over the zones in turn.
void addPool(WorldSetup &setup, const std::string &name, std::size_t minions)
{
    traffic::PoolSettings pool{PoolId(name), {}};
    for (const auto &service : setup.settings.services) {
        pool.services.push_back(service.id);
    }
    setup.settings.pools.push_back(pool);
    for (std::size_t i = 0; i < minions; ++i) {
        setup.settings.minions.push_back({MinionId(name + std::to_string(i)), PoolId(name),
                                          setup.zones[i % setup.zones.size()], slots, 64});
        setup.realSlots.push_back(slots);
    }
}

// Requests per second that all slots can serve when each takes `time`.
double capacity(const WorldSetup &setup, Micros time)
{
    return static_cast<double>(setup.realSlots.size()) * slots * 1e6 / static_cast<double>(time);
}

std::function<double(Micros)> constantRate(double rate)
{
    return [rate](Micros) { return rate; };
}

std::function<double(Micros)> rateBetween(double rate, Micros from, Micros to)
{
    return [=](Micros time) { return time >= from && time < to ? rate : 0; };
}

struct Count
{
    double arrived = 0;
    double onTime = 0;

    double share() const { return arrived > 0 ? onTime / arrived : 1; }
};

template <class Filter>
Count count(const World &world, Micros from, Micros to, Filter &&filter)
{
    Count result;
    for (const CallerRequest &request : world.requests()) {
        if (request.arrival >= from && request.arrival < to && filter(request)) {
            ++result.arrived;
            result.onTime +=
                    request.outcome == Outcome::Answered && request.ended <= request.deadline;
        }
    }
    return result;
}

// Answers given on time between `from` and `to`, whenever their requests arrived.
double endedOnTime(const World &world, Micros from, Micros to)
{
    double result = 0;
    for (const CallerRequest &request : world.requests()) {
        result += request.outcome == Outcome::Answered && request.ended <= request.deadline
                  && request.ended >= from && request.ended < to;
    }
    return result;
}

bool isAny(const CallerRequest &)
{
    return true;
}

MeasureLine line(const std::string &name, const std::string &quantity, double naive, double now,
                 std::optional<double> target, std::uint64_t seed)
{
    MeasureLine result;
    result.caseName = name;
    result.quantity = quantity;
    result.unit = "ratio";
    result.better = "higher";
    result.naive = naive;
    result.now = now;
    result.target = target;
    result.seed = seed;
    return result;
}

MeasureLine promise(const std::string &name, const std::string &text, std::uint64_t checked,
                    std::uint64_t violations, std::uint64_t seed)
{
    MeasureLine result;
    result.caseName = name;
    result.promise = text;
    result.checked = checked;
    result.violations = violations;
    result.seed = seed;
    return result;
}

// What must hold in every case, whatever the load.
void addPromises(std::vector<MeasureLine> &lines, const std::string &name, const World &world,
                 std::uint64_t seed)
{
    std::uint64_t wrong = 0;
    std::uint64_t ends = 0;
    std::uint64_t untrue = 0;
    std::uint64_t twice = 0;
    std::uint64_t offered = 0;
    for (const CallerRequest &request : world.requests()) {
        const std::size_t service = world.setup().work[request.kind].service;
        const bool idempotent = world.setup().settings.services[service].idempotent;
        wrong += request.wrongAnswer ? 1 : 0;
        ends += request.ends != 1 ? 1 : 0;
        untrue += request.outcome == Outcome::NotRun && request.started > 0 ? 1 : 0;
        twice += !idempotent && request.started > 1 ? 1 : 0;
        offered += request.started;
    }
    const std::uint64_t all = world.requests().size();
    lines.push_back(promise(name, "answer-to-own-caller", all, wrong, seed));
    lines.push_back(promise(name, "one-end-per-request", all, ends, seed));
    lines.push_back(promise(name, "not-run-is-true", all, untrue, seed));
    lines.push_back(promise(name, "at-most-once", all, twice, seed));
    lines.push_back(promise(name, "offered-below-1.1-arriving", offered,
                            static_cast<double>(offered) > 1.1 * static_cast<double>(all) ? 1 : 0,
                            seed));
}

using Prepare = std::function<void(World &)>;

World runWorld(const WorldSetup &setup, const EntryFactory &factory, std::uint64_t seed,
               const Prepare &prepare)
{
    World world(setup, factory, seed);
    prepare(world);
    world.run();
    return world;
}

void nothing(World &) {}

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
