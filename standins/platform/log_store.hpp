#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <deque>  // for deque
#include <map>  // for map
#include <string>  // for string

namespace poplarstream::standins {

struct StoredRecord
{
    std::int64_t timeMs = 0;
    std::string data;  // JSON text
};

// One stream: consecutive records from `first` on.
struct Stream
{
    std::uint64_t first = 0;
    std::deque<StoredRecord> records;

    std::uint64_t end() const { return first + records.size(); }
};

// Streams in memory. A stream exists from its first append or read on.
class LogStore
{
public:
    // Appends and returns the offset. Drops the oldest records beyond the retention.
    std::uint64_t append(const std::string &stream, StoredRecord record);

    // The JSON answer to a read: first, next and at most `limit` records from `from`.
    std::string page(const std::string &stream, std::uint64_t from, std::size_t limit);

    // Whether the stream has a record at or after `from`.
    bool hasRecords(const std::string &stream, std::uint64_t from);

    // How many records each stream keeps; 0 keeps all.
    void setRetention(std::size_t records);

    const std::map<std::string, Stream> &streams() const { return streams_; }

private:
    void trim(Stream &stream) const;

    std::map<std::string, Stream> streams_;
    std::size_t retention_ = 0;
};

}  // namespace poplarstream::standins
