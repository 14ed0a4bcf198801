#include "poplarstream/maintenance/wave_step.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for any_of, lower_bound, max
#include <map>  // for map
#include <set>  // for set

#include "absence_step.hpp"  // for stepAbsence
#include "candidates.hpp"  // for CandidateSelector, absenceNeeds, isInWindow, expectedDuration
#include "loans.hpp"  // for chooseLoans

namespace poplarstream::maintenance {
namespace {

const HostObservation *findObservation(std::span<const HostObservation> observations,
                                       const HostId &host)
{
    const auto it = std::lower_bound(
            observations.begin(), observations.end(), host,
            [](const HostObservation &entry, const HostId &id) { return entry.host < id; });
    return it != observations.end() && it->host == host ? &*it : nullptr;
}

bool isUnresponsive(const StepInput &input, const HostObservation *observation)
{
    return observation != nullptr && observation->unansweredSince
           && input.now - *observation->unansweredSince >= input.fleet.policy.failureTimeout;
}

// Zones in which so many hosts are unresponsive that a fault of the observer is more likely. The
// loss of a whole zone is handled by ZoneReachability; that of a rack or a few hosts is not.
std::set<ZoneId> unreliableZones(const StepInput &input)
{
    struct Count
    {
        std::size_t all = 0;
        std::size_t unresponsive = 0;
    };
    std::map<ZoneId, Count> counts;
    for (const HostView &host : input.fleet.hosts) {
        Count &count = counts[host.zone];
        ++count.all;
        count.unresponsive +=
                isUnresponsive(input, findObservation(input.observations, host.id)) ? 1 : 0;
    }
    constexpr std::size_t smallOutageHosts = 4;
    std::set<ZoneId> zones;
    for (const auto &[zone, count] : counts) {
        if (count.unresponsive > std::max(smallOutageHosts, count.all / 2)) {
            zones.insert(zone);
        }
    }
    return zones;
}

void stepInService(const StepInput &input, const HostView &host, const HostObservation *observation,
                   bool mayPropose, const std::set<ZoneId> &unreliable, StepOutput &output)
{
    if (observation == nullptr) {
        return;
    }
    if (isUnresponsive(input, observation) && mayPropose && !unreliable.contains(host.zone)) {
        output.proposals.emplace_back(HostHealth{
                host.id, true,
                fmt::format("no answer for {} s",
                            (input.now - *observation->unansweredSince).count() / 1000)});
    } else if (observation->isDraining && observation->grant == 0 && input.holdsLease) {
        // The effect of a delayed or repeated drain command for an absence that has ended.
        output.commands.push_back({CommandKind::Undrain, host.id, observation->hostGrant});
    }
}

std::string requestReason(const FleetView &view, const BudgetUsage &usage, const AbsenceNeed &need,
                          std::size_t host)
{
    const std::size_t pool = usage.poolOf(host);
    return fmt::format("{}{}; longest expected absence first, {} s; {} of {} away in pool {}",
                       need.isLoanReturn ? "return of a loan" : "wave",
                       need.isShared ? ", one absence for several waves" : "",
                       need.duration.count() / 1000, usage.awayInPool(pool) + 1,
                       view.pools[pool].maxAway, view.pools[pool].id.text());
}

PoolId targetId(const FleetView &view, std::size_t target)
{
    return target == BudgetUsage::noPool ? PoolId() : view.pools[target].id;
}

// Counts hosts that this step reports as failed as away for the requests of the same step.
void markFailedAway(const StepInput &input, const StepOutput &output, BudgetUsage &usage)
{
    for (const ControlBody &body : output.proposals) {
        const auto *health = std::get_if<HostHealth>(&body);
        if (health == nullptr || !health->failed) {
            continue;
        }
        const auto it = std::lower_bound(
                input.fleet.hosts.begin(), input.fleet.hosts.end(), health->host,
                [](const HostView &host, const HostId &id) { return host.id < id; });
        const auto index = static_cast<std::size_t>(it - input.fleet.hosts.begin());
        if (!usage.isAway(index)) {
            usage.markAway(index, BudgetUsage::noPool);
        }
    }
}

void requestLoans(const StepInput &input, const std::vector<std::optional<AbsenceNeed>> &needs,
                  BudgetUsage &usage, StepOutput &output)
{
    const FleetView &view = input.fleet;
    if (!view.mayLend) {
        return;
    }
    usage.useSustainedDemand(true);
    const std::vector<LoanChoice> loans = chooseLoans(view, usage, needs);
    usage.useSustainedDemand(false);
    for (const LoanChoice &loan : loans) {
        const Milliseconds duration =
                expectedDuration(view.hosts[loan.host], loan.kind, view.policy);
        if (!isInWindow(view.waves[loan.wave].window, input.now, duration)
            || usage.refusal(loan.host, loan.target) != Refusal::None) {
            continue;
        }
        usage.markAway(loan.host, loan.target);
        output.proposals.emplace_back(AbsenceRequest{
                view.hosts[loan.host].id, loan.kind, view.pools[loan.target].id,
                view.waves[loan.wave].id,
                fmt::format("lent to pool {}, whose demand leaves less room than its budget",
                            view.pools[loan.target].id.text())});
    }
}

// Adds one note for each pool and refusal due to demand or missing rack headroom. A budget that is
// fully used is normal during a wave and needs no explanation.
void explainRefusals(const FleetView &view, const BudgetUsage &usage,
                     const std::vector<std::optional<AbsenceNeed>> &needs, StepOutput &output)
{
    std::set<std::pair<std::size_t, Refusal>> explained;
    for (std::size_t i = 0; i < needs.size(); ++i) {
        if (!needs[i] || usage.isAway(i)) {
            continue;
        }
        const Refusal refusal = usage.refusal(i, needs[i]->target);
        const bool isNotable = refusal == Refusal::Demand || refusal == Refusal::RackHeadroom
                               || refusal == Refusal::TargetHeadroom;
        if (isNotable && explained.emplace(usage.poolOf(i), refusal).second) {
            output.notes.push_back(
                    {view.pools[usage.poolOf(i)].id.text(), std::string(refusalText(refusal))});
        }
    }
}

void requestAbsences(const StepInput &input, StepOutput &output)
{
    const FleetView &view = input.fleet;
    BudgetUsage usage(view, input.inFlight, false);
    markFailedAway(input, output, usage);
    const std::vector<std::optional<AbsenceNeed>> needs = absenceNeeds(view, usage, input.now);
    requestLoans(input, needs, usage, output);
    CandidateSelector selector(view, usage, needs);
    for (std::uint32_t i = 0; i < view.policy.maxRequestsPerStep; ++i) {
        const auto host = selector.next(input.now);
        if (!host) {
            break;
        }
        const AbsenceNeed &need = *needs[*host];
        // The request that returns a loan names no wave: requests for a wave that is stopped or
        // removed are refused.
        const WaveId wave = need.isLoanReturn ? WaveId() : view.waves[need.wave].id;
        output.proposals.emplace_back(AbsenceRequest{view.hosts[*host].id, need.kind,
                                                     targetId(view, need.target), wave,
                                                     requestReason(view, usage, need, *host)});
        selector.remove(*host);
        usage.markAway(*host, need.target);
        selector.invalidate(usage.poolOf(*host));
        if (need.target != BudgetUsage::noPool) {
            selector.invalidate(need.target);
        }
    }
    explainRefusals(view, usage, needs, output);
}

// Between waves, a step should cost no more than a check of each host.
bool hasWork(const FleetView &view)
{
    return std::any_of(view.waves.begin(), view.waves.end(), [](const WaveView &wave) {
        return wave.state == WaveState::Running || !wave.loans.empty();
    });
}

}  // namespace

StepOutput stepWaves(const StepInput &input)
{
    StepOutput output;
    if (!input.holdsLease && input.isLogAvailable) {
        return output;
    }
    std::set<HostId> inFlight;
    for (const InFlight &entry : input.inFlight) {
        inFlight.insert(entry.host);
    }
    const std::set<ZoneId> unreliable = unreliableZones(input);
    const bool mayPropose = input.holdsLease && input.isLogAvailable;
    for (const HostView &host : input.fleet.hosts) {
        if (host.isZoneLost) {
            continue;
        }
        const HostObservation *observation = findObservation(input.observations, host.id);
        const bool isInFlight = inFlight.contains(host.id);
        if (host.state == HostState::InService) {
            stepInService(input, host, observation, mayPropose && !isInFlight, unreliable, output);
        } else {
            stepAbsence(input, host, observation, isInFlight, output);
        }
    }
    if (mayPropose && hasWork(input.fleet)) {
        requestAbsences(input, output);
    }
    return output;
}

}  // namespace poplarstream::maintenance
