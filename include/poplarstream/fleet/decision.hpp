#pragma once

#include <cstdint>  // for uint8_t, uint64_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, WaveId, RecordId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/records/record.hpp"  // for Offset

namespace poplarstream {

// What a record asked for.
enum class DecisionKind : std::uint8_t {
    Absence,
    Drained,
    Left,
    CameBack,
    Returned,
    Abandoned,
    Move,
    Failed,
    Recovered,
    Quarantine,
    QuarantineEnd,
};

inline constexpr std::size_t decisionKindCount = 11;

// The outcome of a record about a host, kept for `explain`. `wave` is that of the absence, if any.
// `reason` is why the record was refused, or the evidence or reason that a granted record gave.
// `time` is the log's time of the record.
struct Decision
{
    Offset offset = 0;
    TimePoint time;
    DecisionKind kind = DecisionKind::Absence;
    bool granted = false;
    HostId host;
    WaveId wave;
    std::string reason;
};

// The outcome of a configuration change. `version` is the version in force after it.
struct ChangeDecision
{
    Offset offset = 0;
    TimePoint time;
    RecordId id;
    std::string author;
    bool granted = false;
    std::uint64_t version = 0;
    std::string reason;
};

// How many decisions are kept: for each host, for each wave, of changes, and of records about hosts
// that are not configured. The oldest are dropped first.
inline constexpr std::size_t decisionsPerHost = 4;
inline constexpr std::size_t decisionsPerWave = 32;
inline constexpr std::size_t changeDecisions = 64;
inline constexpr std::size_t strayDecisions = 32;

// One line in plain English, for example
// `offset 12: absence of host h1 for wave w refused: 2 of 2 hosts of pool p are away`.
std::string describe(const Decision &decision);
std::string describe(const ChangeDecision &decision);

}  // namespace poplarstream
