#pragma once

#include "poplarstream/jobs/model.hpp"  // for Job, Submission, Occurrence

namespace poplarstream::jobs {

// Creates a job without progress. `now` and `nowUnixMs` are the same instant; they convert the time
// of acceptance to the steady clock.
Job makeJob(Submission submission, TimePoint now, std::int64_t nowUnixMs);

// Adds all occurrences that are due. Returns whether any were added.
bool openDueOccurrences(Job &job, TimePoint now, std::int64_t nowUnixMs);

// Adds one occurrence.
Occurrence &openOccurrence(Job &job, int number, TimePoint dueAt);

// Counts the occurrences that are done anew, after their tasks have been read. Completes the job if
// all of them are.
void recountOccurrences(Job &job);

// The effect of a completion on its job.
struct CompletionEffect
{
    bool isKnown = false;  // the run is an attempt of this job, or was one and its end counts
    bool stepDone = false;
    bool jobEnded = false;  // this completion ended the job
};

// Records the completion of a run and removes the attempt. Stores `checkpoint` unless it is empty.
// The result Done of one member finishes the whole gang. The result Done also counts for a run
// whose attempt was dropped, so that work that was done is not done again. The result Failed counts
// for one whose lease was taken for expired. Other results of such runs are ignored.
CompletionEffect recordCompletion(Job &job, const TaskRef &ref, int run, AttemptResult result,
                                  std::string checkpoint, TimePoint now);

// Removes an attempt that never ran or is gone without a completion.
bool dropAttempt(Job &job, const TaskRef &ref, int run);

// The end of a worker under a run, as evidence against its task.
struct CrashEvidence
{
    int suspicion = 0;  // likelihood that the run caused it, in thousandths
    int jobSuspicion = 0;  // the same for all runs of the job on the worker together
    bool mayHaveCaused = true;  // the run was known to have just started when the worker ended
    WorkerIncarnation worker;  // that has ended
};

enum class CrashEffect {
    None,
    TaskGivenUp,  // the job goes on without the task
    JobEnded,
};

// Records the unplanned end of a worker under a run. A task is given up at its second crash if it
// almost certainly caused it, and later with less certainty. Its job fails with it, unless other
// tasks of it serve on other workers until the job is cancelled: these go on. A run that cannot
// have caused the end, or may never have started, raises the suspicion only.
CrashEffect recordCrash(Job &job, const TaskRef &ref, const CrashEvidence &evidence, TimePoint now);

// Remembers a run whose attempt is dropped because its lease has expired. It may still be reported
// as failed.
void rememberLapsed(Job &job, const TaskRef &ref, int run);

// Marks the job as cancelled. Returns false if it was already final.
bool cancelJob(Job &job, TimePoint now);

// Ends a job that can't be carried out. Returns false if it had ended.
bool failJob(Job &job, TimePoint now);

}  // namespace poplarstream::jobs
