#include "poplarstream/ownership/division.hpp"

#include <algorithm>  // for max
#include <cstdint>  // for uint64_t

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson
#include "poplarstream/base/json_value.hpp"  // for integerFrom
#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream::ownership {

namespace {

using nlohmann::json;

constexpr std::string_view digits = "0123456789";
constexpr std::uint64_t decimalBase = 10;

// The value of a row of digits. It wraps around for a long row, the same in every process.
std::uint64_t numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    for (const char digit : text) {
        number = number * decimalBase + static_cast<std::uint64_t>(digit - '0');
    }
    return number;
}

}  // namespace

int shardCountFor(int machines, int partitions)
{
    for (int count = 1; count < partitions; ++count) {
        if (isShardCount(count, partitions) && machines <= count * maxMachinesPerShard) {
            return count;
        }
    }
    return std::max(partitions, 1);
}

bool isShardCount(int count, int partitions)
{
    return count >= 1 && count <= partitions && partitions % count == 0;
}

int shardOfPartition(int partition, int shardCount)
{
    return partition % shardCount;
}

int shardOfRack(const RackId &rack, int shardCount)
{
    if (rack.isEmpty()) {
        return 0;
    }
    const std::string_view text = rack.text();
    const std::size_t lastOther = text.find_last_not_of(digits);
    const std::size_t numberAt = lastOther == std::string_view::npos ? 0 : lastOther + 1;
    const auto count = static_cast<std::uint64_t>(shardCount);
    const std::uint64_t first = stableHash(text.substr(0, numberAt)) % count;
    return static_cast<int>((first + numberOf(text.substr(numberAt)) % count) % count);
}

std::string encodeDivision(int shardCount)
{
    return json{{"shards", shardCount}}.dump();
}

std::optional<int> decodeDivision(std::string_view text, int partitions)
{
    const json value = parseBoundedJson(text).value_or(json());
    if (!value.is_object()) {
        return {};
    }
    try {
        const int count = integerFrom<int>(value.at("shards"), 1, partitions);
        return isShardCount(count, partitions) ? std::optional(count) : std::nullopt;
    } catch (const std::exception &) {
        return {};
    }
}

}  // namespace poplarstream::ownership
