#include "poplarstream/maintenance/wave_step.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for any_of, lower_bound, max
#include <map>  // for map
#include <set>  // for set

#include "absence_step.hpp"  // for stepAbsence
#include "candidates.hpp"  // for Selector, needsOf, isInWindow, expectedDuration
#include "loans.hpp"  // for chooseLoans

namespace poplarstream::maintenance {
namespace {

const HostObservation *find(std::span<const HostObservation> observations, const HostId &host)
{
    const auto it = std::lower_bound(
            observations.begin(), observations.end(), host,
            [](const HostObservation &entry, const HostId &id) { return entry.host < id; });
    return it != observations.end() && it->host == host ? &*it : nullptr;
}

bool isSilent(const StepInput &input, const HostObservation *seen)
{
    return seen != nullptr && seen->unansweredSince
           && input.now - *seen->unansweredSince >= input.fleet.policy.failAfter;
}

// Zones in which so many hosts are silent that the observer is the likelier fault. A whole zone is
// the matter of ZoneReachability; a rack or a handful of hosts is not.
std::set<ZoneId> doubtfulZones(const StepInput &input)
{
    struct Count
    {
        std::size_t all = 0;
        std::size_t silent = 0;
    };
    std::map<ZoneId, Count> counts;
    for (const HostView &host : input.fleet.hosts) {
        Count &count = counts[host.zone];
        ++count.all;
        count.silent += isSilent(input, find(input.observations, host.id)) ? 1 : 0;
    }
    constexpr std::size_t handful = 4;
    std::set<ZoneId> zones;
    for (const auto &[zone, count] : counts) {
        if (count.silent > std::max(handful, count.all / 2)) {
            zones.insert(zone);
        }
    }
    return zones;
}

void stepInService(const StepInput &input, const HostView &host, const HostObservation *seen,
                   bool mayPropose, const std::set<ZoneId> &doubtful, StepOutput &output)
{
    if (seen == nullptr) {
        return;
    }
    if (isSilent(input, seen) && mayPropose && !doubtful.contains(host.zone)) {
        output.proposals.emplace_back(
                HostHealth{host.id, true,
                           fmt::format("no answer for {} s",
                                       (input.now - *seen->unansweredSince).count() / 1000)});
    } else if (seen->isDraining && seen->grant == 0 && input.holdsLease) {
        // A delayed or repeated drain of an absence that has ended.
        output.commands.push_back({CommandKind::Undrain, host.id, seen->hostGrant});
    }
}

std::string reasonOf(const FleetView &view, const BudgetUsage &tally, const Need &need,
                     std::size_t host)
{
    const std::size_t pool = tally.poolOf(host);
    return fmt::format("{}{}; longest expected absence first, {} s; {} of {} away in pool {}",
                       need.isLoanReturn ? "return of a loan" : "wave",
                       need.isShared ? ", one absence for several waves" : "",
                       need.duration.count() / 1000, tally.awayInPool(pool) + 1,
                       view.pools[pool].maxAway, view.pools[pool].id.text());
}

PoolId targetId(const FleetView &view, std::size_t target)
{
    return target == BudgetUsage::noPool ? PoolId() : view.pools[target].id;
}

// Hosts that this step reports as failed are away for the requests of the same step.
void takeFailuresAway(const StepInput &input, const StepOutput &output, BudgetUsage &tally)
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
        if (!tally.isAway(index)) {
            tally.leave(index, BudgetUsage::noPool);
        }
    }
}

void requestLoans(const StepInput &input, const std::vector<std::optional<Need>> &needs,
                  BudgetUsage &tally, StepOutput &output)
{
    const FleetView &view = input.fleet;
    if (!view.mayLend) {
        return;
    }
    tally.useSustainedDemand(true);
    const std::vector<LoanChoice> loans = chooseLoans(view, tally, needs);
    tally.useSustainedDemand(false);
    for (const LoanChoice &loan : loans) {
        const Milliseconds duration =
                expectedDuration(view.hosts[loan.host], loan.kind, view.policy);
        if (!isInWindow(view.waves[loan.wave].window, input.now, duration)
            || tally.refusal(loan.host, loan.target) != Refusal::None) {
            continue;
        }
        tally.leave(loan.host, loan.target);
        output.proposals.emplace_back(AbsenceRequest{
                view.hosts[loan.host].id, loan.kind, view.pools[loan.target].id,
                view.waves[loan.wave].id,
                fmt::format("lent to pool {}, whose demand leaves less room than its budget",
                            view.pools[loan.target].id.text())});
    }
}

// One note for each pool and refusal that only the demand or a missing rack headroom explains; a
// budget that is in use is the normal course of a wave.
void noteHeldBack(const FleetView &view, const BudgetUsage &tally,
                  const std::vector<std::optional<Need>> &needs, StepOutput &output)
{
    std::set<std::pair<std::size_t, Refusal>> noted;
    for (std::size_t i = 0; i < needs.size(); ++i) {
        if (!needs[i] || tally.isAway(i)) {
            continue;
        }
        const Refusal refusal = tally.refusal(i, needs[i]->target);
        const bool isNotable = refusal == Refusal::Demand || refusal == Refusal::RackHeadroom
                               || refusal == Refusal::TargetHeadroom;
        if (isNotable && noted.emplace(tally.poolOf(i), refusal).second) {
            output.notes.push_back(
                    {view.pools[tally.poolOf(i)].id.text(), std::string(refusalText(refusal))});
        }
    }
}

void requestAbsences(const StepInput &input, StepOutput &output)
{
    const FleetView &view = input.fleet;
    BudgetUsage tally(view, input.inFlight, false);
    takeFailuresAway(input, output, tally);
    const std::vector<std::optional<Need>> needs = needsOf(view, tally, input.now);
    requestLoans(input, needs, tally, output);
    Selector selector(view, tally, needs);
    for (std::uint32_t i = 0; i < view.policy.maxRequestsPerStep; ++i) {
        const auto host = selector.next(input.now);
        if (!host) {
            break;
        }
        const Need &need = *needs[*host];
        // A loan is returned without naming its wave, which may be closed or gone: requests of such
        // a wave are refused.
        const WaveId wave = need.isLoanReturn ? WaveId() : view.waves[need.wave].id;
        output.proposals.emplace_back(AbsenceRequest{view.hosts[*host].id, need.kind,
                                                     targetId(view, need.target), wave,
                                                     reasonOf(view, tally, need, *host)});
        selector.take(*host);
        tally.leave(*host, need.target);
        selector.changed(tally.poolOf(*host));
        if (need.target != BudgetUsage::noPool) {
            selector.changed(need.target);
        }
    }
    noteHeldBack(view, tally, needs, output);
}

// Between waves a step costs no more than a look at each host.
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
    const std::set<ZoneId> doubtful = doubtfulZones(input);
    const bool mayPropose = input.holdsLease && input.isLogAvailable;
    for (const HostView &host : input.fleet.hosts) {
        if (host.isZoneLost) {
            continue;
        }
        const HostObservation *seen = find(input.observations, host.id);
        const bool isInFlight = inFlight.contains(host.id);
        if (host.state == HostState::InService) {
            stepInService(input, host, seen, mayPropose && !isInFlight, doubtful, output);
        } else {
            stepAbsence(input, host, seen, isInFlight, output);
        }
    }
    if (mayPropose && hasWork(input.fleet)) {
        requestAbsences(input, output);
    }
    return output;
}

}  // namespace poplarstream::maintenance
