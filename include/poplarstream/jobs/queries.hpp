#pragma once

#include <optional>  // for optional
#include <string_view>  // for string_view

#include "poplarstream/jobs/model.hpp"  // for Job, Occurrence, Task, TaskRef

namespace poplarstream::jobs {

bool isFinal(JobState state);

// Whether all steps that `step` waits for are done.
bool isStepReady(const Job &job, const Occurrence &occurrence, int step);

// The longest chain of declared task durations over all steps.
Milliseconds criticalPath(const JobSpec &spec);

// The longest chain over the steps of an occurrence that are not done.
Milliseconds remainingPath(const JobSpec &spec, const Occurrence &occurrence);

// When an occurrence should be finished: stretch x critical path + completion target after it
// became due.
TimePoint objective(const Job &job, const Occurrence &occurrence);

// Whether a task runs until its job is cancelled.
bool hasLongRunning(const JobSpec &spec);

// The task that `ref` names, or null when it is not (or not any more) part of the job.
Task *findTask(Job &job, const TaskRef &ref);

Attempt *findAttempt(Task &task, int run);

}  // namespace poplarstream::jobs
