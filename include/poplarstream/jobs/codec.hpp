#pragma once

#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/jobs/model.hpp"  // for Submission, Job

namespace poplarstream::jobs {

// The stored form of an accepted job, as JSON.
std::string encodeSubmission(const Submission &submission);
Result<Submission> decodeSubmission(std::string_view text);

// The queue and the account of an encoded submission, without decoding the rest. Empty if the text
// has no queue or cannot be read.
std::optional<SubmissionOrigin> originOfSubmission(std::string_view text);

// The state in encoded progress if the job is completed and none of its runs is left, so that only
// its state is of interest; empty otherwise, and for text that cannot be read.
std::optional<JobState> settledState(std::string_view progress);

// The stored progress of a job: finished tasks, run and failure counts, checkpoints, and the
// attempts that may be running.
std::string encodeProgress(const Job &job);

// Applies stored progress to a job fresh from makeJob(). Its attempts become StartSent: whether
// they run is learned from their workers. Fails without changing the job if the text is malformed
// or doesn't match the job.
Result<bool> applyProgress(Job &job, std::string_view text);

}  // namespace poplarstream::jobs
