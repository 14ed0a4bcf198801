#pragma once

#include <map>  // for map
#include <memory>  // for unique_ptr
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace poplarstream {

// Histograms of durations by operation and outcome. All names are fixed in the program, so their
// number is bounded; each pair takes about 300 bytes. Not thread-safe.
class DurationHistograms
{
public:
    DurationHistograms();
    ~DurationHistograms();
    DurationHistograms(const DurationHistograms &) = delete;
    DurationHistograms &operator=(const DurationHistograms &) = delete;

    void record(std::string_view operation, std::string_view outcome, Milliseconds duration);

    // Prometheus text exposition (format 0.0.4): one histogram `poplar_duration_seconds`, labelled
    // `what` and `outcome`.
    std::string prometheusText() const;

private:
    struct Content;
    std::unique_ptr<Content> content_;
};

}  // namespace poplarstream
