#pragma once

#include <algorithm>  // for min, max
#include <cmath>  // for abs
#include <cstdint>  // for uint32_t

#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream::traffic {

// Moving mean and mean deviation of a duration in milliseconds, as in Jacobson (1988). The initial
// values count as one sample.
struct TimeEstimate
{
    double mean = 50;
    double deviation = 25;
    std::uint32_t samples = 0;

    void add(double sample)
    {
        ++samples;
        const double gain = std::max(1.0 / 64, 1.0 / (samples + 1.0));
        const double error = sample - mean;
        mean += gain * error;
        deviation += gain * (std::abs(error) - deviation);
    }
};

// A token bucket, filled at `rate` tokens per second or by deposits, holding at most `burst`.
struct TokenBucket
{
    double tokens = 0;
    TimePoint filledAt{};

    void refill(double rate, double burst, TimePoint now)
    {
        const double seconds = static_cast<double>((now - filledAt).count()) / 1000.0;
        tokens = std::min(burst, tokens + rate * std::max(0.0, seconds));
        filledAt = now;
    }
    void deposit(double amount, double burst) { tokens = std::min(burst, tokens + amount); }
    bool tryConsume(double amount = 1)
    {
        // The margin absorbs rounding errors of repeated deposits.
        if (tokens + 1e-9 < amount) {
            return false;
        }
        tokens -= amount;
        return true;
    }
};

}  // namespace poplarstream::traffic
