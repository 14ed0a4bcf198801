#include "poplarstream/edge/progress_writer.hpp"

#include <algorithm>  // for any_of, max
#include <deque>  // for deque
#include <iterator>  // for make_move_iterator
#include <utility>  // for exchange

#include "poplarstream/engine/batches.hpp"  // for collectBatch, applyStored
#include "poplarstream/telemetry/event_kinds.hpp"  // for progressNotStored, progressRefused

namespace poplarstream::edge {

namespace {

constexpr std::string_view producerName = "owner";
constexpr Milliseconds retryDelay{100};
// Changes within this time are written together, because each call to the store is expensive.
constexpr Milliseconds batchWindow{8};

bool hasUnstoredCompletions(const engine::Engine &engine)
{
    return std::any_of(engine.workers.begin(), engine.workers.end(), [](const auto &entry) {
        return entry.second.completionsSeen > entry.second.completionsStored;
    });
}

// The records of a batch, in their order, in calls that the store takes.
std::deque<std::vector<StoredRecord>> splitIntoCalls(std::vector<engine::ProgressRecord> records,
                                                     std::size_t maxCallBytes)
{
    std::deque<std::vector<StoredRecord>> calls;
    std::size_t bytes = 0;
    for (engine::ProgressRecord &record : records) {
        StoredRecord stored{std::move(record.key), std::move(record.value), 0};
        const std::size_t size = storedBytes(stored);
        if (calls.empty() || bytes + size > maxCallBytes) {
            calls.emplace_back();
            bytes = 0;
        }
        bytes += size;
        calls.back().push_back(std::move(stored));
    }
    return calls;
}

}  // namespace

struct ProgressWriter::State : std::enable_shared_from_this<ProgressWriter::State>
{
    State(Runtime &sharedRuntime, int ownShard, std::int64_t ownEpoch, MaySend permission)
        : runtime(sharedRuntime)
        , shard(ownShard)
        , epoch(ownEpoch)
        , maySend(std::move(permission))
    {}

    // `firstSentAt` is the time of the first attempt: a retry may be answered with its result.
    void append(std::vector<StoredRecord> records, TimePoint firstSentAt,
                std::function<void(AppendResult)> done)
    {
        AppendRequest request;
        request.log = Log::Progress;
        request.partition = shard;
        request.records = records;
        request.producer = Producer{std::string(producerName), epoch, sequence};
        runtime.store.append(std::move(request), [weak = weak_from_this(), sentAt = steadyNow(),
                                                  firstSentAt, records = std::move(records),
                                                  done = std::move(done)](
                                                         const AppendOutcome &outcome) mutable {
            const auto self = weak.lock();
            if (!self || self->isClosed) {
                return;
            }
            const AppendResult result = outcome.result;
            self->runtime.durations.record("progress-write", resultText(result),
                                           steadyNow() - sentAt);
            // A refusal is about the records; without any, it may pass.
            const bool mayPass = result == AppendResult::Unknown || result == AppendResult::NotDone
                                 || (result == AppendResult::Refused && records.empty());
            if (mayPass) {
                self->scheduleRetry(std::move(records), firstSentAt, std::move(done), result);
                return;
            }
            if (result == AppendResult::Stored) {
                self->confirmedAt = std::max(self->confirmedAt, firstSentAt);
            }
            // Nothing was written under the sequence number of refused records.
            self->sequence += result == AppendResult::Refused ? 0 : 1;
            self->isFailing = false;
            done(result);
        });
    }

    void scheduleRetry(std::vector<StoredRecord> records, TimePoint firstSentAt,
                       std::function<void(AppendResult)> done, AppendResult result)
    {
        if (!isFailing) {
            isFailing = true;
            logEvent(events::progressNotStored, {{"reason", std::string(resultText(result))}});
        }
        callAfter(runtime, retryDelay,
                  [weak = weak_from_this(), firstSentAt, records = std::move(records),
                   done = std::move(done)]() mutable {
                      if (const auto self = weak.lock(); self && !self->isClosed) {
                          self->append(std::move(records), firstSentAt, std::move(done));
                      }
                  });
    }

