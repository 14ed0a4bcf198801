#include "poplarstream/edge/store_attempts.hpp"

#include <vector>  // for vector

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/group_append.hpp"  // for GroupAppend
#include "poplarstream/edge/store_health.hpp"  // for StoreHealth
#include "poplarstream/edge/submission_retry.hpp"  // for callDeadline, ownerDeadline

namespace poplarstream::edge {

namespace {

constexpr Milliseconds storeDeadline{1000};
// One call at a time for what waited: the first tells whether the store is back, the second takes
// everything else.
constexpr int retryCallsInFlight = 1;

// The result of an attempt by the owner. A response that makes no sense says nothing.
AppendResult resultOf(const PeerResponse &response)
{
    switch (response.kind) {
    case PeerResponse::Kind::Stored:
        return AppendResult::Stored;
    case PeerResponse::Kind::NotStored:
    case PeerResponse::Kind::NotOwner:
        return AppendResult::NotDone;
    default:
        return AppendResult::Unknown;
    }
}

bool isFinal(const StoreAttempt &attempt)
{
    return attempt.result == AppendResult::Stored || attempt.result == AppendResult::Refused;
}

}  // namespace

struct StoreAttempts::State : Closable<StoreAttempts::State>
{
    State(Runtime &sharedRuntime, SubmissionHooks given)
        : runtime(sharedRuntime)
        , hooks(std::move(given))
    {
        const int count = runtime.settings.jobPartitions;
        for (int partition = 0; partition < count; ++partition) {
            retryAppends.push_back(std::make_unique<GroupAppend>(
                    runtime.store, JobPartition{partition, count}, storeDeadline,
                    runtime.settings.maxCallBytes, retryCallsInFlight));
        }
    }

    bool isOwner(const RecordToStore &record) const
    {
        return hooks.isOwner && hooks.isOwner(hooks.shardOf(record.partition));
    }

    void throughOwnerFirst(const RecordToStore &record, const StoreAttemptDone &done)
    {
        throughOwner(record, guarded([record, done](State &self, const StoreAttempt &first) {
                         if (!first.isOwnerMissing) {
                             done(first);
                             return;
                         }
                         self.directly(record, [first, done](StoreAttempt second) {
                             second.hasReachedOwner = first.hasReachedOwner;
                             done(second);
                         });
                     }));
    }

    void directlyFirst(const RecordToStore &record, const StoreAttemptDone &done)
    {
        directly(record, guarded([record, done](State &self, const StoreAttempt &first) {
                     // As the owner, this process would ask the same store again.
                     if (isFinal(first) || self.isOwner(record)) {
                         done(first);
                         return;
                     }
                     self.throughOwner(record, [first, done](StoreAttempt second) {
                         if (second.result == AppendResult::NotDone) {
                             second.result = first.result;
                         }
                         done(second);
                     });
                 }));
    }

    void directly(const RecordToStore &record, const StoreAttemptDone &done)
    {
        AppendRequest request;
        request.log = Log::Jobs;
        request.partition = record.partition;
        request.records = {*record.record};
        const TimePoint sentAt = steadyNow();
        request.deadline = callDeadline(storeDeadline, record.endsAt - sentAt);
        health.begin(sentAt);
        runtime.store.append(std::move(request),
                             guarded([sentAt, done](State &self, const AppendOutcome &outcome) {
                                 self.health.end(sentAt, outcome.result == AppendResult::Stored,
                                                 steadyNow());
                                 done({outcome.result, StorePath::Direct, {}, false});
                             }));
    }

    // Shares calls with other records that are tried again.
    void directlyWithOthers(const RecordToStore &record, std::optional<bool> hasReachedOwner,
                            const StoreAttemptDone &done)
    {
        retryAppends[static_cast<std::size_t>(record.partition)]->append(
                {*record.record}, [hasReachedOwner, done](const AppendOutcome &outcome) {
                    done({outcome.result, StorePath::Direct, hasReachedOwner, false});
                });
    }

    void throughOwner(const RecordToStore &record, const StoreAttemptDone &done)
    {
        PeerRequest request;
        request.kind = PeerRequest::Kind::Store;
        request.shard = hooks.shardOf(record.partition);
        request.records = {*record.record};
        const bool isOwnRequest = isOwner(record);
        hooks.sendToOwner(request, callDeadline(ownerDeadline, record.endsAt - steadyNow()),
                          [isOwnRequest, done](const PeerResponse &response) {
                              done({resultOf(response), StorePath::ThroughOwner,
                                    isOwnRequest || response.isAnswered,
                                    response.kind == PeerResponse::Kind::NotOwner});
                          });
    }

    Runtime &runtime;
    SubmissionHooks hooks;
    StoreHealth health;  // of the direct way
    std::vector<std::unique_ptr<GroupAppend>> retryAppends;  // by partition
};

StoreAttempts::StoreAttempts(Runtime &runtime, SubmissionHooks hooks)
    : state_(std::make_shared<State>(runtime, std::move(hooks)))
{}

StoreAttempts::~StoreAttempts()
{
    state_->isClosed = true;
}

void StoreAttempts::tryFirst(const RecordToStore &record, const StoreAttemptDone &done)
{
    if (state_->health.isDegraded(steadyNow())) {
        state_->throughOwnerFirst(record, done);
    } else {
        state_->directlyFirst(record, done);
    }
}

void StoreAttempts::tryAgain(const RecordToStore &record, StorePath path, StoreAttemptDone done)
{
    if (path == StorePath::Direct) {
        state_->directlyWithOthers(record, {}, done);
        return;
    }
    state_->throughOwner(record, state_->guarded([record, done = std::move(done)](
                                                         State &self, const StoreAttempt &first) {
        if (first.isOwnerMissing) {
            self.directlyWithOthers(record, first.hasReachedOwner, done);
        } else {
            done(first);
        }
    }));
}

}  // namespace poplarstream::edge
