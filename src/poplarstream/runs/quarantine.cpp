#include "poplarstream/runs/quarantine.hpp"

#include <algorithm>  // for min, max
#include <limits>  // for numeric_limits
#include <set>  // for set

#include <fmt/format.h>  // for format

namespace poplarstream {
namespace {

Milliseconds backoffDelay(Milliseconds delay, std::uint32_t doublings, Milliseconds longest)
{
    return doublings >= 20 ? longest : std::min(longest, Milliseconds{delay.count() << doublings});
}

// The number of workers on which each run failed, by the worker records.
std::map<std::uint64_t, std::uint32_t> countFailedWorkers(const RunsState &state)
{
    std::map<std::uint64_t, std::uint32_t> counts;
    for (const auto &[host, record] : state.workers) {
        std::set<std::uint64_t> failed;
        for (const AttemptOutcome &outcome : record.outcomes) {
            if (outcome.isFault) {
                failed.insert(outcome.run);
            }
        }
        for (const std::uint64_t run : failed) {
            ++counts[run];
        }
    }
    return counts;
}

struct Evidence
{
    std::set<std::uint64_t> runs;
    std::set<std::uint64_t> tenants;
};

// The faults since the last success, within the age limit. A run that also failed on two other
// workers is not counted: the fault is more likely in the run than in the worker.
Evidence collectEvidence(const RunsState &state, const WorkerHistory &record,
                         const std::map<std::uint64_t, std::uint32_t> &workers,
                         const RunPolicy &policy)
{
    Evidence evidence;
    for (auto outcome = record.outcomes.rbegin(); outcome != record.outcomes.rend(); ++outcome) {
        if (!outcome->isFault || outcome->at + policy.maxFaultAge < state.now) {
            break;
        }
        const auto count = workers.find(outcome->run);
        if (count == workers.end() || count->second < maxFailedAttempts) {
            evidence.runs.insert(outcome->run);
            evidence.tenants.insert(outcome->tenant);
        }
    }
    return evidence;
}

}  // namespace

Concurrency concurrencyLimit(const RunsState &state, const WorkerView &worker,
                             const RunPolicy &policy, std::uint32_t settledRuns)
{
    const bool isQuarantined = worker.condition == WorkerCondition::Quarantined;
    const auto found = state.workers.find(worker.host);
    if (found == state.workers.end()) {
        return {isQuarantined ? 1 : policy.unprovenWorkerRuns + 2 * settledRuns, isQuarantined};
    }
    const WorkerHistory &record = found->second;
    if (record.consecutiveFaults == 0) {
        return isQuarantined ? Concurrency{1, true}
                             : Concurrency{std::numeric_limits<std::uint32_t>::max(), false};
    }
    const std::uint32_t doublings = record.consecutiveFaults - 1;
    const Milliseconds delay =
            isQuarantined
                    ? backoffDelay(policy.probeDelay,
                                   doublings - std::min(doublings, policy.quarantineFaultCount - 1),
                                   policy.maxProbeDelay)
                    : backoffDelay(policy.faultBackoff, doublings, policy.maxFaultBackoff);
    return {record.lastOutcome + delay <= state.now ? 1U : 0U, true};
}

std::vector<QuarantineProposal> proposeQuarantines(const RunsState &state, const FleetView &fleet,
                                                   const RunPolicy &policy)
{
    std::vector<QuarantineProposal> proposals;
    const auto workers = countFailedWorkers(state);
    std::size_t quarantined = 0;
    for (const WorkerView &worker : fleet.workers) {
        quarantined += worker.condition == WorkerCondition::Quarantined ? 1 : 0;
    }
    const auto maxQuarantined = std::max<std::size_t>(
            1, static_cast<std::size_t>(policy.maxQuarantinedShare
                                        * static_cast<double>(fleet.workers.size())));
    for (const WorkerView &worker : fleet.workers) {
        const auto found = state.workers.find(worker.host);
        if (found == state.workers.end()) {
            continue;
        }
        const WorkerHistory &record = found->second;
        if (worker.condition == WorkerCondition::Quarantined) {
            if (record.consecutiveFaults == 0 && !record.outcomes.empty()) {
                proposals.push_back({worker.host, false, "a probe run succeeded"});
            }
            continue;
        }
        const Evidence evidence = collectEvidence(state, record, workers, policy);
        if (evidence.runs.size() >= policy.quarantineFaultCount && evidence.tenants.size() >= 2
            && quarantined < maxQuarantined) {
            ++quarantined;
            proposals.push_back({worker.host, true,
                                 fmt::format("{} runs of {} tenants failed in a row",
                                             evidence.runs.size(), evidence.tenants.size())});
        }
    }
    return proposals;
}

}  // namespace poplarstream
