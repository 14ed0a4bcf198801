#include "poplarstream/console/charts.hpp"

#include <algorithm>  // for find_if, max

#include <fmt/format.h>  // for format

#include "poplarstream/console/html.hpp"  // for escapeHtml

namespace poplarstream::console {

namespace {

// The plot area in units of the SVG view box; the page scales it to the screen width.
constexpr double left = 40;
constexpr double right = 590;
constexpr double top = 15;
constexpr double bottom = 165;

std::string beginSvg(std::string_view title, std::string_view description)
{
    return fmt::format("<svg viewBox=\"0 0 600 200\" role=\"img\" aria-label=\"{0}: {1}\">"
                       "<title>{0}</title><desc>{1}</desc>",
                       escapeHtml(title), escapeHtml(description));
}

std::string svgText(double x, double y, std::string_view anchor, std::string_view text)
{
    return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>", x, y, anchor,
                       escapeHtml(text));
}

std::string axes()
{
    return fmt::format("<path d=\"M{0} {1}V{2}H{3}\" fill=\"none\" stroke=\"#777\"/>", left, top,
                       bottom, right);
}

const PoolSample *sampleOf(const AwaySample &sample, const PoolId &pool)
{
    const auto found = std::find_if(sample.pools.begin(), sample.pools.end(),
                                    [&](const PoolSample &entry) { return entry.pool == pool; });
    return found != sample.pools.end() ? &*found : nullptr;
}

// A step line through the samples, with a gap where the pool was not configured.
std::string steppedLine(const AwayHistory &history, const PoolId &pool,
                        std::uint32_t PoolSample::*value, double maximum)
{
    const TimePoint end = history.back().time;
    std::string path;
    bool hasPrevious = false;
    for (const AwaySample &sample : history) {
        const PoolSample *entry = sampleOf(sample, pool);
        if (entry == nullptr) {
            hasPrevious = false;
            continue;
        }
        const double age = static_cast<double>((end - sample.time).count());
        const double x = right - (right - left) * age / static_cast<double>(historyLength.count());
        const double y = bottom - (bottom - top) * entry->*value / maximum;
        path += hasPrevious ? fmt::format("H{:.1f}V{:.1f}", x, y)
                            : fmt::format("M{:.1f} {:.1f}", x, y);
        hasPrevious = true;
    }
    return path;
}

std::string formatSeconds(double seconds)
{
    return seconds < 1 ? fmt::format("{:.3g} ms", seconds * 1000)
                       : fmt::format("{:.3g} s", seconds);
}

}  // namespace

void addSample(AwayHistory &history, AwaySample sample)
{
    if (!history.empty() && sample.time < history.back().time) {
        history.clear();
    }
    history.push_back(std::move(sample));
    while (history.size() > maxSamples
           || history.back().time - history.front().time > historyLength) {
        history.pop_front();
    }
}

std::string awayChart(const AwayHistory &history, const PoolId &pool)
{
    double maximum = 1;
    const PoolSample *newest = nullptr;
    for (const AwaySample &sample : history) {
        if (const PoolSample *entry = sampleOf(sample, pool)) {
            maximum = std::max({maximum, static_cast<double>(entry->away),
                                static_cast<double>(entry->maxAway)});
            newest = entry;
        }
    }
    if (newest == nullptr) {
        return "<p class=\"hint\">No samples of this pool yet; one is taken every few seconds."
               "</p>";
    }
    const std::string description = fmt::format("{} hosts away now, the budget is {}, the most in "
                                                "the last hour is {}",
                                                newest->away, newest->maxAway, maximum);
    return beginSvg(fmt::format("Hosts of {} away in the last hour", pool.text()), description)
           + axes()
           + fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"#a01818\" "
                         "stroke-dasharray=\"6 4\" stroke-width=\"2\"/>",
                         steppedLine(history, pool, &PoolSample::maxAway, maximum))
           + fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"#14513a\" stroke-width=\"2\"/>",
                         steppedLine(history, pool, &PoolSample::away, maximum))
           + svgText(left - 4, top + 10, "end", fmt::format("{}", maximum))
           + svgText(left - 4, bottom, "end", "0") + svgText(left, bottom + 18, "start", "1 h ago")
           + svgText(right, bottom + 18, "end", "now")
           + svgText((left + right) / 2, bottom + 18, "middle", "solid: away, dashed: budget")
           + "</svg>";
}

std::string latencyChart(std::string_view title, std::span<const LatencyBin> bins)
{
    std::uint64_t total = 0;
    std::uint64_t maximum = 1;
    for (const LatencyBin &bin : bins) {
        total += bin.count;
        maximum = std::max(maximum, bin.count);
    }
    if (total == 0) {
        return fmt::format("<p class=\"hint\">{}: no requests seen by this entry host.</p>",
                           escapeHtml(title));
    }
    const double width = (right - left) / static_cast<double>(bins.size());
    std::string html =
            beginSvg(title, fmt::format("{} requests, at most {} in one bin", total, maximum))
            + axes();
    for (std::size_t i = 0; i < bins.size(); ++i) {
        const double x = left + static_cast<double>(i) * width;
        const double height =
                (bottom - top) * static_cast<double>(bins[i].count) / static_cast<double>(maximum);
        html += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
                            "fill=\"#14513a\"><title>from {}: {}</title></rect>",
                            x, bottom - height, width - 1, height,
                            formatSeconds(bins[i].fromSeconds), bins[i].count);
        if (i % 5 == 1) {
            html += svgText(x, bottom + 18, "middle", formatSeconds(bins[i].fromSeconds));
        }
    }
    return html + svgText(left - 4, top + 10, "end", fmt::format("{}", maximum)) + "</svg>";
}

}  // namespace poplarstream::console
