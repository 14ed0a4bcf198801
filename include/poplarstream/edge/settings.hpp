#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/engine/state.hpp"  // for EngineLimits

namespace poplarstream::edge {

// What an entry host needs to know to run on a platform.
struct Settings
{
    EntryHostId name;
    ZoneId zone;
    HttpEndpoint front;  // callers
    HttpEndpoint ready;  // the load balancer's health check
    HttpEndpoint control;  // other entry hosts
    HttpEndpoint metrics;
    HttpEndpoint store;
    HttpEndpoint machines;
    HttpEndpoint advisor;
    std::vector<HttpEndpoint> seeds;  // control addresses of some entry hosts
    double processorShare = 1.0;  // of a core
    engine::EngineLimits limits;
    Milliseconds grace{6000};  // between the request to stop and the kill
};

}  // namespace poplarstream::edge
