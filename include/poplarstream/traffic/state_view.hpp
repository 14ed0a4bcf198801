#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for MinionId, ServiceId
#include "poplarstream/traffic/messages.hpp"  // for AttemptNumber, RequestNumber
#include "poplarstream/traffic/state.hpp"  // for TrafficState

namespace poplarstream::traffic {

// Format the value of Poplar-Request-Id for callers and for minions: incarnation and number in
// hexadecimal. The incarnation prevents matches with ids of an earlier process.
std::string formatRequestId(const TrafficState &state, RequestNumber request);
std::string formatAttemptId(const TrafficState &state, AttemptNumber attempt);

// Returns whether no request is queued or in flight.
bool isIdle(const TrafficState &state);

struct MinionView
{
    MinionId id;
    std::uint32_t inFlight = 0;
    double limit = 0;
    std::uint32_t connections = 0;
    bool reachable = false;
    bool leaving = false;
    bool ejected = false;
};

struct ServiceView
{
    ServiceId id;
    std::uint32_t queued = 0;
    std::uint32_t inFlight = 0;
    double meanServiceTimeMs = 0;
    std::uint32_t reachableMinions = 0;
};

// Snapshots for status pages, metrics and tests.
std::vector<MinionView> minionViews(const TrafficState &state);
std::vector<ServiceView> serviceViews(const TrafficState &state);

}  // namespace poplarstream::traffic
