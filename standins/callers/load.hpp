#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "common/document.hpp"  // for Section
#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::standins {

// A request that a caller makes.
struct Order
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
    double urgentRate = 0;  // requests a second of each urgent service without a rate of its own
    double slowRate = 0;
    std::string rates;  // "service=rate,..."
    double runScale = 1;  // actual over declared run time
    std::uint64_t seed = 1;
};

// Draws the arrivals of all services of a document: a Poisson process for each, and a tenant at
// random for each request.
class Load
{
public:
    Load(const std::vector<Section> &document, const LoadOptions &options);

    // The requests that arrive up to `elapsedMs` after the start, oldest first.
    std::vector<Order> due(double elapsedMs);

private:
    struct Source
    {
        Section service;
        double ratePerMs;
        double nextMs;
    };

    Order makeOrder(const Source &source);
    double gapMs(double ratePerMs);

    std::vector<Source> sources_;
    std::vector<Section> tenants_;
    LoadOptions options_;
    Random random_;
    std::uint64_t lastNumber_ = 0;
};

}  // namespace poplarstream::standins
