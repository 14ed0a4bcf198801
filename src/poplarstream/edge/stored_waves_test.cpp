#include "poplarstream/edge/stored_waves.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

const engine::ClockReading firstSeen{timePoint(1'000'000), 1'700'000'000'000};

pools::WaveView exampleWave()
{
    pools::WaveView wave;
    wave.wave.number = 7;
    wave.wave.duration = Milliseconds{20'000};
    wave.begun = {pools::MachineId("m1"), pools::MachineId("m2")};
    wave.seenAt = firstSeen.steady;
    return wave;
}

// The record that an owner writes `delay` after it first saw the wave.
StoredRecord recordAfter(Milliseconds delay)
{
    const engine::ClockReading now{firstSeen.steady + delay, firstSeen.unixMs + delay.count()};
    const engine::ProgressRecord record = waveRecord(exampleWave(), now);
    return {record.key, record.value, 0};
}

// Guards against a late wave: each new owner would count the duration from its own start.
TEST(StoredWaves, SuccessorKnowsWhenAWaveWasFirstSeen)
{
    const auto stored = decodeWaveRecord(recordAfter(Milliseconds{3000}));
    ASSERT_TRUE(stored);
    EXPECT_EQ(stored.value().number, 7);
    EXPECT_EQ(stored.value().begun, exampleWave().begun);
    // The steady clocks of two hosts are unrelated; only their system clocks can be compared.
    const engine::ClockReading later{timePoint(5'000'000), firstSeen.unixMs + 12'000};
    EXPECT_EQ(seenAt(exampleWave().wave, stored.value(), later),
              later.steady - Milliseconds{12'000});
    {
        SCOPED_TRACE("a jump of the system clock makes the age neither negative nor too long");
        const engine::ClockReading ahead{later.steady, firstSeen.unixMs + 90'000};
        EXPECT_EQ(seenAt(exampleWave().wave, stored.value(), ahead),
                  ahead.steady - Milliseconds{20'000});
        const engine::ClockReading back{later.steady, firstSeen.unixMs - 5000};
        EXPECT_EQ(seenAt(exampleWave().wave, stored.value(), back), back.steady);
    }
}

TEST(StoredWaves, RecordsWithoutATimeCountFromNow)
{
    const auto stored = decodeWaveRecord({"wave/7", R"({"begun":["m1"]})", 0});
    ASSERT_TRUE(stored);
    EXPECT_EQ(seenAt(exampleWave().wave, stored.value(), firstSeen), firstSeen.steady);
}

// Guards against an owner that crashes on a record that another program wrote.
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
