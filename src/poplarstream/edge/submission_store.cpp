#include "poplarstream/edge/submission_store.hpp"

#include <algorithm>  // for min
#include <map>  // for map
#include <vector>  // for vector

#include <fmt/format.h>  // for format, to_string

#include "poplarstream/edge/closable.hpp"  // for Closable
#include "poplarstream/edge/stored_jobs.hpp"  // for jobPartition
#include "poplarstream/edge/submission_retry.hpp"  // for planRetries, PendingRecord
#include "poplarstream/telemetry/event_kinds.hpp"  // for storeCircuitOpened, storeCircuitClosed

namespace poplarstream::edge {

struct SubmissionStore::State : Closable<SubmissionStore::State>
{
    struct Entry
    {
        PendingRecord pending;
        std::shared_ptr<const StoredRecord> record;
        ResponseKind successKind = ResponseKind::Accepted;
        Respond respond;
        bool isWaiting = false;  // counted in `load`
    };

    State(Runtime &sharedRuntime, SubmissionHooks hooks)
        : runtime(sharedRuntime)
        , attempts(sharedRuntime, std::move(hooks))
        , circuits(static_cast<std::size_t>(runtime.settings.jobPartitions))
    {}

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

    void tryFirst(Entry &entry) { attempts.tryFirst(recordOf(entry), attemptDone(entry)); }

    void tryAgain(Entry &entry)
    {
        ++retries;
        const StorePath path = nextPath(entry.pending, circuitOf(entry.pending));
        attempts.tryAgain(recordOf(entry), path, attemptDone(entry));
    }

    static RecordToStore recordOf(const Entry &entry)
    {
        return {entry.record, entry.pending.partition, entry.pending.endsAt};
    }

    // Marks an entry as under way until the callback is called.
    StoreAttemptDone attemptDone(Entry &entry)
    {
        entry.pending.isUnderWay = true;
        entry.pending.startedAt = steadyNow();
        return this->guarded(
                [number = entry.pending.number, partition = entry.pending.partition,
                 startedAt = entry.pending.startedAt](State &self, const StoreAttempt &attempt) {
                    if (attempt.result != AppendResult::Refused) {
                        self.observe(partition, attempt, startedAt);
                    }
                    self.endAttempt(number, attempt);
                });
    }

    void endAttempt(std::uint64_t number, const StoreAttempt &attempt)
    {
        const auto found = entries.find(number);
        if (found != entries.end()) {
            endAttempt(found->second, attempt);
        }
        if (load.records > 0) {
            planSoon();
        }
    }

    void endAttempt(Entry &entry, const StoreAttempt &attempt)
    {
        const std::uint64_t number = entry.pending.number;
        entry.pending.isUnderWay = false;
        if (attempt.result == AppendResult::Stored) {
            storedAfterRetry += entry.pending.failedAttempts > 0 ? 1 : 0;
            Response response;
            response.kind = entry.successKind;
            finish(number, response);
        } else if (attempt.result == AppendResult::Refused) {
            Response response;
            // An earlier attempt may have been stored, so that the job runs.
            response.kind =
                    entry.pending.mayBeStored ? ResponseKind::Unknown : ResponseKind::BadRequest;
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
        if (!isPlanDue) {
            isPlanDue = true;
            callAfter(runtime, Milliseconds{0}, this->guarded([](State &self) {
                self.isPlanDue = false;
                self.plan();
            }));
        }
    }

    // Adds an attempt to what is known of the partition.
    void observe(int partition, const StoreAttempt &attempt, TimePoint startedAt)
    {
        const bool isStored = attempt.result == AppendResult::Stored;
        const TimePoint now = steadyNow();
        StoreCircuit &circuit = circuits[static_cast<std::size_t>(partition)];
        const TimePoint failingSince = circuit.failingSince;
        const std::string &name = runtime.settings.name.text();
        const CircuitChange change =
                isStored ? recordSuccess(circuit, attempt.path, now)
                         : recordFailure(circuit, {startedAt, attempt.hasReachedOwner}, name, now);
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
    StoreAttempts attempts;
    std::vector<StoreCircuit> circuits;  // by partition
    std::map<std::uint64_t, Entry> entries;  // by number
    std::uint64_t lastNumber = 0;
    WaitingLoad load;
    std::optional<TimePoint> wakeAt;  // of the timer that is set
    bool isPlanDue = false;
    TimePoint processEnd = TimePoint::max();  // callers are answered before
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
    entry.pending.endsAt =
            std::min(callerEnd(entry.pending.receivedAt, remaining), state_->processEnd);
    entry.record = std::make_shared<const StoredRecord>(std::move(record));
    entry.successKind = successKind;
    entry.respond = std::move(respond);
    state_->begin(std::move(entry));
}

void SubmissionStore::endBy(TimePoint end)
{
    state_->processEnd = end;
    for (auto &[number, entry] : state_->entries) {
        entry.pending.endsAt = std::min(entry.pending.endsAt, end);
    }
    state_->planSoon();
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
