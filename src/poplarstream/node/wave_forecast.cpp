#include "poplarstream/node/wave_forecast.hpp"

#include <algorithm>  // for sort, max

#include "poplarstream/config/edits.hpp"  // for difference
#include "poplarstream/fleet/queries.hpp"  // for budgetOf
#include "poplarstream/fleet/replay.hpp"  // for apply
#include "poplarstream/maintenance/wave_plan.hpp"  // for planWaves

namespace poplarstream {

namespace {

// A host of the pool leaves (+1) or returns (-1). At equal times, returns sort first.
struct AwayChange
{
    TimePoint time;
    PoolId pool;
    int change = 0;
};

Milliseconds expectedAbsence(AbsenceKind kind, const maintenance::Policy &policy)
{
    return (maintenance::hasReboot(kind) ? policy.rebootTime : Milliseconds{0})
           + (maintenance::hasMove(kind) ? policy.moveTime : Milliseconds{0});
}

// As in the absence budget, a moving host counts against its current pool and its target pool.
void addAwayChanges(std::vector<AwayChange> &changes, const PoolId &pool, const PoolId &target,
                    TimePoint start, TimePoint end)
{
    for (const PoolId &counted : {pool, target}) {
        if (!counted.isEmpty()) {
            changes.push_back({start, counted, 1});
            changes.push_back({end, counted, -1});
        }
    }
}

std::vector<AwayChange> awayChanges(const maintenance::FleetView &view,
                                    const maintenance::WavePlan &plan, TimePoint now)
{
    std::vector<AwayChange> changes;
    std::map<HostId, PoolId> pools;
    for (const maintenance::HostView &host : view.hosts) {
        pools.emplace(host.id, host.pool);
        const bool isBackSoon =
                host.grant && host.state != maintenance::HostState::Failed && !host.isZoneLost;
        if (isBackSoon) {
            const TimePoint end = std::max(
                    now, host.grant->since + expectedAbsence(host.grant->kind, view.policy));
            addAwayChanges(changes, host.pool,
                           host.grant->target == host.pool ? PoolId() : host.grant->target, now,
                           end);
        } else if (host.state != maintenance::HostState::InService || host.isZoneLost) {
            changes.push_back({now, host.pool, 1});
        }
    }
    for (const maintenance::PlannedAbsence &absence : plan.absences) {
        addAwayChanges(changes, pools[absence.host], absence.target, absence.start, absence.end);
    }
    std::sort(changes.begin(), changes.end(), [](const AwayChange &a, const AwayChange &b) {
        return a.time != b.time ? a.time < b.time : a.change < b.change;
    });
    return changes;
}

std::map<PoolId, std::uint32_t> mostAway(const std::vector<AwayChange> &changes)
{
    std::map<PoolId, int> away;
    std::map<PoolId, std::uint32_t> most;
    for (const AwayChange &awayChange : changes) {
        int &count = away[awayChange.pool];
        count += awayChange.change;
        most[awayChange.pool] =
                std::max(most[awayChange.pool], static_cast<std::uint32_t>(std::max(0, count)));
    }
    return most;
}

// Applies the change that leads to the document. Returns the reason for a refusal, or an empty
// text.
std::string applyDocument(FleetState &state, const ConfigDocument &document, TimePoint logTime)
{
    ConfigChange change{state.version, "forecast", difference(state.document, document)};
    if (change.edits.empty()) {
        return {};
    }
    Logged<ControlRecord> logged;
    logged.offset = state.next;
    logged.time = logTime;
    logged.record.header = {RecordId("forecast"), EntryHostId("forecast")};
    logged.record.body = std::move(change);
    const ControlOutcome outcome = apply(state, logged);
    return outcome.granted ? std::string() : outcome.reason;
}

}  // namespace

console::Forecast forecastWaves(const FleetState &state, const ConfigDocument &document,
                                const PoolDemands &demands, const maintenance::Policy &policy,
                                TimePoint logTime)
{
    console::Forecast forecast;
    FleetState target = state;
    forecast.refusal = applyDocument(target, document, logTime);
    if (!forecast.refusal.empty()) {
        return forecast;
    }
    const maintenance::FleetView view = makeWaveView(target, demands, policy);
    const maintenance::WavePlan plan = maintenance::planWaves(view, logTime);
    const auto most = mostAway(awayChanges(view, plan, logTime));
    for (const PoolConfig &pool : target.configuration->pools) {
        const auto found = most.find(pool.id);
        const auto budget = budgetOf(target, pool.id);
        forecast.pools.push_back({pool.id, budget ? budget->hosts : 0, pool.maxAway,
                                  found != most.end() ? found->second : 0});
    }
    for (const maintenance::BlockedHost &blocked : plan.blocked) {
        forecast.blocked.push_back(
                {blocked.host, std::string(maintenance::refusalText(blocked.refusal))});
    }
    forecast.rollout = plan.rollout;
    forecast.absences = static_cast<std::uint32_t>(plan.absences.size());
    forecast.moves = plan.moves;
    return forecast;
}

}  // namespace poplarstream
