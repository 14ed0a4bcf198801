#include "poplarstream/node/wave_view.hpp"

#include <algorithm>  // for lower_bound

namespace poplarstream {

namespace {

maintenance::HostState hostState(HostState state)
{
    switch (state) {
    case HostState::InService:
        return maintenance::HostState::InService;
    case HostState::Draining:
        return maintenance::HostState::Draining;
    case HostState::Away:
        return maintenance::HostState::Away;
    case HostState::Returning:
        return maintenance::HostState::Returning;
    case HostState::Failed:
        break;
    }
    return maintenance::HostState::Failed;
}

maintenance::WaveState waveState(WaveState state)
{
    switch (state) {
    case WaveState::Running:
        return maintenance::WaveState::Running;
    case WaveState::Stopped:
        return maintenance::WaveState::Stopped;
    case WaveState::Withdrawn:
        break;
    }
    return maintenance::WaveState::Withdrawn;
}

maintenance::HostView hostView(const FleetState &state, const HostId &id, const FleetHost &host)
{
    maintenance::HostView view;
    view.id = id;
    view.pool = host.config->pool;
    view.zone = host.config->zone;
    view.rack = host.config->rack;
    view.state = hostState(host.state);
    if (host.state == HostState::Away && host.absence && !host.absence->departed) {
        view.state = maintenance::HostState::Drained;
    }
    view.stateSince = host.since;
    view.isZoneLost = state.lostZones.contains(host.config->zone);
    if (host.absence) {
        view.grant =
                maintenance::Grant{host.absence->grant, host.absence->kind, host.absence->target,
                                   host.absence->wave, host.absence->granted};
    }
    for (const Decision &decision : host.decisions) {
        if (decision.kind == DecisionKind::Abandoned && decision.granted) {
            view.lastAbandoned = decision.time;
        }
    }
    return view;
}

maintenance::WaveView waveView(const FleetState &state, const WaveConfig &wave)
{
    maintenance::WaveView view;
    view.id = wave.id;
    view.pools = wave.pools;
    view.action = wave.action;
    view.target = wave.target;
    view.state = waveState(wave.state);
    if (wave.window) {
        view.window = maintenance::DayWindow{Milliseconds{wave.window->start * 1000LL},
                                             Milliseconds{wave.window->end * 1000LL}};
    }
    if (const auto record = state.waves.find(wave.id); record != state.waves.end()) {
        view.done.assign(record->second.done.begin(), record->second.done.end());
    }
    return view;
}

// Finds the wave in the view. A wave that is no longer configured is added as withdrawn and without
// pools, because its loans must still be returned.
maintenance::WaveView &waveOf(std::vector<maintenance::WaveView> &waves, const WaveId &id)
{
    const auto at = std::lower_bound(
            waves.begin(), waves.end(), id,
            [](const maintenance::WaveView &wave, const WaveId &other) { return wave.id < other; });
    if (at != waves.end() && at->id == id) {
        return *at;
    }
    maintenance::WaveView removed;
    removed.id = id;
    removed.state = maintenance::WaveState::Withdrawn;
    return *waves.insert(at, std::move(removed));
}

void addLoans(const FleetState &state, std::vector<maintenance::WaveView> &waves)
{
    for (const auto &[id, host] : state.hosts) {
        if (host.loan) {
            waveOf(waves, host.loan->wave).loans.push_back({id, host.loan->from, host.loan->to});
        }
    }
}

}  // namespace

maintenance::FleetView makeWaveView(const FleetState &state, const PoolDemands &demands,
                                    const maintenance::Policy &policy)
{
    maintenance::FleetView view;
    const Configuration &configuration = *state.configuration;
    view.hosts.reserve(state.hosts.size());
    for (const auto &[id, host] : state.hosts) {
        view.hosts.push_back(hostView(state, id, host));
    }
    for (const PoolConfig &pool : configuration.pools) {
        view.pools.push_back({pool.id, pool.maxAway, pool.spare});
    }
    for (const WaveConfig &wave : configuration.waves) {
        view.waves.push_back(waveView(state, wave));
    }
    addLoans(state, view.waves);
    view.mayLend = true;
    view.weights = {configuration.fleet.weightRollout, configuration.fleet.weightMoves,
                    configuration.fleet.weightFlood};
    view.hasRackHeadroom = configuration.fleet.rackHeadroom;
    view.policy = policy;
    setDemands(view, demands);
    return view;
}

void setDemands(maintenance::FleetView &view, const PoolDemands &demands)
{
    for (maintenance::PoolView &pool : view.pools) {
        const auto demand = demands.find(pool.id);
        const PoolDemand poolDemand = demand != demands.end() ? demand->second : PoolDemand{};
        pool.demand = poolDemand.now;
        pool.sustainedDemand = poolDemand.sustained;
    }
}

}  // namespace poplarstream
