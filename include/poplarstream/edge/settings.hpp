#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/engine/state.hpp"  // for EngineLimits

namespace poplarstream::edge {

// Settings of an entry host on a platform.
struct Settings
{
    EntryHostId name;
    ZoneId zone;
    HttpEndpoint front;  // requests of callers
    HttpEndpoint ready;  // the load balancer's health check
    HttpEndpoint control;  // requests of other entry hosts
    HttpEndpoint metrics;
    HttpEndpoint store;
    HttpEndpoint machines;
    HttpEndpoint advisor;
    std::vector<HttpEndpoint> seeds;  // control addresses of some entry hosts
    double processorShare = 1.0;  // of a core
    engine::EngineLimits limits;
    Milliseconds grace{6000};  // between the stop signal and the kill signal
};

}  // namespace poplarstream::edge
