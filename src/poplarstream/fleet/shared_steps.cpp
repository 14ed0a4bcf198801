#include <fmt/format.h>  // for format

#include "poplarstream/fleet/pool_usage.hpp"  // for recount
#include "poplarstream/fleet/queries.hpp"  // for leaseHolder
#include "poplarstream/fleet/steps.hpp"  // for applyStep

namespace poplarstream {
namespace {

// Lapsed leases are forgotten beyond this number, and no more than this many are held at a time.
constexpr std::size_t mostDuties = 256;

void forgetLapsed(FleetState &state)
{
    std::erase_if(state.leases,
                  [&](const auto &duty) { return duty.second.expires <= state.time; });
}

}  // namespace

ControlOutcome applyStep(FleetState &state, const Position &at, const DutyLease &lease)
{
    if (lease.duration < Milliseconds{0} || lease.duration > longestLease) {
        return {false, fmt::format("a lease lasts at most {} ms", longestLease.count())};
    }
    if (lease.duty.text().size() > keptText || lease.holder.text().size() > keptText) {
        return {false,
                fmt::format("the names of a duty and its holder have at most {} bytes", keptText)};
    }
    const auto current = leaseHolder(state, lease.duty, at.time);
    if (current && current->holder != lease.holder) {
        return {false, fmt::format("{} holds the duty for another {} ms", current->holder.text(),
                                   (current->expires - at.time).count())};
    }
    if (lease.duration == Milliseconds{0}) {
        state.leases.erase(lease.duty);
        return {current.has_value(), current ? "" : "nobody holds the duty"};
    }
    if (!current && state.leases.size() >= mostDuties) {
        forgetLapsed(state);
        if (state.leases.size() >= mostDuties) {
            return {false, fmt::format("{} duties are held already", mostDuties)};
        }
    }
    state.leases[lease.duty] = {lease.holder, current ? current->token : at.offset,
                                at.time + lease.duration};
    return {true, ""};
}

ControlOutcome applyStep(FleetState &state, const Position & /*at*/, const ZoneReachability &zone)
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
    recount(state);
    return {true, ""};
}

ControlOutcome applyStep(FleetState & /*state*/, const Position & /*at*/,
                         const SnapshotPart & /*part*/)
{
    return {true, ""};
}

}  // namespace poplarstream
