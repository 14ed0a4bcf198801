#include "capacity_fit.hpp"

#include <ctime>  // for clock_gettime

#include <malloc.h>  // for mallinfo2

#include <algorithm>  // for find_if, min

#include <fmt/format.h>  // for format

namespace poplarstream::bench {

namespace {

double threadMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

}  // namespace

FittedLine fitLine(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    Point mean;
    for (const Point &point : points) {
        mean.x += point.x / count;
        mean.y += point.y / count;
    }
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const Point &point : points) {
        xx += (point.x - mean.x) * (point.x - mean.x);
        xy += (point.x - mean.x) * (point.y - mean.y);
        yy += (point.y - mean.y) * (point.y - mean.y);
    }
    FittedLine line;
    line.slope = xx > 0 ? xy / xx : 0;
    line.intercept = mean.y - line.slope * mean.x;
    line.straightness = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
    return line;
}

double processorMicroseconds(const std::function<void()> &call)
{
    constexpr int rounds = 5;
    constexpr double roundMicroseconds = 10'000;
    constexpr int maxCalls = 2'000;
    double best = 0;
    for (int round = 0; round < rounds; ++round) {
        const double begin = threadMicroseconds();
        double spent = 0;
        int calls = 0;
        while (spent < roundMicroseconds && calls < maxCalls) {
            call();
            ++calls;
            spent = threadMicroseconds() - begin;
        }
        const double each = spent / calls;
        best = round == 0 ? each : std::min(best, each);
    }
    return best;
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double Series::at(double x) const
{
    const auto found = std::find_if(points.begin(), points.end(),
                                    [x](const Point &point) { return point.x == x; });
    return found != points.end() ? found->y : line.at(x);
}

Series makeSeries(std::string name, std::string unit, const std::vector<double> &sizes,
                  const std::function<double(std::size_t size)> &measure)
{
    Series series{std::move(name), std::move(unit), {}, {}};
    for (const double size : sizes) {
        series.points.push_back({size, measure(static_cast<std::size_t>(size))});
    }
    series.line = fitLine(series.points);
    return series;
}

std::string markdownRow(const Series &series)
{
    std::string points;
    for (const Point &point : series.points) {
        points += fmt::format("{}{:g}: {:.4g}", points.empty() ? "" : ", ", point.x, point.y);
    }
    return fmt::format("| {} | {} | {:.4g} | {:.4g} | {} | {:.4f} |\n", series.name, points,
                       series.line.intercept, series.line.slope, series.unit,
                       series.line.straightness);
}

}  // namespace poplarstream::bench
