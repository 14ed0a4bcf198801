#include "poplarstream/membership/messages.hpp"

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedMessagePack
#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream::membership {
namespace {

using Json = nlohmann::json;

Json toJson(const std::vector<GossipUpdate> &gossipUpdates)
{
    Json list = Json::array();
    for (const GossipUpdate &update : gossipUpdates) {
        list.push_back(Json::array({update.subject, static_cast<unsigned>(update.claim), update.age,
                                    update.observer}));
    }
    return list;
}

struct DecodeError
{
    std::string message;
};

const Json &item(const Json &list, std::size_t index)
{
    if (!list.is_array() || index >= list.size()) {
        throw DecodeError{"item " + std::to_string(index) + " is missing"};
    }
    return list[index];
}

template <class Number>
Number number(const Json &value)
{
    if (!value.is_number_unsigned()
        || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        throw DecodeError{"number out of range"};
    }
    return value.get<Number>();
}

std::string name(const Json &value)
{
    constexpr std::size_t maxNameLength = 256;
    if (!value.is_string() || value.get_ref<const std::string &>().empty()
        || value.get_ref<const std::string &>().size() > maxNameLength) {
        throw DecodeError{"name is missing or too long"};
    }
    return value.get<std::string>();
}

const Json &list(const Json &value)
{
    if (!value.is_array() || value.size() > maxListLength) {
        throw DecodeError{"list is missing or too long"};
    }
    return value;
}

std::vector<ShortName> shortNames(const Json &value)
{
    std::vector<ShortName> names;
    for (const Json &entry : list(value)) {
        names.push_back(number<ShortName>(entry));
    }
    return names;
}

std::vector<GossipUpdate> gossipUpdates(const Json &value)
{
    std::vector<GossipUpdate> result;
    for (const Json &entry : list(value)) {
        const auto claim = number<std::uint8_t>(item(entry, 1));
        if (claim > static_cast<std::uint8_t>(Claim::ProbeFailed)) {
            throw DecodeError{"unknown claim"};
        }
        result.push_back({name(item(entry, 0)), static_cast<Claim>(claim),
                          number<std::uint16_t>(item(entry, 2)), name(item(entry, 3))});
    }
    return result;
}

template <class Message, class Read>
Result<Message> decode(std::span<const std::uint8_t> bytes, Read read)
{
    const std::optional<Json> json = parseBoundedMessagePack(bytes);
    if (!json) {
        return Failure{"not MessagePack", ""};
    }
    try {
        return read(*json);
    } catch (const DecodeError &error) {
        return Failure{error.message, ""};
    }
}

}  // namespace

ShortName shortName(std::string_view name)
{
    return static_cast<ShortName>(stableHash(name));
}

std::vector<std::uint8_t> encode(const Heartbeat &heartbeat)
{
    const unsigned flags = (heartbeat.isLeaving ? 1U : 0U) | (heartbeat.isLogReachable ? 2U : 0U);
    return Json::to_msgpack(Json::array(
            {heartbeat.from.text(), heartbeat.incarnation, heartbeat.sequence, flags,
             Json(heartbeat.heard), Json(heartbeat.heardZones), toJson(heartbeat.gossipUpdates)}));
}

std::vector<std::uint8_t> encode(const Digest &digest)
{
    return Json::to_msgpack(
            Json::array({digest.from.text(), digest.zone.text(), digest.incarnation,
                         digest.sequence, digest.isLogReachable ? 2U : 0U, Json(digest.live),
                         Json(digest.heardZones), toJson(digest.gossipUpdates)}));
}

Result<Heartbeat> decodeHeartbeat(std::span<const std::uint8_t> bytes)
{
    return decode<Heartbeat>(bytes, [](const Json &json) {
        const auto flags = number<std::uint8_t>(item(json, 3));
        return Heartbeat{EntryHostId(name(item(json, 0))),
                         number<std::uint32_t>(item(json, 1)),
                         number<std::uint32_t>(item(json, 2)),
                         (flags & 1U) != 0,
                         (flags & 2U) != 0,
                         shortNames(item(json, 4)),
                         shortNames(item(json, 5)),
                         gossipUpdates(item(json, 6))};
    });
}

Result<Digest> decodeDigest(std::span<const std::uint8_t> bytes)
{
    return decode<Digest>(bytes, [](const Json &json) {
        return Digest{EntryHostId(name(item(json, 0))),
                      ZoneId(name(item(json, 1))),
                      number<std::uint32_t>(item(json, 2)),
                      number<std::uint32_t>(item(json, 3)),
                      (number<std::uint8_t>(item(json, 4)) & 2U) != 0,
                      shortNames(item(json, 5)),
                      shortNames(item(json, 6)),
                      gossipUpdates(item(json, 7))};
    });
}

}  // namespace poplarstream::membership
