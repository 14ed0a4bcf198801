#include "poplarstream/config/schema.hpp"

#include <algorithm>  // for find
#include <array>  // for array

namespace poplarstream {
namespace {

using Keys = std::span<const std::string_view>;

constexpr std::array<std::string_view, 5> fleetKeys = {"name", "weight_rollout", "weight_moves",
                                                       "weight_flood", "rack_headroom"};
constexpr std::array<std::string_view, 1> zoneKeys = {"region"};
constexpr std::array<std::string_view, 1> rackKeys = {"zone"};
constexpr std::array<std::string_view, 3> poolKeys = {"services", "max_away", "spare"};
constexpr std::array<std::string_view, 7> serviceKeys = {
        "class", "idempotent", "deadline_ms", "cpus", "memory_mb", "accelerators", "run_seconds"};
constexpr std::array<std::string_view, 3> tenantKeys = {"weight", "quota", "token"};
constexpr std::array<std::string_view, 10> hostKeys = {
        "zone",         "rack",   "pool",    "cpus",  "memory_mb",
        "accelerators", "worker", "minions", "slots", "connections"};
constexpr std::array<std::string_view, 6> waveKeys = {"pools", "action",       "target",
                                                      "state", "window_start", "window_end"};
constexpr std::array<std::string_view, 3> entryHostKeys = {"id", "zone", "region"};
constexpr std::array<std::string_view, 3> listenKeys = {"callers", "operators", "peers"};
constexpr std::array<std::string_view, 1> platformKeys = {"address"};
constexpr std::array<std::string_view, 5> limitKeys = {"connections", "queue", "body_bytes",
                                                       "leaving_ms", "drain_ms"};
constexpr std::array<std::string_view, 1> tokenKeys = {"operators"};

struct KindRow
{
    std::string_view text;
    Keys keys;
};

const std::array<KindRow, sectionKindCount> kinds = {{
        {"fleet", fleetKeys},
        {"zone", zoneKeys},
        {"rack", rackKeys},
        {"pool", poolKeys},
        {"service", serviceKeys},
        {"tenant", tenantKeys},
        {"host", hostKeys},
        {"wave", waveKeys},
        {"entry-host", entryHostKeys},
        {"listen", listenKeys},
        {"platform", platformKeys},
        {"peers", {}},
        {"limits", limitKeys},
        {"tokens", tokenKeys},
}};

}  // namespace

std::optional<SectionKind> sectionKind(std::string_view text)
{
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        if (kinds[i].text == text) {
            return static_cast<SectionKind>(i);
        }
    }
    return std::nullopt;
}

std::string_view sectionKindText(SectionKind kind)
{
    return kinds[static_cast<std::size_t>(kind)].text;
}

Keys keysOf(SectionKind kind)
{
    return kinds[static_cast<std::size_t>(kind)].keys;
}

int keyRank(std::string_view kind, std::string_view key)
{
    const auto known = sectionKind(kind);
    const Keys keys = known ? keysOf(*known) : Keys{};
    return static_cast<int>(std::find(keys.begin(), keys.end(), key) - keys.begin());
}

}  // namespace poplarstream
