#include "poplarstream/pools/forecast.hpp"

#include <algorithm>  // for clamp, count_if, max, min, sort

namespace poplarstream::pools {

namespace {

// The trend is the difference between this time and as long before. Demand rises and falls within
// a few seconds.
constexpr Milliseconds window{1000};
// The difference of two counts is shrunk by what chance puts into it: this many times the variance
// of two Poisson counts, as Stein's estimator has it.
constexpr double shrinkage = 2.0;
// The rate of a service with fewer arrivals than this in a window is taken over two.
constexpr double fewArrivals = 10.0;
// Sizes of jobs are averaged over about this many.
constexpr double jobsAveraged = 200.0;
// A rate is not expected to grow beyond this many times within the time looked ahead.
constexpr double growthMost = 3.0;

void average(double &mean, double value, double weight)
{
    mean += (value - mean) / weight;
}

void take(ArrivalHistory &history, const engine::Arrival &arrival, TimePoint now)
{
    history.jobs = std::min(history.jobs + 1, jobsAveraged);
    average(history.meanWork.cpuMilli, arrival.cpuMilliMs, history.jobs);
    average(history.meanWork.memoryMb, arrival.memoryMbMs, history.jobs);
    average(history.meanLengthMs, static_cast<double>(arrival.length.count()), history.jobs);
    // Other hosts' clocks tell when a job was accepted; none of them may be ahead.
    history.lately.push_back(std::min(arrival.at, now));
}

double arrivalsIn(const ArrivalHistory &history, TimePoint from, TimePoint to)
{
    return static_cast<double>(
            std::count_if(history.lately.begin(), history.lately.end(),
                          [from, to](TimePoint at) { return at > from && at <= to; }));
}

// Jobs in a window that ends `ahead` from now.
double expectedArrivals(const ArrivalHistory &history, Milliseconds ahead, TimePoint now)
{
    const double newer = arrivalsIn(history, now - window, now);
    const double older = arrivalsIn(history, now - window * 2, now - window);
    const double difference = newer - older;
    const double chance = shrinkage * (newer + older);
    if (difference * difference <= chance) {
        return newer < fewArrivals ? (newer + older) / 2 : newer;
    }
    const double trend = difference * (1 - chance / (difference * difference));
    // The newer count stands for the middle of its window.
    const auto windows =
            static_cast<double>((ahead + window / 2).count()) / static_cast<double>(window.count());
    return std::clamp(newer + trend * windows, 0.0, newer * growthMost);
}

}  // namespace

void recordArrivals(Forecast &forecast, std::vector<engine::Arrival> arrivals, TimePoint now)
{
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const engine::Arrival &arrival : arrivals) {
        take(forecast.services[arrival.service], arrival, now);
    }
    for (auto &[service, history] : forecast.services) {
        while (!history.lately.empty() && history.lately.front() <= now - window * 2) {
            history.lately.pop_front();
        }
    }
}

Load expectedLoad(const Forecast &forecast, const ServiceId &service, Milliseconds ahead,
                  TimePoint now)
{
    const auto found = forecast.services.find(service);
    if (found == forecast.services.end()) {
        return {};
    }
    const ArrivalHistory &history = found->second;
    // What is under way at a time arrived half a job's length before, on average.
    const Milliseconds half(static_cast<std::int64_t>(history.meanLengthMs / 2));
    const double jobs = expectedArrivals(history, std::max(ahead - half, Milliseconds{0}), now);
    const auto perMs = jobs / static_cast<double>(window.count());
    return {history.meanWork.cpuMilli * perMs, history.meanWork.memoryMb * perMs};
}

}  // namespace poplarstream::pools
