#pragma once

#include <cstdint>  // for uint8_t, uint16_t, uint32_t
#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId
#include "poplarstream/base/result.hpp"  // for Result

namespace poplarstream::membership {

// A name in messages: the low 16 bits of its stable hash. After a collision, two peers or zones are
// both reported as heard when only one is, which can delay a suspicion but never causes one. With
// 15 zones of 8 peers the probability of any collision in a fleet is below 1 in 100.
using ShortName = std::uint16_t;
ShortName shortName(std::string_view name);

// What an observer reports about an endpoint or a host.
enum class Claim : std::uint8_t { Live, Leaving, Refused, ProbeFailed };

// A claim that is spread with heartbeats and digests. `age` is in seconds; sending an age rather
// than a time avoids comparing clocks.
struct GossipUpdate
{
    std::string subject;
    Claim claim = Claim::Live;
    std::uint16_t age = 0;
    std::string observer;  // the entry host that made the claim

    friend bool operator==(const GossipUpdate &, const GossipUpdate &) = default;
};

// Sent each second to every peer of the own zone. `incarnation` differs between starts of the
// process and has no order; `heard` lists the peers of the zone that the sender recently heard
// from.
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

// Sent each second to one peer of each other zone that the sender is responsible for. `live` lists
// the live entry hosts of the sender's zone, including the sender.
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

// Encodes a message as a MessagePack array. In a fleet of 15 zones of 8 entry hosts, a heartbeat
// takes about 80 bytes, a digest about 85, and a gossip update 4 bytes plus its names.
std::vector<std::uint8_t> encode(const Heartbeat &heartbeat);
std::vector<std::uint8_t> encode(const Digest &digest);

// Decodes a message. Malformed input and lists longer than maxListLength result in a failure.
Result<Heartbeat> decodeHeartbeat(std::span<const std::uint8_t> bytes);
Result<Digest> decodeDigest(std::span<const std::uint8_t> bytes);

inline constexpr std::size_t maxListLength = 256;
// Gossip updates in one message. The loss of a rack affects 4 hosts and about 12 endpoints, so two
// heartbeats carry all its updates.
inline constexpr std::size_t maxGossipUpdates = 8;

}  // namespace poplarstream::membership
