#include "poplarstream/pools/forecast.hpp"

#include <algorithm>  // for clamp, count_if, max, min, sort

namespace poplarstream::pools {

namespace {

// The trend is the difference between the arrivals of the last two windows. Demand rises and falls
// within a few seconds.
constexpr Milliseconds window{1000};
// The difference of two counts is shrunk by its random part, this many times the variance of two
// Poisson counts, as in Stein's estimator.
constexpr double shrinkage = 2.0;
// With fewer arrivals than this in a window, the rate is averaged over two windows.
constexpr double fewArrivals = 10.0;
// Job sizes are averaged over about this many jobs.
constexpr double maxJobWeight = 200.0;
// A rate is expected to grow at most by this factor over the forecast period.
constexpr double maxGrowth = 3.0;

void updateMean(double &mean, double value, double weight)
{
    mean += (value - mean) / weight;
}

void recordArrival(ArrivalHistory &history, const engine::Arrival &arrival, TimePoint now)
{
    history.jobs = std::min(history.jobs + 1, maxJobWeight);
    updateMean(history.meanWork.cpuMilli, arrival.cpuMilliMs, history.jobs);
    updateMean(history.meanWork.memoryMb, arrival.memoryMbMs, history.jobs);
    updateMean(history.meanLengthMs, static_cast<double>(arrival.length.count()), history.jobs);
    // The time comes from the clock of another host, which may be ahead.
    history.recent.push_back(std::min(arrival.at, now));
}

double arrivalsIn(const ArrivalHistory &history, TimePoint from, TimePoint to)
{
    return static_cast<double>(
            std::count_if(history.recent.begin(), history.recent.end(),
                          [from, to](TimePoint at) { return at > from && at <= to; }));
}

// Expected arrivals in the window that ends `ahead` from now.
double expectedArrivals(const ArrivalHistory &history, Milliseconds ahead, TimePoint now)
{
    const double newer = arrivalsIn(history, now - window, now);
    const double older = arrivalsIn(history, now - window * 2, now - window);
    const double difference = newer - older;
    const double randomPart = shrinkage * (newer + older);
    if (difference * difference <= randomPart) {
        return newer < fewArrivals ? (newer + older) / 2 : newer;
    }
    const double trend = difference * (1 - randomPart / (difference * difference));
    // The newer count is the rate in the middle of its window.
    const auto windows =
            static_cast<double>((ahead + window / 2).count()) / static_cast<double>(window.count());
    return std::clamp(newer + trend * windows, 0.0, newer * maxGrowth);
}

}  // namespace

void recordArrivals(Forecast &forecast, std::vector<engine::Arrival> arrivals, TimePoint now)
{
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto &a, const auto &b) { return a.at < b.at; });
    for (const engine::Arrival &arrival : arrivals) {
        recordArrival(forecast.services[arrival.service], arrival, now);
    }
    for (auto &[service, history] : forecast.services) {
        while (!history.recent.empty() && history.recent.front() <= now - window * 2) {
            history.recent.pop_front();
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
    // On average, the jobs that run at a time arrived half a job's length earlier.
    const Milliseconds halfLength(static_cast<std::int64_t>(history.meanLengthMs / 2));
    const double jobs =
            expectedArrivals(history, std::max(ahead - halfLength, Milliseconds{0}), now);
    const auto perMs = jobs / static_cast<double>(window.count());
    return {history.meanWork.cpuMilli * perMs, history.meanWork.memoryMb * perMs};
}

}  // namespace poplarstream::pools
