#pragma once

#include <cstddef>  // for size_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/engine/state.hpp"  // for EngineLimits

namespace poplarstream::edge {

// The partitions that the job log is spread over, at most. The store carries out the appends to a
// partition one after the other, and the owner reads all of them.
inline constexpr int maxJobPartitions = 4;

// Settings of an entry host on a platform.
struct Settings
{
    EntryHostId name;
    std::string incarnation;  // differs between any two processes of the deployment
    ZoneId zone;
    HttpEndpoint front;  // requests of callers
    HttpEndpoint ready;  // the load balancer's health check
    HttpEndpoint control;  // requests of other entry hosts
    HttpEndpoint metrics;
    HttpEndpoint store;
    HttpEndpoint machines;
    HttpEndpoint advisor;
    std::vector<HttpEndpoint> seeds;  // control addresses of some entry hosts
    int jobPartitions = 1;  // of the job log; the same for all entry hosts
    std::size_t maxCallBytes = 2'097'152;  // of the records of a write to the store, all together
    double processorShare = 1.0;  // of a core
    engine::EngineLimits limits;
    // An accepted change of the configuration is in force everywhere after this.
    Milliseconds configurationDelay{2000};
    Milliseconds grace{6000};  // between the stop signal and the kill signal
};

}  // namespace poplarstream::edge
