#include "poplarstream/edge/progress_writer.hpp"

#include <algorithm>  // for any_of, max

#include "poplarstream/engine/batches.hpp"  // for collectBatch, applyStored
#include "poplarstream/telemetry/event_kinds.hpp"  // for progressNotStored

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
            if (result == AppendResult::Unknown || result == AppendResult::NotDone) {
                self->scheduleRetry(std::move(records), firstSentAt, std::move(done), result);
                return;
            }
            if (result == AppendResult::Stored) {
                self->confirmedAt = std::max(self->confirmedAt, firstSentAt);
            }
            ++self->sequence;
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
        std::vector<StoredRecord> records;
        for (engine::ProgressRecord &record : batch.records) {
            records.push_back({std::move(record.key), std::move(record.value), 0});
        }
        batch.records.clear();
        if (records.empty()) {
            finish(engine, batch, done);
            return;
        }
        append(std::move(records), steadyNow(),
               [this, &engine, batch = std::move(batch), done](AppendResult result) {
                   if (result == AppendResult::Stored) {
                       finish(engine, batch, done);
                   } else {
                       logEvent(events::progressNotStored,
                                {{"reason", std::string(resultText(result))}});
                       done(WriteResult::Superseded);
                   }
               });
    }

    void finish(engine::Engine &engine, const engine::Batch &batch,
                const std::function<void(WriteResult)> &done)
    {
        isWriting = false;
        engine.mayStart = maySend(confirmedAt);
        engine::applyStored(engine, batch, steadyNow());
        done(WriteResult::Stored);
    }

    Runtime &runtime;
    int shard;
    std::int64_t epoch;
    MaySend maySend;
    TimePoint confirmedAt{};
    std::int64_t sequence = 0;
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
