#include "poplarstream/engine/run_outcomes.hpp"

#include <algorithm>  // for max
#include <utility>  // for move

namespace poplarstream::engine {

namespace {

constexpr Milliseconds outcomeMemory{20'000};
constexpr std::size_t maxOutcomesOfKind = 256;
constexpr std::size_t maxKinds = 256;

// Two runs, of which a twentieth has failed, stand for what is not known.
constexpr double priorRuns = 2;
constexpr double priorFailures = 0.1;

void forgetOldKinds(Engine &engine, TimePoint now)
{
    std::erase_if(engine.outcomes, [now](const auto &entry) {
        return entry.second.empty() || entry.second.back().endedAt + outcomeMemory < now;
    });
}

// Whether the worker has proven sound since the run ended.
bool isProvenSince(const Engine &engine, const RunOutcome &outcome)
{
    const auto worker = engine.workers.find(outcome.worker);
    return worker != engine.workers.end() && worker->second.provenSince >= outcome.endedAt;
}

}  // namespace

std::string_view kindOf(const jobs::Job &job, const jobs::StepSpec &step)
{
    return step.image.empty() ? std::string_view(job.submission.policy.queue.text())
                              : std::string_view(step.image);
}

void recordOutcome(Engine &engine, Worker &worker, std::string_view kind, bool isFailed,
                   TimePoint startedAt, TimePoint now)
{
    if (!isFailed) {
        worker.provenSince = std::max(worker.provenSince, startedAt);
    }
    auto found = engine.outcomes.find(kind);
    if (found == engine.outcomes.end()) {
        if (engine.outcomes.size() >= maxKinds) {
            forgetOldKinds(engine, now);
        }
        if (engine.outcomes.size() >= maxKinds) {
            return;  // as if nothing were known of the kind
        }
        found = engine.outcomes.try_emplace(std::string(kind)).first;
    }
    found->second.push_back({worker.entry.incarnation, now, isFailed});
    if (found->second.size() > maxOutcomesOfKind) {
        found->second.pop_front();
    }
}

double failureRate(const Engine &engine, std::string_view kind, TimePoint now)
{
    double runs = priorRuns;
    double failures = priorFailures;
    const auto found = engine.outcomes.find(kind);
    if (found != engine.outcomes.end()) {
        for (const RunOutcome &outcome : found->second) {
            if (outcome.endedAt + outcomeMemory < now
                || (outcome.isFailed && !isProvenSince(engine, outcome))) {
                continue;
            }
            runs += 1;
            failures += outcome.isFailed ? 1 : 0;
        }
    }
    return failures / runs;
}

double likelihoodIfSound(const Engine &engine, const Worker &worker, TimePoint now)
{
    double likelihood = 1;
    std::map<std::string_view, double> rates;
    for (const auto &[job, kind] : worker.failedJobs) {
        auto rate = rates.find(kind);
        if (rate == rates.end()) {
            rate = rates.emplace(kind, failureRate(engine, kind, now)).first;
        }
        likelihood *= rate->second;
    }
    return likelihood;
}

}  // namespace poplarstream::engine
