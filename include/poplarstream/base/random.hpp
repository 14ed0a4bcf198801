#pragma once

#include <cstdint>  // for uint64_t

namespace poplarstream {

// A small seeded generator (SplitMix64; Steele, Lea and Flood, 2014). The same seed gives the same
// numbers on every platform, which std distributions do not guarantee.
class Random
{
public:
    using result_type = std::uint64_t;

    explicit Random(std::uint64_t seed)
        : state_(seed)
    {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return ~result_type{0}; }

    result_type operator()()
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = state_;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    // Uniform in [0, bound). `bound` must not be 0; the bias is below 2^-32 for 32-bit bounds.
    std::uint64_t below(std::uint64_t bound)
    {
        return static_cast<std::uint64_t>(unit() * static_cast<double>(bound));
    }

    // Uniform in [0, 1).
    double unit() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

}  // namespace poplarstream
