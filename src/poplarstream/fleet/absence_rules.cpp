#include <algorithm>  // for max
#include <map>  // for map
#include <string>  // for string
#include <utility>  // for pair

#include <fmt/format.h>  // for format

#include "poplarstream/fleet/queries.hpp"  // for absenceRefusal, budgetOf

namespace poplarstream {
namespace {

constexpr std::int64_t dayMilliseconds = 24 * 3600 * 1000;

bool isInWindow(const WaveWindow &window, TimePoint time)
{
    const std::int64_t inDay =
            (millisecondsSinceEpoch(time) % dayMilliseconds + dayMilliseconds) % dayMilliseconds;
    const auto second = static_cast<std::uint32_t>(inDay / 1000);
    if (window.start < window.end) {
        return second >= window.start && second < window.end;
    }
    return second >= window.start || second < window.end;
}

std::string waveRefusal(const FleetState &state, const WaveId &id, TimePoint time)
{
    if (id.isEmpty()) {
        return {};
    }
    const WaveConfig *wave = state.configuration->waves.find(id);
    if (!wave) {
        return fmt::format("wave {} is not configured", id.text());
    }
    if (wave->state != WaveState::Running) {
        return fmt::format("wave {} is {}", id.text(),
                           wave->state == WaveState::Stopped ? "stopped" : "withdrawn");
    }
    if (wave->window && !isInWindow(*wave->window, time)) {
        return fmt::format("the time is outside the window of wave {}", id.text());
    }
    return {};
}

std::string targetRefusal(const FleetState &state, const AbsenceRequest &request,
                          const PoolId &present)
{
    if (request.kind == AbsenceKind::Reboot) {
        return request.target.isEmpty() ? "" : "a reboot has no target pool";
    }
    if (!state.configuration->pools.contains(request.target)) {
        return fmt::format("target pool '{}' is not configured", request.target.text());
    }
    return request.target == present ? fmt::format("the host is in pool {} already", present.text())
                                     : "";
}

// Returns the largest number of hosts of the pool that are in service in one rack, not counting
// `leaving`, and the name of that rack. A host without a rack counts as a rack of its own.
std::pair<std::uint32_t, std::string> largestRack(const FleetState &state, const PoolId &pool,
                                                  const FleetHost &leaving)
{
    std::map<RackId, std::uint32_t> racks;
    std::pair<std::uint32_t, std::string> largest;
    for (const auto &[id, host] : state.hosts) {
        if (&host == &leaving || host.config->pool != pool || isAway(state, host)) {
            continue;
        }
        const RackId &rack = host.config->rack;
        const std::uint32_t size = rack.isEmpty() ? 1 : ++racks[rack];
        if (size > largest.first) {
            largest = {size, rack.isEmpty() ? "host " + id.text() : "rack " + rack.text()};
        }
    }
    return largest;
}

// Checks that the pool allows one more host away: `leaving` itself, or its arrival by a move.
std::string budgetRefusal(const FleetState &state, const PoolId &pool, const FleetHost &leaving)
{
    const auto budget = budgetOf(state, pool);
    if (!budget) {
        return fmt::format("pool '{}' is not configured", pool.text());
    }
    if (budget->remaining == 0) {
        return fmt::format("{} hosts of pool {} are away and {} are moving in; {} may be away",
                           budget->away, pool.text(), budget->incoming, budget->maxAway);
    }
    if (!state.configuration->fleet.rackHeadroom) {
        return {};
    }
    const auto [size, name] = largestRack(state, pool, leaving);
    if (size > budget->remaining - 1) {
        return fmt::format("the loss of {} would take {} more hosts of pool {}, and room for {} "
                           "would remain",
                           name, size, pool.text(), budget->remaining - 1);
    }
    return {};
}

}  // namespace

std::string absenceRefusal(const FleetState &state, const AbsenceRequest &request,
                           TimePoint logTime)
{
    const auto it = state.hosts.find(request.host);
    if (it == state.hosts.end()) {
        return "the host is not configured";
    }
    const FleetHost &host = it->second;
    if (host.absence || !next(host.state, HostEvent::Granted)) {
        return fmt::format("the host is {}", hostStateText(host.state));
    }
    if (state.lostZones.contains(host.config->zone)) {
        return fmt::format("zone {} is lost", host.config->zone.text());
    }
    if (std::string refusal = waveRefusal(state, request.wave, logTime); !refusal.empty()) {
        return refusal;
    }
    if (std::string refusal = targetRefusal(state, request, host.config->pool); !refusal.empty()) {
        return refusal;
    }
    if (std::string refusal = budgetRefusal(state, host.config->pool, host); !refusal.empty()) {
        return refusal;
    }
    return request.kind == AbsenceKind::Reboot ? "" : budgetRefusal(state, request.target, host);
}

}  // namespace poplarstream
