#include "poplarstream/edge/submission_store.hpp"

#include <algorithm>  // for max, min
#include <map>  // for map
#include <vector>  // for vector

#include <fmt/format.h>  // for format, to_string

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/group_append.hpp"  // for GroupAppend
#include "poplarstream/edge/store_health.hpp"  // for StoreHealth
#include "poplarstream/edge/stored_jobs.hpp"  // for jobPartition
#include "poplarstream/edge/submission_retry.hpp"  // for planRetries, PendingRecord
#include "poplarstream/telemetry/event_kinds.hpp"  // for storeCircuitOpened, storeCircuitClosed

namespace poplarstream::edge {

namespace {

constexpr Milliseconds storeDeadline{1000};
constexpr Milliseconds ownerDeadline{1000};
constexpr Milliseconds minDeadline{50};
// One call at a time for what waited: the first tells whether the store is back, the second takes
// everything else.
constexpr int retryCallsInFlight = 1;

Milliseconds boundedDeadline(Milliseconds limit, Milliseconds remaining)
{
    return std::max(std::min(limit, remaining - responseMargin), minDeadline);
}

// The result of an attempt by the owner.
AppendResult resultOf(const PeerResponse &response)
{
    switch (response.kind) {
    case PeerResponse::Kind::Stored:
        return AppendResult::Stored;
    case PeerResponse::Kind::NoResponse:
        return AppendResult::Unknown;
    default:
        return AppendResult::NotDone;
    }
}

}  // namespace

struct SubmissionStore::State : Closable<SubmissionStore::State>
{
    struct Entry
    {
        PendingRecord pending;
        StoredRecord record;
        ResponseKind successKind = ResponseKind::Accepted;
        Respond respond;
        bool isWaiting = false;  // counted in `load`
    };

    // How an attempt ended.
    struct Attempt
    {
        TimePoint startedAt{};
        AppendResult result = AppendResult::NotDone;
        StorePath path = StorePath::Direct;  // by which it ended
        std::optional<bool> hasReachedOwner;
        bool isOwnerMissing = false;  // nobody took the record for the owner
    };
    using AttemptDone = std::function<void(Attempt)>;

    State(Runtime &sharedRuntime, SubmissionHooks given)
        : runtime(sharedRuntime)
        , hooks(std::move(given))
        , circuits(static_cast<std::size_t>(runtime.settings.jobPartitions))
    {
        for (int partition = 0; partition < runtime.settings.jobPartitions; ++partition) {
            retryAppends.push_back(std::make_unique<GroupAppend>(
                    runtime.store, partition, storeDeadline, runtime.settings.maxCallBytes,
                    retryCallsInFlight));
        }
    }

    StoreCircuit &circuitOf(const PendingRecord &pending)
    {
        return circuits[static_cast<std::size_t>(pending.partition)];
    }

    void begin(Entry entry)
    {
        const std::uint64_t number = entry.pending.number;
        const bool isAway = circuitOf(entry.pending).isOpen;
        Entry &placed = entries.emplace(number, std::move(entry)).first->second;
        if (!isAway) {
            tryFirst(placed);
        } else if (startWaiting(placed)) {
            planSoon();
        }
    }

    // Counts an entry as waiting; gives it up if there is no room, and returns false.
    bool startWaiting(Entry &entry)
    {
        if (entry.isWaiting) {
            return true;
        }
        if (!mayWait(load, entry.pending.bytes)) {
            giveUp(giveUpForWantOfRoom(entry.pending));
            return false;
        }
        entry.isWaiting = true;
        ++load.records;
        load.bytes += entry.pending.bytes;
        return true;
    }

    // Removes an entry and responds to its caller.
    void finish(std::uint64_t number, const Response &response)
    {
        const auto node = entries.extract(number);
        if (node.empty()) {
            return;
        }
        const Entry &entry = node.mapped();
        if (entry.isWaiting) {
            --load.records;
            load.bytes -= entry.pending.bytes;
        }
        entry.respond(response);
    }

