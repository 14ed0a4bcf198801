#pragma once

#include <compare>  // for strong_ordering
#include <functional>  // for hash
#include <string>  // for string
#include <utility>  // for move

namespace poplarstream {

// A strongly typed name: `Tag` makes names of different kinds distinct types. Ordered and hashed by
// its text.
template <class Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string text)
        : text_(std::move(text))
    {}

    const std::string &text() const { return text_; }
    bool isEmpty() const { return text_.empty(); }

    friend auto operator<=>(const Id &, const Id &) = default;
    friend bool operator==(const Id &, const Id &) = default;

private:
    std::string text_;
};

using HostId = Id<struct HostTag>;
using MinionId = Id<struct MinionTag>;
using EntryHostId = Id<struct EntryHostTag>;
using PoolId = Id<struct PoolTag>;
using ServiceId = Id<struct ServiceTag>;
using AccountId = Id<struct AccountTag>;
using ZoneId = Id<struct ZoneTag>;
using MachineId = Id<struct MachineTag>;
using RegionId = Id<struct RegionTag>;
using RackId = Id<struct RackTag>;
using RunId = Id<struct RunTag>;
using RequestId = Id<struct RequestTag>;
using WaveId = Id<struct WaveTag>;
using RecordId = Id<struct RecordTag>;
using DutyId = Id<struct DutyTag>;

}  // namespace poplarstream

template <class Tag>
struct std::hash<poplarstream::Id<Tag>>
{
    std::size_t operator()(const poplarstream::Id<Tag> &id) const
    {
        return std::hash<std::string>{}(id.text());
    }
};
