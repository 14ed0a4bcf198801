#include "poplarstream/console/charts.hpp"

#include <algorithm>  // for find_if, max

#include <fmt/format.h>  // for format

#include "poplarstream/console/html.hpp"  // for escapeHtml

namespace poplarstream::console {

namespace {

// The drawing area in units of the SVG view box; the page scales it to the width of the screen.
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

std::string textAt(double x, double y, std::string_view anchor, std::string_view text)
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

// A stepped line through the values of the samples; a gap where the pool is not configured.
std::string steppedLine(const AwayHistory &history, const PoolId &pool,
                        std::uint32_t PoolSample::*value, double most)
{
    const TimePoint end = history.back().time;
    std::string path;
    bool isOpen = false;
    for (const AwaySample &sample : history) {
        const PoolSample *entry = sampleOf(sample, pool);
        if (entry == nullptr) {
            isOpen = false;
            continue;
        }
        const double age = static_cast<double>((end - sample.time).count());
        const double x = right - (right - left) * age / static_cast<double>(historyLength.count());
        const double y = bottom - (bottom - top) * entry->*value / most;
        path += isOpen ? fmt::format("H{:.1f}V{:.1f}", x, y) : fmt::format("M{:.1f} {:.1f}", x, y);
        isOpen = true;
    }
    return path;
}

std::string secondsText(double seconds)
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
    double most = 1;
    const PoolSample *newest = nullptr;
    for (const AwaySample &sample : history) {
        if (const PoolSample *entry = sampleOf(sample, pool)) {
            most = std::max(
                    {most, static_cast<double>(entry->away), static_cast<double>(entry->maxAway)});
            newest = entry;
        }
    }
    if (newest == nullptr) {
        return "<p class=\"hint\">No samples of this pool yet; one is taken every few seconds."
               "</p>";
    }
    const std::string description = fmt::format("{} hosts away now, the budget is {}, the most in "
                                                "the last hour is {}",
                                                newest->away, newest->maxAway, most);
    return beginSvg(fmt::format("Hosts of {} away in the last hour", pool.text()), description)
           + axes()
           + fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"#a01818\" "
                         "stroke-dasharray=\"6 4\" stroke-width=\"2\"/>",
                         steppedLine(history, pool, &PoolSample::maxAway, most))
           + fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"#14513a\" stroke-width=\"2\"/>",
                         steppedLine(history, pool, &PoolSample::away, most))
           + textAt(left - 4, top + 10, "end", fmt::format("{}", most))
           + textAt(left - 4, bottom, "end", "0") + textAt(left, bottom + 18, "start", "1 h ago")
           + textAt(right, bottom + 18, "end", "now")
           + textAt((left + right) / 2, bottom + 18, "middle", "solid: away, dashed: budget")
           + "</svg>";
}

std::string latencyChart(std::string_view title, std::span<const LatencyBin> bins)
{
    std::uint64_t total = 0;
    std::uint64_t most = 1;
    for (const LatencyBin &bin : bins) {
        total += bin.count;
        most = std::max(most, bin.count);
    }
    if (total == 0) {
        return fmt::format("<p class=\"hint\">{}: no requests seen by this entry host.</p>",
                           escapeHtml(title));
    }
    const double width = (right - left) / static_cast<double>(bins.size());
    std::string html =
            beginSvg(title, fmt::format("{} requests, at most {} in one bin", total, most))
            + axes();
    for (std::size_t i = 0; i < bins.size(); ++i) {
        const double x = left + static_cast<double>(i) * width;
        const double height =
                (bottom - top) * static_cast<double>(bins[i].count) / static_cast<double>(most);
        html += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
                            "fill=\"#14513a\"><title>from {}: {}</title></rect>",
                            x, bottom - height, width - 1, height, secondsText(bins[i].fromSeconds),
                            bins[i].count);
        if (i % 5 == 1) {
            html += textAt(x, bottom + 18, "middle", secondsText(bins[i].fromSeconds));
        }
    }
    return html + textAt(left - 4, top + 10, "end", fmt::format("{}", most)) + "</svg>";
}

}  // namespace poplarstream::console
