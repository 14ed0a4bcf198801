#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

#include "poplarstream/jobs/model.hpp"  // for Job, Occurrence, Task, TaskRef

namespace poplarstream::jobs {

bool isFinal(JobState state);

// Whether a task has no run and is to get one.
bool isWaiting(const Task &task);

// The number of waiting tasks that may be started now.
int countDue(std::span<const Task> tasks, TimePoint now);

// Whether all steps that `step` depends on are done.
bool isStepReady(const Job &job, const Occurrence &occurrence, int step);

// The longest chain of estimated durations over all steps.
Milliseconds criticalPath(const JobSpec &spec);

// The longest chain over the unfinished steps of an occurrence.
Milliseconds remainingPath(const JobSpec &spec, const Occurrence &occurrence);

// When an occurrence should be finished: its due time + stretch x critical path + completion
// target.
TimePoint objective(const Job &job, const Occurrence &occurrence);

// Whether any step runs until the job is cancelled.
bool hasLongRunning(const JobSpec &spec);

// Whether it ends without a cancellation, and does not wait for times to run at.
bool endsByItself(const JobSpec &spec);

// Whether any step is speculative.
bool hasSpeculative(const JobSpec &spec);

// The task that `ref` names, or null if the job has no such task.
Task *findTask(Job &job, const TaskRef &ref);

Attempt *findAttempt(Task &task, int run);

}  // namespace poplarstream::jobs
