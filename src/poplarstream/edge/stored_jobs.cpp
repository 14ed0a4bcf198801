#include "poplarstream/edge/stored_jobs.hpp"

#include <algorithm>  // for sort
#include <set>  // for set
#include <string>  // for string
#include <string_view>  // for string_view

#include <fmt/format.h>  // for format, to_string

#include "poplarstream/base/rendezvous.hpp"  // for stableHash
#include "poplarstream/engine/attempts.hpp"  // for lapseAfter, stopJob
#include "poplarstream/jobs/codec.hpp"  // for encodeSubmission, decodeSubmission
#include "poplarstream/jobs/progress_records.hpp"  // for jobOfRecord, ProgressRecord
#include "poplarstream/jobs/queries.hpp"  // for isFinal
#include "poplarstream/telemetry/event_kinds.hpp"  // for recordUnreadable, jobHeld, lateJob

namespace poplarstream::edge {

namespace {

// Not a hexadecimal digit, so it cannot be part of a job id.
constexpr char cancellationSuffix = '!';
// The value of a cancellation, followed by the account of its caller or, without one, by the queue.
// Earlier versions store no queue, and take a value with one for a cancellation without an account.
constexpr std::string_view cancelled = "cancelled";
constexpr std::string_view cancelledBy = "cancelled by ";
constexpr std::string_view cancelledThrough = "cancelled through ";

void logUnreadable(std::string_view log, const StoredRecord &record, const std::string &error)
{
    logEvent(events::recordUnreadable, {{"stream", std::string(log)},
                                        {"offset", fmt::to_string(record.offset)},
                                        {"fault", error}});
}

engine::Canceller cancellerFrom(std::string_view value)
{
    engine::Canceller caller;
    if (value.starts_with(cancelledBy)) {
        caller.account = AccountId(std::string(value.substr(cancelledBy.size())));
    } else if (value.starts_with(cancelledThrough)) {
        caller.queue = jobs::QueueId(std::string(value.substr(cancelledThrough.size())));
    }
    return caller;
}

std::string textOf(const engine::Canceller &caller)
{
    if (!caller.account.isEmpty()) {
        return fmt::format("{}{}", cancelledBy, caller.account.text());
    }
    return caller.queue.isEmpty() ? std::string(cancelled)
                                  : fmt::format("{}{}", cancelledThrough, caller.queue.text());
}

}  // namespace

StoredRecord submissionRecord(const jobs::Submission &submission)
{
    return {submission.id.text(), jobs::encodeSubmission(submission), 0};
}

StoredRecord cancellationRecord(const jobs::JobId &id, const engine::Canceller &caller)
{
    return {id.text() + cancellationSuffix, textOf(caller), 0};
}

int jobPartition(const jobs::JobId &id, int partitions)
{
    return static_cast<int>(stableHash(id.text()) % static_cast<std::uint64_t>(partitions));
}

int jobPartition(const StoredRecord &record, int partitions)
{
    const bool isCancellation = record.key.ends_with(cancellationSuffix);
    return jobPartition(
            jobs::JobId(record.key.substr(0, record.key.size() - (isCancellation ? 1 : 0))),
            partitions);
}

std::vector<StoredRecord> tombstones(const jobs::JobId &id)
{
    return {{id.text(), {}, 0}, {id.text() + cancellationSuffix, {}, 0}};
}

void applyJobRecord(engine::Engine &engine, const StoredRecord &record,
                    const engine::ClockReading &now)
{
    if (!record.value) {
        engine::confirmDeletion(engine, jobs::JobId(record.key));
        return;
    }
    if (record.key.ends_with(cancellationSuffix)) {
        engine::cancelJob(engine, jobs::JobId(record.key.substr(0, record.key.size() - 1)),
                          now.steady, cancellerFrom(*record.value));
        return;
    }
    Result<jobs::Submission> submission = jobs::decodeSubmission(*record.value);
    if (!submission) {
        logUnreadable("jobs", record, submission.failure().message);
        return;
    }
    engine::submitJob(engine, std::move(submission).value(), now);
}

void confirmDeletions(engine::Engine &engine, std::span<const StoredRecord> newest, int partition,
                      int partitions)
{
    std::set<std::string> keys;
    for (const StoredRecord &record : newest) {
        keys.insert(record.key);
    }
    const std::set<jobs::JobId> beingDeleted = engine.beingDeleted;
    for (const jobs::JobId &id : beingDeleted) {
        if (jobPartition(id, partitions) == partition && !keys.contains(id.text())) {
            engine::confirmDeletion(engine, id);
        }
    }
}

bool isJobRecord(const StoredRecord &record)
{
    return record.key.find('/') == std::string::npos;
}

bool isHeadRecord(const StoredRecord &record)
{
    return isJobRecord(record) && jobs::jobOfRecord(record.key) == record.key;
}

void adoptStoredProgress(engine::Engine &engine, std::span<const StoredRecord> records,
                         TimePoint renewedAt, TimePoint now)
{
    const StoredRecord &head = records.front();
    const bool hasHead = isHeadRecord(head) && head.value;
    const jobs::JobId id{std::string(jobs::jobOfRecord(head.key))};
    std::vector<StoredRecord> byAge(records.begin() + (hasHead ? 1 : 0), records.end());
    std::sort(byAge.begin(), byAge.end(), [](const StoredRecord &left, const StoredRecord &right) {
        return left.offset < right.offset;
    });
    std::vector<jobs::ProgressRecord> parts;
    parts.reserve(byAge.size());
    for (StoredRecord &record : byAge) {
        parts.push_back({std::move(record.key), std::move(record.value)});
    }
    const jobs::Job *const known = engine::findJob(engine, id);
    const bool wasCancelled = known != nullptr && known->state == jobs::JobState::Cancelled;
    Result<bool> applied = Failure{"a part of the progress of a job without the rest", {}};
    if (hasHead) {
        applied = engine::adoptProgress(engine, id, *head.value,
                                        engine::lapseAfter(engine, renewedAt), now, parts);
    } else {
        engine::holdJob(engine, id, parts);
    }
    if (!applied && known != nullptr) {
        logEvent(events::jobHeld, {{"job", id.text()}, {"fault", applied.failure().message}});
    } else if (!applied) {
        logUnreadable("progress", head, applied.failure().message);
    }
    if (wasCancelled) {
        engine::cancelJob(engine, id, now);
    }
}

void adoptLateProgress(engine::Engine &engine, std::span<const StoredRecord> records,
                       TimePoint renewedAt, TimePoint now)
{
    const std::size_t runsBefore = engine.runsAdopted;
    adoptStoredProgress(engine, records, renewedAt, now);
    logEvent(events::lateJob, {{"job", records.front().key},
                               {"runs", fmt::to_string(engine.runsAdopted - runsBefore)}});
}

void stopEndedJobs(engine::Engine &engine, TimePoint now)
{
    for (const auto &[id, job] : engine.jobs) {
        if (jobs::isFinal(job.state)) {
            engine::stopJob(engine, id, now);
        }
    }
}

}  // namespace poplarstream::edge
