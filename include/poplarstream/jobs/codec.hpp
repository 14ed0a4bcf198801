#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/jobs/model.hpp"  // for Submission, Job

namespace poplarstream::jobs {

// The stored form of an accepted job (JSON, our own keys).
std::string encodeSubmission(const Submission &submission);
Result<Submission> decodeSubmission(std::string_view text);

// What the store has to know of a job beside its submission: tasks that are done, counts of runs
// and failures, checkpoints, and the attempts that may run somewhere.
std::string encodeProgress(const Job &job);

// Applies stored progress to a job that was just made by makeJob(). Attempts come back as Ordered:
// whether they run is learnt from their workers. Fails, and leaves the job as it is, when the text
// cannot be read or does not fit the job.
Result<bool> applyProgress(Job &job, std::string_view text);

}  // namespace poplarstream::jobs
