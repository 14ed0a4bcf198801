#pragma once

#include <string_view>  // for string_view

#include "poplarstream/engine/state.hpp"  // for Engine, Worker

namespace poplarstream::engine {

// What tasks have in common that fail for the same reason: their image, or else the queue of their
// job. Tasks that have failed before, on whichever worker, are a kind of their own: most of them
// fail again.
std::string kindOf(const jobs::Job &job, const jobs::StepSpec &step, const jobs::Task &task);

// Takes note of a run of the given kind that has failed or succeeded. `startedAt` is when it was
// planned.
void recordOutcome(Engine &engine, Worker &worker, std::string_view kind, bool isFailed,
                   TimePoint startedAt, TimePoint now);

// The share of runs of a kind that fail on sound workers, from those of the last seconds. A failure
// counts if its worker has since succeeded with a run that was begun later: then the worker was
// sound. Failures on workers that fail everything don't count. A few percent if nothing is known.
double failureRate(const Engine &engine, std::string_view kind, TimePoint now);

// What speaks for and against a worker with failures.
struct FailureEvidence
{
    int failedJobs = 0;
    int survivors = 0;  // runs that were begun no earlier and have outlived all that failed
    double likelihoodRatio = 1;  // of a sound worker, against one that fails nine runs of ten
};

// Failures of several runs of one job count once at most, since they may have one cause.
FailureEvidence weighFailures(Engine &engine, const Worker &worker, TimePoint now);

}  // namespace poplarstream::engine
