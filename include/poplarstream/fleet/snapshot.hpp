#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/records/control_record.hpp"  // for SnapshotPart

namespace poplarstream {

// The state as JSON text; equal states give equal texts. The same bytes go into snapshots and to
// peers.
std::string encodeState(const FleetState &state);

// The inverse of encodeState, for bytes from outside: any fault is a failure.
Result<FleetState> decodeState(std::string_view text);

// The snapshot of the state, in parts whose encoded records stay below maxRecordBytes. Empty for a
// state that no record was applied to.
std::vector<SnapshotPart> snapshotParts(const FleetState &state, const RecordId &snapshot);

// Collects the parts found in the log and finds the newest snapshot that is whole. It holds the
// texts of a few snapshots only, however many the log has.
class SnapshotCollector
{
public:
    // Takes one part in any order. A part with a wrong checksum, index or count is dropped.
    void add(const SnapshotPart &part);

    // The state of the newest complete snapshot that decodes, or nothing.
    std::optional<FleetState> newest() const;

private:
    struct Snapshot
    {
        Offset through = 0;
        std::uint32_t count = 0;
        std::uint64_t lastPart = 0;  // grows with each part that is added
        std::map<std::uint32_t, std::string> parts;

        bool isComplete() const { return parts.size() == count; }
    };

    void dropOld();

    std::map<RecordId, Snapshot> snapshots_;
    std::uint64_t added_ = 0;
};

}  // namespace poplarstream
