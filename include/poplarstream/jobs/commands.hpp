#pragma once

#include "poplarstream/jobs/model.hpp"  // for Job, Submission, Occurrence

namespace poplarstream::jobs {

// A job that nothing has happened to yet. `now` and `nowUnixMs` are the same moment on both clocks;
// they place the acceptance on the steady clock.
Job makeJob(Submission submission, TimePoint now, std::int64_t nowUnixMs);

// Adds the occurrences that are due. Returns whether there were any.
bool openDueOccurrences(Job &job, TimePoint now, std::int64_t nowUnixMs);

// Adds an occurrence whose due time has come.
Occurrence &openOccurrence(Job &job, int number, TimePoint dueAt);

// What became of a job by the end of a run.
struct EndEffect
{
    bool isKnown = false;  // the run was an attempt of this job
    bool stepDone = false;
    bool jobEnded = false;  // completed or failed now
};

// Records that a run completed. The attempt goes; `checkpoint` is kept when it is not empty. An end
// Done of one member ends a whole gang.
EndEffect recordEnd(Job &job, const TaskRef &ref, int run, AttemptResult end,
                    std::string checkpoint, TimePoint now);

// Removes an attempt that has never run or is known to be gone without an end.
bool dropAttempt(Job &job, const TaskRef &ref, int run);

// Marks the job as cancelled. Returns false when it had completed before.
bool cancelJob(Job &job, TimePoint now);

}  // namespace poplarstream::jobs
