#include "platform/log_store.hpp"

#include <algorithm>  // for max, min
#include <iterator>  // for back_inserter

#include <fmt/format.h>  // for format_to

namespace poplarstream::standins {

std::uint64_t LogStore::append(const std::string &stream, StoredRecord record)
{
    Stream &target = streams_[stream];
    target.records.push_back(std::move(record));
    const std::uint64_t offset = target.end() - 1;
    trim(target);
    return offset;
}

std::string LogStore::readPage(const std::string &stream, std::uint64_t from, std::size_t limit)
{
    const Stream &source = streams_[stream];
    const std::uint64_t start = std::max(from, source.first);
    const std::uint64_t available = source.end() > start ? source.end() - start : 0;
    const std::uint64_t count = std::min<std::uint64_t>(available, limit);
    std::string text;
    auto out = std::back_inserter(text);
    fmt::format_to(out, R"({{"first":{},"next":{},"records":[)", source.first, start + count);
    for (std::uint64_t offset = start; offset < start + count; ++offset) {
        const StoredRecord &record = source.records[offset - source.first];
        fmt::format_to(out, R"({}{{"offset":{},"time_ms":{},"data":{}}})",
                       offset == start ? "" : ",", offset, record.timeMs, record.data);
    }
    text += "]}";
    return text;
}

bool LogStore::hasRecords(const std::string &stream, std::uint64_t from)
{
    return streams_[stream].end() > from;
}

void LogStore::setRetention(std::size_t records)
{
    retention_ = records;
    for (auto &[name, stream] : streams_) {
        trim(stream);
    }
}

void LogStore::trim(Stream &stream) const
{
    while (retention_ > 0 && stream.records.size() > retention_) {
        stream.records.pop_front();
        ++stream.first;
    }
}

}  // namespace poplarstream::standins