    void giveUp(const GiveUp &decision)
    {
        ++(decision.mayBeStored ? givenUpUnknown : givenUpUnavailable);
        Response response;
        response.kind = decision.mayBeStored ? ResponseKind::Unknown : ResponseKind::Unavailable;
        response.retryAfter = decision.retryAfter;
        response.message =
                decision.mayBeStored ? "the store does not answer" : "the store cannot be reached";
        finish(decision.number, response);
    }

    // Carries out what can be decided now, and comes back when the next decision is due.
    void plan()
    {
        std::vector<const PendingRecord *> records;
        records.reserve(entries.size());
        for (const auto &[number, entry] : entries) {
            records.push_back(&entry.pending);
        }
        const TimePoint now = steadyNow();
        const RetryPlan next = planRetries(records, circuits, now);
        for (const GiveUp &decision : next.givenUp) {
            giveUp(decision);
        }
        for (const std::uint64_t number : next.attempts) {
            const auto found = entries.find(number);
            if (found != entries.end() && !found->second.pending.isUnderWay) {
                tryAgain(found->second);
            }
        }
        if (next.wakeAt && (!wakeAt || *next.wakeAt < *wakeAt)) {
            wakeAt = next.wakeAt;
            callAfter(runtime, *next.wakeAt - now, this->guarded([at = *wakeAt](State &self) {
                if (self.wakeAt == at) {
                    self.wakeAt.reset();
                    self.plan();
                }
            }));
        }
    }

    // By the way that is expected to work, and then by the other one.
    void tryFirst(Entry &entry)
    {
        const std::uint64_t number = entry.pending.number;
        const AttemptDone done = attemptDone(entry);
        if (health.isDegraded(steadyNow())) {
            throughOwner(entry, this->guarded([number, done](State &self, const Attempt &first) {
                const auto found = self.entries.find(number);
                if (first.isOwnerMissing && found != self.entries.end()) {
                    self.directly(found->second, [first, done](Attempt second) {
                        second.hasReachedOwner = first.hasReachedOwner;
                        done(second);
                    });
                } else {
                    done(first);
                }
            }));
            return;
        }
        directly(entry, this->guarded([number, done](State &self, const Attempt &first) {
            const auto found = self.entries.find(number);
            const bool isFinal =
                    first.result == AppendResult::Stored || first.result == AppendResult::Refused;
            // As the owner, this process would ask the same store again.
            if (isFinal || found == self.entries.end() || self.isOwner(found->second)) {
                done(first);
                return;
            }
            self.throughOwner(found->second, [first, done](Attempt second) {
                if (second.result == AppendResult::NotDone) {
                    second.result = first.result;
                }
                done(second);
            });
        }));
    }

    bool isOwner(const Entry &entry) const
    {
        return hooks.isOwner && hooks.isOwner(hooks.shardOf(entry.pending.partition));
    }

    void tryAgain(Entry &entry)
    {
        ++retries;
        const std::uint64_t number = entry.pending.number;
        const AttemptDone done = attemptDone(entry);
        if (nextPath(entry.pending, circuitOf(entry.pending)) == StorePath::Direct) {
            directlyWithOthers(entry, {}, done);
            return;
        }
        throughOwner(entry, this->guarded([number, done](State &self, const Attempt &first) {
            const auto found = self.entries.find(number);
            if (first.isOwnerMissing && found != self.entries.end()) {
                self.directlyWithOthers(found->second, first.hasReachedOwner, done);
            } else {
                done(first);
            }
        }));
    }

    // Marks an entry as under way until the callback is called.
    AttemptDone attemptDone(Entry &entry)
    {
        entry.pending.isUnderWay = true;
        entry.pending.startedAt = steadyNow();
        return this->guarded([number = entry.pending.number, partition = entry.pending.partition,
                              startedAt = entry.pending.startedAt](State &self, Attempt attempt) {
            attempt.startedAt = startedAt;
            self.endAttempt(number, partition, attempt);
        });
    }

