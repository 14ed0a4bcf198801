#pragma once

#include <cstdint>  // for int64_t
#include <deque>  // for deque
#include <map>  // for map
#include <string>  // for string

namespace poplarstream::standins {

// The host list of the platform. A change becomes visible after a lag.
class HostList
{
public:
    void setLag(std::int64_t milliseconds) { lagMs_ = milliseconds; }
    void setState(const std::string &host, const std::string &state, std::int64_t nowMs);

    // The JSON response: an array of {"host","state"}. A host in state "gone" is omitted.
    std::string toJson(std::int64_t nowMs);

private:
    struct Change
    {
        std::int64_t visibleAtMs;
        std::string host;
        std::string state;
    };

    std::map<std::string, std::string> visible_;
    std::deque<Change> pending_;
    std::int64_t lagMs_ = 0;
};

}  // namespace poplarstream::standins
