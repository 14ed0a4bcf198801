#pragma once

#include <cstdint>  // for int64_t
#include <optional>  // for optional
#include <set>  // for set

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/edge/ports.hpp"  // for StoredRecord
#include "poplarstream/engine/job_events.hpp"  // for ClockReading
#include "poplarstream/engine/state.hpp"  // for ProgressRecord
#include "poplarstream/pools/state.hpp"  // for WaveView

namespace poplarstream::edge {

// What earlier owners stored about a wave.
struct StoredWave
{
    std::int64_t number = 0;
    std::set<pools::MachineId> begun;
    std::optional<std::int64_t> seenUnixMs;  // when the first of them read the wave
};

engine::ProgressRecord waveRecord(const pools::WaveView &wave, const engine::ClockReading &now);

// Fails if the record is not that of a wave.
Result<StoredWave> decodeWaveRecord(const StoredRecord &record);

// When a wave was first seen. The system clock may have jumped since then, so the age is clamped to
// the duration of the wave.
TimePoint seenAt(const pools::Wave &wave, const StoredWave &stored,
                 const engine::ClockReading &now);

}  // namespace poplarstream::edge