    void directly(const Entry &entry, AttemptDone done)
    {
        AppendRequest request;
        request.log = Log::Jobs;
        request.partition = entry.pending.partition;
        request.records = {entry.record};
        const TimePoint startedAt = steadyNow();
        request.deadline = boundedDeadline(storeDeadline, entry.pending.endsAt - startedAt);
        health.begin(startedAt);
        runtime.store.append(std::move(request),
                             this->guarded([startedAt, done = std::move(done)](
                                                   State &self, const AppendOutcome &outcome) {
                                 self.health.end(startedAt, outcome.result == AppendResult::Stored,
                                                 steadyNow());
                                 done({startedAt, outcome.result, StorePath::Direct, {}, false});
                             }));
    }

    // Shares calls with other records that are tried again.
    void directlyWithOthers(const Entry &entry, std::optional<bool> hasReachedOwner,
                            const AttemptDone &done)
    {
        const auto partition = static_cast<std::size_t>(entry.pending.partition);
        const TimePoint startedAt = steadyNow();
        retryAppends[partition]->append(
                {entry.record}, [startedAt, hasReachedOwner, done](const AppendOutcome &outcome) {
                    done({startedAt, outcome.result, StorePath::Direct, hasReachedOwner, false});
                });
    }

    void throughOwner(const Entry &entry, AttemptDone done)
    {
        PeerRequest request;
        request.kind = PeerRequest::Kind::Store;
        request.shard = hooks.shardOf(entry.pending.partition);
        request.records = {entry.record};
        const bool isOwnRequest = isOwner(entry);
        const TimePoint startedAt = steadyNow();
        hooks.sendToOwner(
                request, boundedDeadline(ownerDeadline, entry.pending.endsAt - startedAt),
                [startedAt, isOwnRequest, done = std::move(done)](const PeerResponse &response) {
                    done({startedAt, resultOf(response), StorePath::ThroughOwner,
                          isOwnRequest || response.isAnswered,
                          response.kind == PeerResponse::Kind::NotOwner});
                });
    }

    void endAttempt(std::uint64_t number, int partition, const Attempt &attempt)
    {
        const bool isStored = attempt.result == AppendResult::Stored;
        if (attempt.result != AppendResult::Refused) {
            observe(partition, attempt, isStored);
        }
        planSoon();
        const auto found = entries.find(number);
        if (found == entries.end()) {
            return;
        }
        Entry &entry = found->second;
        entry.pending.isUnderWay = false;
        if (isStored) {
            storedAfterRetry += entry.pending.failedAttempts > 0 ? 1 : 0;
            Response response;
            response.kind = entry.successKind;
            finish(number, response);
        } else if (attempt.result == AppendResult::Refused) {
            Response response;
            response.kind = ResponseKind::BadRequest;
            response.message = "the store refuses the record";
            finish(number, response);
        } else {
            ++entry.pending.failedAttempts;
            entry.pending.failedAt = steadyNow();
            entry.pending.mayBeStored =
                    entry.pending.mayBeStored || attempt.result == AppendResult::Unknown;
            startWaiting(entry);
        }
    }

    // Plans once for all attempts that end together.
    void planSoon()
    {
        if (load.records == 0 && entries.empty()) {
            return;
        }
        if (!isPlanDue) {
            isPlanDue = true;
            callAfter(runtime, Milliseconds{0}, this->guarded([](State &self) {
                self.isPlanDue = false;
                self.plan();
            }));
        }
    }

