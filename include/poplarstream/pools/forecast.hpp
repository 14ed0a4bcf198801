#pragma once

#include <deque>  // for deque
#include <map>  // for map
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Arrival

namespace poplarstream::pools {

// Average resource use.
struct Load
{
    double cpuMilli = 0;
    double memoryMb = 0;
};

// Job arrivals of one service.
struct ArrivalHistory
{
    std::deque<TimePoint> recent;  // arrival times that the forecast uses, nearly sorted
    double jobs = 0;  // weight of the means below; limited, so that old jobs fade out
    Load meanWork;  // resources of a job times its milliseconds
    double meanLengthMs = 0;  // of the longest chain of steps in a job
};

// Input of the demand forecast.
struct Forecast
{
    std::map<ServiceId, ArrivalHistory> services;
};

void recordArrivals(Forecast &forecast, std::vector<engine::Arrival> arrivals, TimePoint now);

// The load that the jobs of a service will put on its pool after `ahead`. The current trend of the
// arrival rate is extrapolated.
Load expectedLoad(const Forecast &forecast, const ServiceId &service, Milliseconds ahead,
                  TimePoint now);

}  // namespace poplarstream::pools
