#include "poplarstream/edge/stored_waves.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

const engine::ClockReading seen{timePoint(1'000'000), 1'700'000'000'000};

pools::WaveView waveSeen()
{
    pools::WaveView wave;
    wave.wave.number = 7;
    wave.wave.duration = Milliseconds{20'000};
    wave.begun = {pools::MachineId("m1"), pools::MachineId("m2")};
    wave.seenAt = seen.steady;
    return wave;
}

// The record that an owner writes so long after it saw the wave.
StoredRecord recordAfter(Milliseconds delay)
{
    const engine::ClockReading now{seen.steady + delay, seen.unixMs + delay.count()};
    const engine::ProgressRecord record = recordOf(waveSeen(), now);
    return {record.key, record.value, 0};
}

// Guards against a wave that is late because each new owner counts its time from its own start.
TEST(StoredWaves, SuccessorKnowsWhenAWaveWasFirstSeen)
{
    const auto inherited = decodeWaveRecord(recordAfter(Milliseconds{3000}));
    ASSERT_TRUE(inherited);
    EXPECT_EQ(inherited.value().number, 7);
    EXPECT_EQ(inherited.value().begun, waveSeen().begun);
    // The clocks of two hosts have nothing in common but the time of day.
    const engine::ClockReading later{timePoint(5'000'000), seen.unixMs + 12'000};
    EXPECT_EQ(seenAt(waveSeen().wave, inherited.value(), later),
              later.steady - Milliseconds{12'000});
    {
        SCOPED_TRACE("and a jump of the time of day makes it neither future nor endless");
        const engine::ClockReading ahead{later.steady, seen.unixMs + 90'000};
        EXPECT_EQ(seenAt(waveSeen().wave, inherited.value(), ahead),
                  ahead.steady - Milliseconds{20'000});
        const engine::ClockReading back{later.steady, seen.unixMs - 5000};
        EXPECT_EQ(seenAt(waveSeen().wave, inherited.value(), back), back.steady);
    }
}

TEST(StoredWaves, RecordsWithoutATimeCountFromNow)
{
    const auto inherited = decodeWaveRecord({"wave/7", R"({"begun":["m1"]})", 0});
    ASSERT_TRUE(inherited);
    EXPECT_EQ(seenAt(waveSeen().wave, inherited.value(), seen), seen.steady);
}

// Guards against an owner that falls over a record that another program wrote.
TEST(StoredWaves, UnreadableRecordsAreRefused)
{
    for (const char *value : {"", "[]", "{}", R"({"begun":3})", R"({"begun":[3]})"}) {
        EXPECT_FALSE(decodeWaveRecord({"wave/7", value, 0})) << value;
    }
    EXPECT_FALSE(decodeWaveRecord({"wave/x", R"({"begun":[]})", 0}));
    EXPECT_FALSE(decodeWaveRecord({"other", R"({"begun":[]})", 0}));
    EXPECT_FALSE(decodeWaveRecord({"wave/7", {}, 0}));
}

}  // namespace
}  // namespace poplarstream::edge
