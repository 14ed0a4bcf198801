#pragma once

#include <deque>  // for deque
#include <map>  // for map
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Arrival

namespace poplarstream::pools {

// Average of what is under way.
struct Load
{
    double cpuMilli = 0;
    double memoryMb = 0;
};

// What arrived for one service.
struct ArrivalHistory
{
    std::deque<TimePoint> lately;  // nearly in order, no longer than the forecast looks back
    double jobs = 0;  // weight of the means below; old jobs fade out
    Load meanWork;  // of a job, times milliseconds
    double meanLengthMs = 0;  // of a job's longest chain
};

// Demand of the services that is about to come.
struct Forecast
{
    std::map<ServiceId, ArrivalHistory> services;
};

void recordArrivals(Forecast &forecast, std::vector<engine::Arrival> arrivals, TimePoint now);

// Load that the jobs of a service will put on its pool after `ahead`, if their rate goes on rising
// or falling as it does now.
Load expectedLoad(const Forecast &forecast, const ServiceId &service, Milliseconds ahead,
                  TimePoint now);

}  // namespace poplarstream::pools
