#pragma once

#include <cstdint>  // for uint8_t, uint64_t
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, WaveId, RecordId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/records/record.hpp"  // for Offset

namespace poplarstream {

// The request or report that a record carried.
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

// The outcome of a record about a host, kept for `explain`. `time` is the log time of the record,
// `wave` the wave of the absence, if any. `reason` says why the record was refused, or is the
// reason or evidence given in a granted record.
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

// The sizes of the decision histories: for each host, for each wave, for configuration changes, and
// for records about hosts that are not configured. The oldest decisions are dropped first.
inline constexpr std::size_t maxDecisionsPerHost = 4;
inline constexpr std::size_t maxDecisionsPerWave = 32;
inline constexpr std::size_t maxChangeDecisions = 64;
inline constexpr std::size_t maxUnknownHostDecisions = 32;

// Describes the decision in one line, for example
// `offset 12: absence of host h1 for wave w refused: 2 of 2 hosts of pool p are away`.
std::string describe(const Decision &decision);
std::string describe(const ChangeDecision &decision);

}  // namespace poplarstream
