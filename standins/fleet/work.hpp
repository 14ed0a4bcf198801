#pragma once

#include <cstdint>  // for int64_t
#include <map>  // for map
#include <string>  // for string

#include "common/json_lines.hpp"  // for JsonLines
#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::standins {

enum class Fault {
    None,
    Dead,  // listeners and connections are closed, tasks are lost
    FailsAll,  // every request and task fails at once
    Silent,  // requests are read and never answered
    SilentConnections,  // only on the connections that exist at the moment of the fault
    Slow,  // work takes `factor` times as long
};

// The inverse of the names used by the control endpoint: "none", "dead", "fails-all", "silent",
// "silent-connections", "slow". Throws std::invalid_argument for others.
Fault faultFromText(const std::string &text);

// What a payload asks for. Payloads are JSON objects with the optional fields "nonce", "work_ms"
// and "size_factor" (actual over declared size); other payloads have none of them.
struct Work
{
    std::string nonce;
    double milliseconds = 0;
    double sizeFactor = 1;
};

// Shared by all hosts of the fleet.
struct FleetContext
{
    std::map<std::string, double> serviceMs;  // mean time by service
    double defaultMs = 50;
    std::int64_t usageLagMs = 1000;
    Random random{1};
    JsonLines history{""};
};

// Reads a payload; work without a time gets one drawn around the mean of the service.
Work readWork(FleetContext &context, const std::string &payload, const std::string &service);

}  // namespace poplarstream::standins