    // Adds an attempt to what is known of the partition.
    void observe(int partition, const Attempt &attempt, bool isStored)
    {
        const TimePoint now = steadyNow();
        StoreCircuit &circuit = circuits[static_cast<std::size_t>(partition)];
        const TimePoint failingSince = circuit.failingSince;
        const std::string &name = runtime.settings.name.text();
        const CircuitChange change =
                isStored ? recordSuccess(circuit, attempt.path, now)
                         : recordFailure(circuit, {attempt.startedAt, attempt.hasReachedOwner},
                                         name, now);
        if (change == CircuitChange::Opened) {
            ++circuitOpenings;
            logEvent(events::storeCircuitOpened,
                     {{"partition", fmt::to_string(partition)},
                      {"result", std::string(resultText(attempt.result))},
                      {"owner_reached", circuit.isIsolated ? "no" : "yes"},
                      {"waiting", fmt::to_string(load.records)}});
        } else if (change == CircuitChange::Closed) {
            logEvent(events::storeCircuitClosed,
                     {{"partition", fmt::to_string(partition)},
                      {"away_ms", fmt::to_string((now - failingSince).count())},
                      {"waiting", fmt::to_string(load.records)}});
            for (StoreCircuit &other : circuits) {
                if (other.isOpen) {
                    hastenProbe(other, name, now);
                }
            }
        }
    }

    Runtime &runtime;
    SubmissionHooks hooks;
    StoreHealth health;  // of the direct way
    std::vector<StoreCircuit> circuits;  // by partition
    // For attempts after the first one; by partition.
    std::vector<std::unique_ptr<GroupAppend>> retryAppends;
    std::map<std::uint64_t, Entry> entries;  // by number
    std::uint64_t lastNumber = 0;
    WaitingLoad load;
    std::optional<TimePoint> wakeAt;  // of the timer that is set
    bool isPlanDue = false;
    std::uint64_t retries = 0;
    std::uint64_t storedAfterRetry = 0;
    std::uint64_t givenUpUnknown = 0;
    std::uint64_t givenUpUnavailable = 0;
    std::uint64_t circuitOpenings = 0;
};

SubmissionStore::SubmissionStore(Runtime &runtime, SubmissionHooks hooks)
    : state_(std::make_shared<State>(runtime, std::move(hooks)))
{}

SubmissionStore::~SubmissionStore()
{
    state_->isClosed = true;
}

void SubmissionStore::store(StoredRecord record, ResponseKind successKind, Milliseconds remaining,
                            Respond respond)
{
    State::Entry entry;
    entry.pending.number = ++state_->lastNumber;
    entry.pending.key = record.key;
    entry.pending.partition = jobPartition(record, state_->runtime.settings.jobPartitions);
    entry.pending.bytes = storedBytes(record);
    entry.pending.receivedAt = steadyNow();
    entry.pending.endsAt = entry.pending.receivedAt + remaining;
    entry.record = std::move(record);
    entry.successKind = successKind;
    entry.respond = std::move(respond);
    state_->begin(std::move(entry));
}

std::string SubmissionStore::metrics() const
{
    std::string text = fmt::format(
            "poplar_submissions_waiting {}\n"
            "poplar_submissions_waiting_bytes {}\n"
            "poplar_submission_retries_total {}\n"
            "poplar_submissions_stored_after_retry_total {}\n"
            "poplar_submissions_given_up_total{{answer=\"unknown\"}} {}\n"
            "poplar_submissions_given_up_total{{answer=\"unavailable\"}} {}\n"
            "poplar_store_circuit_openings_total {}\n",
            state_->load.records, state_->load.bytes, state_->retries, state_->storedAfterRetry,
            state_->givenUpUnknown, state_->givenUpUnavailable, state_->circuitOpenings);
    for (std::size_t partition = 0; partition < state_->circuits.size(); ++partition) {
        text += fmt::format("poplar_store_circuit_open{{partition=\"{}\"}} {}\n", partition,
                            state_->circuits[partition].isOpen ? 1 : 0);
    }
    return text;
}

}  // namespace poplarstream::edge
