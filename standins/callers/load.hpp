#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "common/document.hpp"  // for Section
#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::standins {

// A request made by a caller.
struct Call
{
    std::uint64_t number = 0;
    std::string service;
    std::string tenant;
    std::string token;
    bool isUrgent = true;
    std::int64_t deadlineMs = 0;
    std::string key;  // idempotency key; runs only
    std::string nonce;
    std::string payload;
};

struct LoadOptions
{
    double urgentRate = 0;  // requests per second for each urgent service not listed in `rates`
    double slowRate = 0;
    std::string rates;  // "service=rate,..."
    double runScale = 1;  // actual over declared run time
    std::uint64_t seed = 1;
};

// Generates the load: a Poisson arrival process per service of the configuration, with a random
// tenant for each call.
class Load
{
public:
    Load(const std::vector<Section> &document, const LoadOptions &options);

    // The calls that have become due by `elapsedMs` after the start, in order of arrival per
    // service.
    std::vector<Call> due(double elapsedMs);

private:
    struct Source
    {
        Section service;
        double ratePerMs;
        double nextMs;
    };

    Call makeCall(const Source &source);
    double drawInterarrivalMs(double ratePerMs);

    std::vector<Source> sources_;
    std::vector<Section> tenants_;
    LoadOptions options_;
    Random random_;
    std::uint64_t lastNumber_ = 0;
};

}  // namespace poplarstream::standins
