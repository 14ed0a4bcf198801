#pragma once

#include <cstdint>  // for uint64_t

#include "poplarstream/base/id.hpp"  // for RecordId, EntryHostId
#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream {

// The position of a record in a stream of the platform's log. The first record has offset 0.
using Offset = std::uint64_t;

// What every record carries: an id that a retry of the append repeats, and who wrote it.
struct RecordHeader
{
    RecordId id;
    EntryHostId writer;

    friend bool operator==(const RecordHeader &, const RecordHeader &) = default;
};

// A record as read back from the log. `time` is the log's own time of the append; replay uses no
// other clock.
template <class Record>
struct Logged
{
    Offset offset = 0;
    TimePoint time;
    Record record;
};

// The largest encoded record that is appended, in bytes. Snapshots are cut into parts below it.
inline constexpr std::size_t maxRecordBytes = 64 * 1024;

}  // namespace poplarstream
