#include "poplarstream/node/worker_table.hpp"

#include <algorithm>  // for sort, binary_search

#include "poplarstream/base/rendezvous.hpp"  // for rendezvousOwner

namespace poplarstream {

namespace {

WorkerCondition conditionOf(const FleetState &fleet, const FleetHost &host)
{
    if (fleet.lostZones.contains(host.config->zone)) {
        return WorkerCondition::Away;
    }
    switch (host.state) {
    case HostState::InService:
        return host.quarantined ? WorkerCondition::Quarantined : WorkerCondition::Usable;
    case HostState::Draining:
        return WorkerCondition::Draining;
    case HostState::Away:
    case HostState::Returning:
    case HostState::Failed:
        break;
    }
    return WorkerCondition::Away;
}

std::vector<ServiceId> servicesOf(const Configuration &configuration, const PoolId &pool)
{
    const PoolConfig *found = configuration.pools.find(pool);
    std::vector<ServiceId> services = found != nullptr ? found->services : std::vector<ServiceId>{};
    std::sort(services.begin(), services.end());
    return services;
}

Resources capacityOf(const HostConfig &host)
{
    return {host.cpus, host.memoryMegabytes, host.accelerators};
}

// Claimed and absent hosts are polled more often than the rest of the share. No period means that
// this entry host does not poll the host.
std::optional<Milliseconds> pollPeriod(const PollInput &input, const PollPolicy &policy,
                                       const HostId &id, const FleetHost &host)
{
    const bool isAbsent = host.absence || host.state != HostState::InService;
    if (input.drivesWaves && isAbsent) {
        return policy.absencePeriod;
    }
    if (std::binary_search(input.claimed.begin(), input.claimed.end(), id)) {
        return policy.claimPeriod;
    }
    const bool isInZone = host.config->zone == input.zone;
    if (isInZone
        && (input.zoneWorkers <= policy.pollAllUpTo || isInOwnShare(input, id, input.zone))) {
        return policy.sharePeriod;
    }
    return std::nullopt;
}

}  // namespace

void recordStatus(WorkerTable &table, const WorkerStatus &status, TimePoint now)
{
    WorkerEntry &entry = table.entries[status.host];
    if (!status.hasResponded) {
        if (!entry.unansweredSince) {
            entry.unansweredSince = now;
        }
        entry.lastFailedGrant = status.pollGrant;
        entry.areMinionsHealthy = false;
        return;
    }
    if (entry.last && entry.last->usage && status.usage
        && entry.last->usage->at != status.usage->at) {
        entry.previousUsage = entry.last->usage;
    }
    if (entry.last && entry.last->boot != status.boot) {
        entry.previousUsage.reset();
    }
    entry.unansweredSince.reset();
    entry.lastHeard = now;
    if (status.areMinionsHealthy) {
        entry.areMinionsHealthy = *status.areMinionsHealthy;
    }
    entry.last = status;
}

void removeUnknownHosts(WorkerTable &table, const FleetState &fleet)
{
    std::erase_if(table.entries,
                  [&](const auto &entry) { return !fleet.hosts.contains(entry.first); });
}

bool isInOwnShare(const PollInput &input, const HostId &host, const ZoneId &hostZone)
{
    if (hostZone != input.zone || input.zonePeers.empty()) {
        return false;
    }
    const std::span<const EntryHostId> peers(input.zonePeers);
    return input.zonePeers[rendezvousOwner(host.text(), peers)] == input.self;
}

std::vector<WorkerPoll> collectDuePolls(WorkerTable &table, const PollInput &input,
                                        const PollPolicy &policy, TimePoint now)
{
    std::vector<std::pair<TimePoint, HostId>> due;
    for (const auto &[id, host] : input.fleet.hosts) {
        const std::optional<Milliseconds> period = pollPeriod(input, policy, id, host);
        if (!period) {
            continue;
        }
        const WorkerEntry &entry = table.entries[id];
        const TimePoint last = entry.lastPolled.value_or(TimePoint{});
        if (now - last >= *period) {
            due.emplace_back(last, id);
        }
    }
    std::sort(due.begin(), due.end());
    std::vector<WorkerPoll> polls;
    for (const auto &[last, id] : due) {
        if (polls.size() == policy.maxPollsPerTick) {
            break;
        }
        table.entries[id].lastPolled = now;
        const FleetHost &host = input.fleet.hosts.at(id);
        const bool isAbsent = host.state != HostState::InService || host.absence;
        polls.push_back({id, isAbsent, host.absence ? host.absence->grant : 0});
    }
    return polls;
}

void refreshRunsView(FleetView &view, const WorkerTable &table)
{
    for (WorkerView &worker : view.workers) {
        const auto entry = table.entries.find(worker.host);
        if (entry == table.entries.end()) {
            continue;
        }
        worker.lastHeard = entry->second.lastHeard;
        if (entry->second.last) {
            worker.boot = entry->second.last->boot;
            worker.usage = entry->second.last->usage;
        }
        worker.previousUsage = entry->second.previousUsage;
    }
}

FleetView makeRunsView(const WorkerTable &table, const FleetState &fleet, const ZoneId &zone)
{
    FleetView view;
    view.isComplete = fleet.version > 0;
    const Configuration &configuration = *fleet.configuration;
    std::map<std::pair<ZoneId, ServiceId>, Resources> largestCapacities;
    for (const auto &[id, host] : fleet.hosts) {
        std::vector<ServiceId> services = servicesOf(configuration, host.config->pool);
        if (host.config->zone != zone) {
            for (const ServiceId &service : services) {
                Resources &largest = largestCapacities[{host.config->zone, service}];
                const Resources capacity = capacityOf(*host.config);
                if (capacity.memoryMegabytes >= largest.memoryMegabytes) {
                    largest = capacity;
                }
            }
            continue;
        }
        WorkerView worker;
        worker.host = id;
        worker.rack = host.config->rack;
        worker.services = std::move(services);
        worker.capacity = capacityOf(*host.config);
        worker.condition = conditionOf(fleet, host);
        view.workers.push_back(std::move(worker));
    }
    for (const auto &[key, largest] : largestCapacities) {
        if (!fleet.lostZones.contains(key.first)) {
            view.otherZones.push_back({key.first, key.second, largest});
        }
    }
    for (const TenantConfig &tenant : configuration.tenants) {
        view.weights[tenant.id] = tenant.weight;
    }
    refreshRunsView(view, table);
    return view;
}

std::vector<maintenance::HostObservation>
makeObservations(const WorkerTable &table, const FleetState &fleet, Milliseconds toLogTime)
{
    std::vector<maintenance::HostObservation> observations;
    for (const auto &[id, entry] : table.entries) {
        const auto host = fleet.hosts.find(id);
        if (host == fleet.hosts.end() || (!entry.last && !entry.unansweredSince)) {
            continue;
        }
        maintenance::HostObservation observation;
        observation.host = id;
        if (entry.last) {
            const WorkerStatus &status = *entry.last;
            observation.grant = status.pollGrant;
            observation.hostGrant = status.grant;
            observation.undrainedGrant = status.undrained;
            observation.isDraining = status.mode != WorkerMode::InService;
            observation.isDrained = status.mode == WorkerMode::Drained;
            observation.hasRebooted =
                    status.pollGrant != 0 && status.rebootedFor == status.pollGrant;
            observation.hasProbeSucceeded = entry.areMinionsHealthy && !entry.unansweredSince;
        }
        if (entry.unansweredSince) {
            observation.unansweredSince = *entry.unansweredSince + toLogTime;
            if (entry.lastFailedGrant) {
                observation.grant = *entry.lastFailedGrant;
            }
        }
        observations.push_back(std::move(observation));
    }
    return observations;
}

}  // namespace poplarstream
