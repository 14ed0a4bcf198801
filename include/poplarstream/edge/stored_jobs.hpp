#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/edge/ports.hpp"  // for StoredRecord
#include "poplarstream/engine/job_events.hpp"  // for ClockReading
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

// The record that makes a job accepted, and the one that cancels it.
StoredRecord submissionRecord(const jobs::Submission &submission);
StoredRecord cancellationRecord(const jobs::JobId &id);

// What removes both from the store.
std::vector<StoredRecord> dropRecords(const jobs::JobId &id);

// Applies a record of the job log. One that cannot be read is logged and skipped.
void applyJobRecord(engine::Engine &engine, const StoredRecord &record,
                    const engine::ClockReading &now);

// Whether a record of the progress log is of a job.
bool isOfJob(const StoredRecord &record);

// Applies the progress of a job that earlier owners stored. Their attempts may run on until their
// leases lapse, which were renewed at `renewedAt` at the latest.
void adoptStoredProgress(engine::Engine &engine, const StoredRecord &record, TimePoint renewedAt,
                         TimePoint now);

// Stops what is left of jobs that have ended.
void stopEndedJobs(engine::Engine &engine, TimePoint now);

}  // namespace poplarstream::edge
