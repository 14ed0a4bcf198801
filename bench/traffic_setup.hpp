#pragma once

#include <functional>  // for function
#include <string>  // for string
#include <vector>  // for vector

#include "traffic_world.hpp"  // for WorldSetup, Micros

namespace poplarstream::bench {

inline constexpr Micros warmUp = 5 * oneSecond;
inline constexpr std::uint32_t slotsPerMinion = 8;

// Zones of one region, half a millisecond apart.
WorldSetup makeSetup(std::size_t zoneCount, std::vector<std::size_t> entryZones);

// Each returns the index of the first one added.
std::size_t addService(WorldSetup &setup, const std::string &name, Micros time, bool idempotent);
std::size_t addTenants(WorldSetup &setup, std::size_t count);

// A pool for all services of the setup, its minions spread over the zones in turn.
void addPool(WorldSetup &setup, const std::string &name, std::size_t minions);

// Requests per second that all slots can serve when each takes `time`.
double capacity(const WorldSetup &setup, Micros time);

// Rates of arrival over time, in requests per second.
std::function<double(Micros)> constantRate(double rate);
std::function<double(Micros)> rateBetween(double rate, Micros from, Micros to);

}  // namespace poplarstream::bench