    void writeNow(engine::Engine &engine, const std::function<void(WriteResult)> &done)
    {
        const LoadMeter::Section section(runtime.load, OwnerWork::Encode);
        engine::Batch batch = engine::collectBatch(engine);
        if (batch.isEmpty()) {
            isWriting = false;
            return;
        }
        calls = splitIntoCalls(std::exchange(batch.records, {}), runtime.settings.maxCallBytes);
        refusedKeys.clear();
        writeNextCall([this, &engine, batch = std::move(batch), done](bool isStored) mutable {
            if (isStored) {
                finish(engine, batch, done);
            } else {
                done(WriteResult::Superseded);
            }
        });
    }

    // Writes the calls of a batch one after the other. Calls `done` when the store has all records
    // but those that it refuses, or with false when this owner is superseded.
    void writeNextCall(std::function<void(bool isStored)> done)
    {
        if (calls.empty()) {
            done(true);
            return;
        }
        append(calls.front(), steadyNow(), [this, done = std::move(done)](AppendResult result) {
            if (result == AppendResult::Stored) {
                calls.pop_front();
            } else if (result == AppendResult::Refused) {
                splitRefusedCall();
            } else {
                logEvent(events::progressNotStored, {{"reason", std::string(resultText(result))}});
                done(false);
                return;
            }
            writeNextCall(done);
        });
    }

    // Halves a call that the store refuses, until it is known which record is the cause: the others
    // must not wait for it.
    void splitRefusedCall()
    {
        std::vector<StoredRecord> records = std::move(calls.front());
        calls.pop_front();
        if (records.size() == 1) {
            logEvent(events::progressRefused, {{"key", records[0].key}});
            refusedKeys.push_back(std::move(records[0].key));
            return;
        }
        const auto middle = records.begin() + static_cast<std::ptrdiff_t>(records.size() / 2);
        calls.emplace_front(std::make_move_iterator(middle),
                            std::make_move_iterator(records.end()));
        calls.emplace_front(std::make_move_iterator(records.begin()),
                            std::make_move_iterator(middle));
    }

    void finish(engine::Engine &engine, engine::Batch &batch,
                const std::function<void(WriteResult)> &done)
    {
        isWriting = false;
        engine.mayStart = maySend(confirmedAt);
        engine::dropRefused(engine, batch, refusedKeys, steadyNow());
        engine::applyStored(engine, batch, steadyNow());
        done(WriteResult::Stored);
    }

    Runtime &runtime;
    int shard;
    std::int64_t epoch;
    MaySend maySend;
    TimePoint confirmedAt{};
    std::int64_t sequence = 0;
    std::deque<std::vector<StoredRecord>> calls;  // of the batch in flight, that are not stored yet
    std::vector<std::string> refusedKeys;  // of the batch in flight
    bool isWriting = false;
    bool isFailing = false;
    bool isClosed = false;
};

ProgressWriter::ProgressWriter(Runtime &runtime, int shard, std::int64_t epoch, MaySend maySend)
    : state_(std::make_shared<State>(runtime, shard, epoch, std::move(maySend)))
{}

ProgressWriter::~ProgressWriter()
{
    state_->isClosed = true;
}

void ProgressWriter::fence(std::function<void(bool isFenced)> done)
{
    state_->append({}, steadyNow(), [done = std::move(done)](AppendResult result) {
        done(result == AppendResult::Stored);
    });
}

TimePoint ProgressWriter::confirmedAt() const
{
    return state_->confirmedAt;
}

void ProgressWriter::write(engine::Engine &engine, std::function<void(WriteResult)> done)
{
    // Visits all workers only if nothing else has to be written.
    if (state_->isWriting
        || (engine.dirty.empty() && engine.pendingRecords.empty()
            && !hasUnstoredCompletions(engine))) {
        return;
    }
    state_->isWriting = true;
    callAfter(state_->runtime, batchWindow,
              [weak = std::weak_ptr(state_), &engine, done = std::move(done)] {
                  if (const auto self = weak.lock(); self && !self->isClosed) {
                      self->writeNow(engine, done);
                  }
              });
}

}  // namespace poplarstream::edge
