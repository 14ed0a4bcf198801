#pragma once

#include <cstdint>  // for uint64_t

#include "poplarstream/base/id.hpp"  // for RecordId, EntryHostId
#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream {

// The position of a record in a stream of the platform log. The first record has offset 0.
using Offset = std::uint64_t;

// The header of every record. A retried append reuses the same id.
struct RecordHeader
{
    RecordId id;
    EntryHostId writer;

    friend bool operator==(const RecordHeader &, const RecordHeader &) = default;
};

// A record as read from the log. `time` is the time of the append by the clock of the log, the only
// clock that replay uses.
template <class Record>
struct Logged
{
    Offset offset = 0;
    TimePoint time;
    Record record;
};

// Maximum size of an encoded record. Snapshots are split into parts that fit.
inline constexpr std::size_t maxRecordBytes = 64 * 1024;

}  // namespace poplarstream
