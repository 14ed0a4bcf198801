#include "traffic_figures.hpp"

namespace poplarstream::bench {

Count count(const World &world, Micros from, Micros to, const RequestFilter &filter)
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

World runWorld(const WorldSetup &setup, const EntryFactory &factory, std::uint64_t seed,
               const Prepare &prepare)
{
    World world(setup, factory, seed);
    prepare(world);
    world.run();
    return world;
}

void nothing(World &) {}

}  // namespace poplarstream::bench
