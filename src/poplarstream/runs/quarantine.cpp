#include "poplarstream/runs/quarantine.hpp"

#include <algorithm>  // for min, max
#include <limits>  // for numeric_limits
#include <set>  // for set

#include <fmt/format.h>  // for format

namespace poplarstream {
namespace {

Milliseconds doubled(Milliseconds delay, std::uint32_t times, Milliseconds longest)
{
    return times >= 20 ? longest : std::min(longest, Milliseconds{delay.count() << times});
}

// How many workers each run failed on, by the records of the workers.
std::map<std::uint64_t, std::uint32_t> workersByRun(const RunsState &state)
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

// The faults since the last success, within the age limit. A run that failed on two other workers
// too says more about itself than about the worker.
Evidence evidenceAgainst(const RunsState &state, const WorkerHistory &record,
                         const std::map<std::uint64_t, std::uint32_t> &workers,
                         const RunPolicy &policy)
{
    Evidence evidence;
    for (auto outcome = record.outcomes.rbegin(); outcome != record.outcomes.rend(); ++outcome) {
        if (!outcome->isFault || outcome->at + policy.evidenceAge < state.now) {
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
        return {isQuarantined ? 1 : policy.unprovenLimit + 2 * settledRuns, isQuarantined};
    }
    const WorkerHistory &record = found->second;
    if (record.consecutiveFaults == 0) {
        return isQuarantined ? Concurrency{1, true}
                             : Concurrency{std::numeric_limits<std::uint32_t>::max(), false};
    }
    const std::uint32_t times = record.consecutiveFaults - 1;
    const Milliseconds delay =
            isQuarantined ? doubled(policy.probeDelay,
                                    times - std::min(times, policy.quarantineFaults - 1),
                                    policy.maxProbeDelay)
                          : doubled(policy.suspectDelay, times, policy.maxSuspectDelay);
    return {record.lastOutcome + delay <= state.now ? 1U : 0U, true};
}

std::vector<QuarantineProposal> proposeQuarantines(const RunsState &state, const FleetView &fleet,
                                                   const RunPolicy &policy)
{
    std::vector<QuarantineProposal> proposals;
    const auto workers = workersByRun(state);
    std::size_t quarantined = 0;
    for (const WorkerView &worker : fleet.workers) {
        quarantined += worker.condition == WorkerCondition::Quarantined ? 1 : 0;
    }
    const auto most = std::max<std::size_t>(
            1, static_cast<std::size_t>(policy.maxQuarantined
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
        const Evidence evidence = evidenceAgainst(state, record, workers, policy);
        if (evidence.runs.size() >= policy.quarantineFaults && evidence.tenants.size() >= 2
            && quarantined < most) {
            ++quarantined;
            proposals.push_back({worker.host, true,
                                 fmt::format("{} runs of {} tenants failed in a row",
                                             evidence.runs.size(), evidence.tenants.size())});
        }
    }
    return proposals;
}

}  // namespace poplarstream
