#include <fmt/format.h>  // for format

#include "poplarstream/fleet/pool_usage.hpp"  // for recomputePoolUsage
#include "poplarstream/fleet/queries.hpp"  // for leaseHolder
#include "poplarstream/fleet/steps.hpp"  // for applyStep

namespace poplarstream {
namespace {

// The most leases held at a time. Expired leases are erased when this number is reached.
constexpr std::size_t maxLeases = 256;

void eraseExpiredLeases(FleetState &state)
{
    std::erase_if(state.leases,
                  [&](const auto &lease) { return lease.second.expires <= state.time; });
}

}  // namespace

ControlOutcome applyStep(FleetState &state, const LogPosition &position, const LeaderLease &lease)
{
    if (lease.duration < Milliseconds{0} || lease.duration > maxLeaseDuration) {
        return {false, fmt::format("a lease lasts at most {} ms", maxLeaseDuration.count())};
    }
    if (lease.duty.text().size() > maxStoredTextBytes
        || lease.holder.text().size() > maxStoredTextBytes) {
        return {false, fmt::format("the names of a duty and its holder have at most {} bytes",
                                   maxStoredTextBytes)};
    }
    const auto current = leaseHolder(state, lease.duty, position.time);
    if (current && current->holder != lease.holder) {
        return {false, fmt::format("{} holds the duty for another {} ms", current->holder.text(),
                                   (current->expires - position.time).count())};
    }
    if (lease.duration == Milliseconds{0}) {
        state.leases.erase(lease.duty);
        return {current.has_value(), current ? "" : "nobody holds the duty"};
    }
    if (!current && state.leases.size() >= maxLeases) {
        eraseExpiredLeases(state);
        if (state.leases.size() >= maxLeases) {
            return {false, fmt::format("{} duties are held already", maxLeases)};
        }
    }
    state.leases[lease.duty] = {lease.holder, current ? current->token : position.offset,
                                position.time + lease.duration};
    return {true, ""};
}

ControlOutcome applyStep(FleetState &state, const LogPosition & /*position*/,
                         const ZoneReachability &zone)
{
    if (!state.configuration->zones.contains(zone.zone)) {
        return {false, fmt::format("zone '{}' is not configured", zone.zone.text())};
    }
    if (state.lostZones.contains(zone.zone) == zone.lost) {
        return {false, zone.lost ? "the zone is lost already" : "the zone is not lost"};
    }
    if (zone.lost) {
        state.lostZones.insert(zone.zone);
    } else {
        state.lostZones.erase(zone.zone);
    }
    recomputePoolUsage(state);
    return {true, ""};
}

ControlOutcome applyStep(FleetState & /*state*/, const LogPosition & /*position*/,
                         const SnapshotPart & /*part*/)
{
    return {true, ""};
}

}  // namespace poplarstream
