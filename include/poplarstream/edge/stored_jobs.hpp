#pragma once

#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/edge/ports.hpp"  // for StoredRecord
#include "poplarstream/engine/job_events.hpp"  // for ClockReading
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

// The record of the job log that submits a job, and the one that cancels it.
StoredRecord submissionRecord(const jobs::Submission &submission);
StoredRecord cancellationRecord(const jobs::JobId &id, const engine::Canceller &caller = {});

// The partition of the job log that holds the records of a job.
int jobPartition(const jobs::JobId &id, int partitions);
// The same by the key of one of its records.
int jobPartition(const StoredRecord &record, int partitions);

// The records that delete both from the store.
std::vector<StoredRecord> tombstones(const jobs::JobId &id);

// Applies a record of the job log. A malformed record is logged and skipped.
void applyJobRecord(engine::Engine &engine, const StoredRecord &record,
                    const engine::ClockReading &now);

// Confirms the deletion of forgotten jobs of a partition that are not in its newest records.
void confirmDeletions(engine::Engine &engine, std::span<const StoredRecord> newest, int partition,
                      int partitions);

// Whether a record of the progress log belongs to a job.
bool isJobRecord(const StoredRecord &record);

// Whether it is the one under the id of the job.
bool isHeadRecord(const StoredRecord &record);

// Applies the progress of a job that an earlier owner stored: all of its records, ordered by key.
// The attempts may run on until their leases expire, which were renewed at `renewedAt` at the
// latest.
void adoptStoredProgress(engine::Engine &engine, std::span<const StoredRecord> records,
                         TimePoint renewedAt, TimePoint now);

// The same for a job whose submission was read after the takeover; logs it.
void adoptLateProgress(engine::Engine &engine, std::span<const StoredRecord> records,
                       TimePoint renewedAt, TimePoint now);

// Stops the attempts that are left of jobs that have ended.
void stopEndedJobs(engine::Engine &engine, TimePoint now);

}  // namespace poplarstream::edge
