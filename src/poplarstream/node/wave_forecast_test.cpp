#include <gtest/gtest.h>

#include "poplarstream/config/edits.hpp"  // for applyEdits
#include "poplarstream/console/console_fixture.hpp"  // for fleetOf
#include "poplarstream/node/wave_forecast.hpp"  // for forecastWaves

namespace poplarstream {
namespace {

console::Forecast forecastOf(const FleetState &fleet, std::vector<ConfigEdit> edits)
{
    const ConfigDocument document = applyEdits(fleet.document, edits).document;
    return forecastWaves(fleet, document, {}, {}, timePoint(2'000));
}

// Guards against a forecast that is computed for the version in force instead of the draft, and
// against a review that accepts a change which replay refuses.
TEST(WaveForecast, IsComputedForTheDraft)
{
    const FleetState fleet = console::testing::fleetOf(console::testing::smallDocument);
    {
        SCOPED_TRACE("a draft that starts no wave has no cost");
        const console::Forecast forecast = forecastOf(fleet, {{"tenant t", "quota", "11"}});
        EXPECT_EQ(forecast.absences, 0U);
        EXPECT_EQ(forecast.rollout, Milliseconds{0});
    }
    {
        SCOPED_TRACE("a draft that starts the wave has one absence per host, one at a time");
        const console::Forecast forecast = forecastOf(fleet, {{"wave w", "state", "running"}});
        EXPECT_EQ(forecast.refusal, "");
        EXPECT_EQ(forecast.absences, 2U);
        EXPECT_EQ(forecast.rollout, 2 * maintenance::Policy{}.rebootTime);
        ASSERT_EQ(forecast.pools.size(), 2U);
        EXPECT_EQ(forecast.pools[0].mostAway, 1U);
        EXPECT_EQ(forecast.pools[0].maxAway, 1U);
        EXPECT_EQ(forecast.pools[1].mostAway, 0U);
    }
    {
        SCOPED_TRACE("a change that replay refuses is reported as refused");
        EXPECT_NE(forecastOf(fleet, {{"host h1", "pool", "q"}}).refusal, "");
    }
    EXPECT_EQ(fleet.version, 1U);
}

}  // namespace
}  // namespace poplarstream
