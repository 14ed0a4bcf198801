#include "poplarstream/telemetry/duration_histograms.hpp"

#include <utility>  // for pair

#include <boost/histogram.hpp>  // for histogram, axis
#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

namespace bh = boost::histogram;

// Bins from 1 ms to 100 s, three per decade. Shorter and longer durations are counted in the
// underflow and overflow bins.
constexpr int binCount = 15;
constexpr double firstSeconds = 0.001;
constexpr double lastSeconds = 100;
constexpr double millisecondsPerSecond = 1000;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

struct Series
{
    Histogram histogram{std::make_tuple(Axis(binCount, firstSeconds, lastSeconds))};
    double sum = 0;
};

}  // namespace

struct DurationHistograms::Content
{
    std::map<std::pair<std::string, std::string>, Series> series;
};

DurationHistograms::DurationHistograms()
    : content_(std::make_unique<Content>())
{}

DurationHistograms::~DurationHistograms() = default;

void DurationHistograms::record(std::string_view operation, std::string_view outcome,
                                Milliseconds duration)
{
    Series &series = content_->series[{std::string(operation), std::string(outcome)}];
    const double seconds = static_cast<double>(duration.count()) / millisecondsPerSecond;
    series.histogram(seconds);
    series.sum += seconds;
}

std::string DurationHistograms::prometheusText() const
{
    std::string text;
    if (!content_->series.empty()) {
        text += "# TYPE poplar_duration_seconds histogram\n";
    }
    for (const auto &[names, series] : content_->series) {
        const std::string labels =
                fmt::format("what=\"{}\",outcome=\"{}\"", names.first, names.second);
        const auto &axis = series.histogram.axis(0);
        std::uint64_t total = series.histogram.at(-1);
        for (int bin = 0; bin < binCount; ++bin) {
            total += series.histogram.at(bin);
            text += fmt::format("poplar_duration_seconds_bucket{{{},le=\"{:.4g}\"}} {}\n", labels,
                                axis.value(bin + 1), total);
        }
        total += series.histogram.at(binCount);
        text += fmt::format("poplar_duration_seconds_bucket{{{},le=\"+Inf\"}} {}\n", labels, total);
        text += fmt::format("poplar_duration_seconds_sum{{{}}} {:.6g}\n", labels, series.sum);
        text += fmt::format("poplar_duration_seconds_count{{{}}} {}\n", labels, total);
    }
    return text;
}

}  // namespace poplarstream
