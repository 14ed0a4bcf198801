#include "poplarstream/pools/forecast.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::pools {
namespace {

const ServiceId shop{"shop"};
constexpr Milliseconds tick{100};
constexpr double work = 60'000'000;  // 60 core-seconds in thousandths of a core

// Jobs of 1 s that arrive at intervals of 100 ms.
struct Traffic
{
    Forecast forecast;
    TimePoint now = timePoint(1'000'000);

    void step(int jobs)
    {
        now += tick;
        const engine::Arrival arrival{shop, now, work, 0, Milliseconds{1000}};
        recordArrivals(forecast, std::vector(static_cast<std::size_t>(jobs), arrival), now);
    }

    double expected(Milliseconds ahead) const
    {
        return expectedLoad(forecast, shop, ahead, now).cpuMilli;
    }
};

// The load of this many jobs per 100 ms.
double loadOf(double jobs)
{
    return jobs * work / 100;
}

// Guards against sizing a pool for past arrivals only: the demand rises further while the machines
// are joining.
TEST(Forecast, TrendIsExtrapolated)
{
    Traffic traffic;
    for (int i = 0; i < 30; ++i) {
        traffic.step(i / 3);
    }
    const double now = loadOf(9.5);
    EXPECT_GT(traffic.expected(Milliseconds{2500}), now * 1.4);
    EXPECT_LT(traffic.expected(Milliseconds{2500}), now * 2.2);
    {
        SCOPED_TRACE("and levels off with the demand");
        for (int i = 0; i < 20; ++i) {
            traffic.step(10);
        }
        EXPECT_NEAR(traffic.expected(Milliseconds{2500}), loadOf(10), loadOf(0.5));
    }
    {
        SCOPED_TRACE("and falls with the demand");
        for (int i = 20; i > 5; --i) {
            traffic.step(i / 2);
        }
        EXPECT_LT(traffic.expected(Milliseconds{2500}), loadOf(1));
    }
}

// Guards against pools that follow random variation: a few jobs more or less are no trend.
TEST(Forecast, FewJobsAreNoTrend)
{
    Traffic traffic;
    for (int i = 0; i < 20; ++i) {
        traffic.step(i % 5 == 0 || i == 17 || i == 18 ? 1 : 0);
    }
    EXPECT_NEAR(traffic.expected(Milliseconds{2500}), loadOf(0.3), loadOf(0.1));
}

TEST(Forecast, NothingArrives)
{
    Traffic traffic;
    EXPECT_EQ(traffic.expected(Milliseconds{2500}), 0);
    traffic.step(5);
    for (int i = 0; i < 25; ++i) {
        traffic.step(0);
    }
    EXPECT_EQ(traffic.expected(Milliseconds{2500}), 0);
}

// Guards against a host whose clock is ahead, and against jobs that a successor reads out of order.
TEST(Forecast, TimesOfOtherClocks)
{
    Traffic traffic;
    std::vector<engine::Arrival> arrivals;
    for (int i = 0; i < 25; ++i) {
        arrivals.push_back({shop, traffic.now - tick * ((i * 7) % 25), work, 0, tick});
    }
    arrivals.push_back({shop, traffic.now + Milliseconds{2000}, work, 0, tick});
    recordArrivals(traffic.forecast, arrivals, traffic.now);
    const ArrivalHistory &history = traffic.forecast.services.at(shop);
    EXPECT_EQ(history.recent.size(), 21U) << "five of them are too old";
    EXPECT_TRUE(std::is_sorted(history.recent.begin(), history.recent.end()));
    EXPECT_EQ(history.recent.back(), traffic.now);
}

}  // namespace
}  // namespace poplarstream::pools
