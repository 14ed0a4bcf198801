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

// What earlier owners recorded of a wave.
struct InheritedWave
{
    std::int64_t number = 0;
    std::set<pools::MachineId> begun;
    std::optional<std::int64_t> seenUnixMs;  // when the first of them saw it
};

engine::ProgressRecord recordOf(const pools::WaveView &wave, const engine::ClockReading &now);

// Fails when the record is not that of a wave.
Result<InheritedWave> decodeWaveRecord(const StoredRecord &record);

// When a wave was first seen. The time of day may have jumped since then, so its age is taken to be
// no more than the wave's own time.
TimePoint seenAt(const pools::Wave &wave, const InheritedWave &inherited,
                 const engine::ClockReading &now);

}  // namespace poplarstream::edge
