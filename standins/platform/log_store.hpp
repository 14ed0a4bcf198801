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

// Consecutive records, starting at offset `first`.
struct Stream
{
    std::uint64_t first = 0;
    std::deque<StoredRecord> records;

    std::uint64_t end() const { return first + records.size(); }
};

// In-memory streams. A stream is created by its first append or read.
class LogStore
{
public:
    // Appends a record and returns its offset. Drops the oldest records beyond the retention.
    std::uint64_t append(const std::string &stream, StoredRecord record);

    // The JSON response to a read: first, next and at most `limit` records starting at `from`.
    std::string readPage(const std::string &stream, std::uint64_t from, std::size_t limit);

    // Whether the stream has a record at or after `from`.
    bool hasRecords(const std::string &stream, std::uint64_t from);

    // Sets how many records each stream keeps; 0 keeps all.
    void setRetention(std::size_t records);

    const std::map<std::string, Stream> &streams() const { return streams_; }

private:
    void trim(Stream &stream) const;

    std::map<std::string, Stream> streams_;
    std::size_t retention_ = 0;
};

}  // namespace poplarstream::standins
