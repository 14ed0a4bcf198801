#pragma once

#include <cstdint>  // for uint8_t, uint16_t, uint32_t
#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/base/result.hpp"  // for Result

namespace poplarstream::membership {

// A name in messages: the low 16 bits of its stable hash. A collision makes one peer or zone look
// as well heard as another, which delays a suspicion and causes none; at 8 peers a zone and 15
// zones the chance of any in a fleet is below 1 in 100.
using ShortName = std::uint16_t;
ShortName shortName(std::string_view name);

// What a source says about an endpoint or a host.
enum class Claim : std::uint8_t { Live, Leaving, Refused, ProbeFailed };

// A claim that travels with messages. `age` is in seconds, so that no clock is compared.
struct GossipUpdate
{
    std::string subject;
    Claim claim = Claim::Live;
    std::uint16_t age = 0;
    std::string observer;  // the entry host that saw it

    friend bool operator==(const GossipUpdate &, const GossipUpdate &) = default;
};

// Sent each second to every peer of the own zone. `incarnation` grows with each start of the
// process; `heard` are the peers of the zone that the sender heard in the last seconds.
struct Heartbeat
{
    EntryHostId from;
    std::uint32_t incarnation = 0;
    std::uint32_t sequence = 0;
    bool isLeaving = false;
    bool isLogReachable = false;
    std::vector<ShortName> heard;
    std::vector<ShortName> heardZones;
    std::vector<GossipUpdate> gossipUpdates;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

// Sent each second to one peer of each other zone that the sender is responsible for. `live` are
// the live entry hosts of the sender's zone, the sender included.
struct Digest
{
    EntryHostId from;
    ZoneId zone;
    std::uint32_t incarnation = 0;
    std::uint32_t sequence = 0;
    bool isLogReachable = false;
    std::vector<ShortName> live;
    std::vector<ShortName> heardZones;
    std::vector<GossipUpdate> gossipUpdates;

    friend bool operator==(const Digest &, const Digest &) = default;
};

// MessagePack arrays. A heartbeat of a zone with 8 entry hosts in a fleet of 15 zones takes about
// 80 bytes, a digest about 85, and a rumour 4 bytes and its names.
std::vector<std::uint8_t> encode(const Heartbeat &heartbeat);
std::vector<std::uint8_t> encode(const Digest &digest);

// The inverse; any other bytes, and lists longer than maxListLength, are a failure.
Result<Heartbeat> decodeHeartbeat(std::span<const std::uint8_t> bytes);
Result<Digest> decodeDigest(std::span<const std::uint8_t> bytes);

inline constexpr std::size_t maxListLength = 256;
// Rumours in one message. A lost rack is 4 hosts and about 12 endpoints, so that its gossipUpdates
// are out within two heartbeats.
inline constexpr std::size_t maxGossipUpdates = 8;

}  // namespace poplarstream::membership
