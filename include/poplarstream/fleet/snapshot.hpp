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

// Encodes the state as JSON text. Equal states give equal texts. Snapshots and messages to peers
// use the same encoding.
std::string encodeState(const FleetState &state);

// The inverse of encodeState. Accepts untrusted input: any error gives a Failure.
Result<FleetState> decodeState(std::string_view text);

// Splits the snapshot of the state into parts whose encoded records stay below maxRecordBytes.
// Returns no parts if no record has been applied to the state.
std::vector<SnapshotPart> snapshotParts(const FleetState &state, const RecordId &snapshot);

// Collects snapshot parts from the log and finds the newest complete snapshot. It holds the texts
// of only a few snapshots, however many the log contains.
class SnapshotCollector
{
public:
    // Adds a part; the order does not matter. A part with a wrong checksum, index or count is
    // dropped.
    void add(const SnapshotPart &part);

    // Returns the state of the newest complete snapshot that can be decoded, or nothing.
    std::optional<FleetState> newest() const;

private:
    struct Snapshot
    {
        Offset through = 0;
        std::uint32_t count = 0;
        std::uint64_t newestPartSequence = 0;  // lastSequence_ when it was added
        std::map<std::uint32_t, std::string> parts;

        bool isComplete() const { return parts.size() == count; }
    };

    void evictOldest();

    std::map<RecordId, Snapshot> snapshots_;
    std::uint64_t lastSequence_ = 0;
};

}  // namespace poplarstream
