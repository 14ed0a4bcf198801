#pragma once

#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "measure_line.hpp"  // for MeasureLine
#include "traffic_world.hpp"  // for World, CallerRequest

namespace poplarstream::bench {

struct Count
{
    double arrived = 0;
    double onTime = 0;

    double share() const { return arrived > 0 ? onTime / arrived : 1; }
};

using RequestFilter = std::function<bool(const CallerRequest &)>;
using Prepare = std::function<void(World &)>;

Count count(const World &world, Micros from, Micros to, const RequestFilter &filter);
// Answers given on time between `from` and `to`, whenever their requests arrived.
double endedOnTime(const World &world, Micros from, Micros to);

bool isAny(const CallerRequest &);

MeasureLine line(const std::string &name, const std::string &quantity, double naive, double now,
                 std::optional<double> target, std::uint64_t seed);
MeasureLine promise(const std::string &name, const std::string &text, std::uint64_t checked,
                    std::uint64_t violations, std::uint64_t seed);

// What must hold in every case, whatever the load.
void addPromises(std::vector<MeasureLine> &lines, const std::string &name, const World &world,
                 std::uint64_t seed);

World runWorld(const WorldSetup &setup, const EntryFactory &factory, std::uint64_t seed,
               const Prepare &prepare);

// For runs without faults.
void nothing(World &world);

}  // namespace poplarstream::bench
