#pragma once

#include <cstdint>  // for int64_t
#include <map>  // for map
#include <string>  // for string

#include "common/json_lines.hpp"  // for JsonLines
#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::standins {

enum class Fault {
    None,
    Dead,  // listeners and connections are closed and tasks are lost
    FailsAll,  // every request and task fails immediately
    Silent,  // requests are read but never answered
    SilentConnections,  // as Silent, only for connections open at the time of injection
    Slow,  // work takes `factor` times as long
};

// Parses a fault name of the control endpoint: "none", "dead", "fails-all", "silent",
// "silent-connections", "slow". Throws std::invalid_argument for others.
Fault faultFromText(const std::string &text);

// The work that a payload requests. Payloads are JSON objects with the optional fields "nonce",
// "work_ms" and "size_factor" (actual over declared size); other payloads get the defaults.
struct Work
{
    std::string nonce;
    double durationMs = 0;
    double sizeFactor = 1;
};

// Shared by all hosts of the fleet.
struct FleetContext
{
    std::map<std::string, double> meanMsByService;  // mean service time by service
    double defaultMeanMs = 50;
    std::int64_t usageLagMs = 1000;
    Random random{1};
    JsonLines history{""};
};

// Parses a payload. Work without a duration gets a random one around the mean of the service.
Work parseWork(FleetContext &context, const std::string &payload, const std::string &service);

}  // namespace poplarstream::standins
