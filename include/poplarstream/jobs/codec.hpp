#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/jobs/model.hpp"  // for Submission, Job

namespace poplarstream::jobs {

// The stored form of an accepted job, as JSON.
std::string encodeSubmission(const Submission &submission);
Result<Submission> decodeSubmission(std::string_view text);

// The stored progress of a job: finished tasks, run and failure counts, checkpoints, and the
// attempts that may be running.
std::string encodeProgress(const Job &job);

// Applies stored progress to a job fresh from makeJob(). Its attempts become StartSent: whether
// they run is learned from their workers. Fails without changing the job if the text is malformed
// or doesn't match the job.
Result<bool> applyProgress(Job &job, std::string_view text);

}  // namespace poplarstream::jobs
