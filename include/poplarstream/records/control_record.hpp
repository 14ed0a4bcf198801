#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for HostId, PoolId, WaveId, ZoneId, DutyId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/records/record.hpp"  // for RecordHeader, Offset

namespace poplarstream {

// One edit of the configuration document. Without `value` the key is removed; without `key` the
// whole section. `section` is "kind name", as in the INI document.
struct ConfigEdit
{
    std::string section;
    std::optional<std::string> key;
    std::optional<std::string> value;

    friend bool operator==(const ConfigEdit &, const ConfigEdit &) = default;
};

// Proposes a change of the configuration. `baseVersion` is the version that it was based on.
struct ConfigChange
{
    std::uint64_t baseVersion = 0;
    std::string author;
    std::vector<ConfigEdit> edits;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

enum class AbsenceKind { Reboot, Move, RebootAndMove };

// Requests an absence of `host`. Granted only if the availability budget of its pool allows it.
// `target` is the pool to move to; empty for a reboot.
struct AbsenceRequest
{
    HostId host;
    AbsenceKind kind = AbsenceKind::Reboot;
    PoolId target;
    WaveId wave;
    std::string reason;

    friend bool operator==(const AbsenceRequest &, const AbsenceRequest &) = default;
};

enum class AbsencePhase { Drained, Away, Returning, Returned, Abandoned };

// Reports progress of a granted absence. `grant` is the offset of the granted request, so that a
// late report of an earlier absence is ignored.
struct AbsenceProgress
{
    HostId host;
    Offset grant = 0;
    AbsencePhase phase = AbsencePhase::Drained;

    friend bool operator==(const AbsenceProgress &, const AbsenceProgress &) = default;
};

// Moves a host to another pool atomically. Valid only while the host is away for a move.
struct HostMove
{
    HostId host;
    PoolId from;
    PoolId to;

    friend bool operator==(const HostMove &, const HostMove &) = default;
};

// Reports that a host has failed or has recovered.
struct HostHealth
{
    HostId host;
    bool failed = false;
    std::string evidence;

    friend bool operator==(const HostHealth &, const HostHealth &) = default;
};

// Reports that a zone became unreachable from the other zones, or reachable again. The hosts of a
// lost zone count as away.
struct ZoneReachability
{
    ZoneId zone;
    bool lost = false;

    friend bool operator==(const ZoneReachability &, const ZoneReachability &) = default;
};

// Claims, renews or (with duration 0) releases a leader lease. Granted if no other holder's lease
// is valid at the log time of this record.
struct LeaderLease
{
    DutyId duty;
    EntryHostId holder;
    Milliseconds duration{0};

    friend bool operator==(const LeaderLease &, const LeaderLease &) = default;
};

// Excludes a worker from placement, or readmits it.
struct WorkerQuarantine
{
    HostId host;
    bool quarantined = false;
    std::string evidence;

    friend bool operator==(const WorkerQuarantine &, const WorkerQuarantine &) = default;
};

// One part of a snapshot of the state up to and including offset `through`. `checksum` is
// stableHash(data).
struct SnapshotPart
{
    RecordId snapshot;
    Offset through = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::uint64_t checksum = 0;
    std::string data;

    friend bool operator==(const SnapshotPart &, const SnapshotPart &) = default;
};

using ControlBody =
        std::variant<ConfigChange, AbsenceRequest, AbsenceProgress, HostMove, HostHealth,
                     ZoneReachability, LeaderLease, WorkerQuarantine, SnapshotPart>;

// A record of the `control` stream, which is read by every entry host.
struct ControlRecord
{
    RecordHeader header;
    ControlBody body;

    friend bool operator==(const ControlRecord &, const ControlRecord &) = default;
};

}  // namespace poplarstream
