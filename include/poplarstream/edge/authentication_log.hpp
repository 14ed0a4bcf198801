#pragma once

#include <array>  // for array
#include <cstdint>  // for uint64_t
#include <string>  // for string

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/edge/authentication.hpp"  // for Authentication

namespace poplarstream::edge {

// Counts calls by how they were authenticated, and logs those that were rejected: at most one line
// a second, so that callers without a key cannot fill the log.
class AuthenticationLog
{
public:
    // `queue` is the name of the queue that was called, which is in the configuration.
    void record(Authentication authentication, const std::string &queue, TimePoint now);

    // Prometheus text exposition: one counter, labelled by the outcome. Empty without counts.
    std::string prometheusText() const;

private:
    std::array<std::uint64_t, authentications> counts_{};
    std::uint64_t unlogged_ = 0;  // rejected since the last line
    TimePoint nextLineAt_{};
};

}  // namespace poplarstream::edge
