#include "poplarstream/edge/submission_retry.hpp"

#include <algorithm>  // for clamp, max, min, sort
#include <tuple>  // for tuple

#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream::edge {

namespace {

constexpr Milliseconds minDeadline{50};
// An entry host has 160 MB, and a waiting record of some kB has its caller's connection besides.
constexpr std::size_t maxWaitingRecords = 2000;
constexpr std::size_t maxWaitingBytes = 16'000'000;
constexpr Milliseconds longestWait{30'000};
// A caller whose time has passed may come back at once: it waits here then, and costs no call.
constexpr Milliseconds returnAfterWait{1000};
// Callers for whom there is no room come back within this time; most outages end meanwhile.
constexpr Milliseconds firstReturnToFullHost{1000};
constexpr std::uint64_t returnSpreadMs = 3000;

// When the caller gets its answer at the latest.
TimePoint answerAt(const PendingRecord &record, const StoreCircuit &circuit)
{
    const TimePoint end = record.endsAt - responseMargin;
    if (!circuit.isIsolated || record.isUnderWay) {
        return end;
    }
    return std::min(end, record.receivedAt + (record.endsAt - record.receivedAt) / 2);
}

// Nothing waits before the next attempt of a record that has not failed since the store came back.
bool isDue(const PendingRecord &record, const StoreCircuit &circuit, TimePoint now)
{
    return record.failedAttempts == 0 || circuit.closedAt > record.failedAt
           || record.failedAt + retryDelay(record.failedAttempts, record.key) <= now;
}

GiveUp giveUpAfter(const PendingRecord &record, Milliseconds retryAfter)
{
    return {record.number, record.mayBeStored || record.isUnderWay, retryAfter};
}

// Probes are first those that may be stored anyway: an attempt without a known outcome takes from
// any other the possibility of a refusal that is certain.
bool isBetterProbe(const PendingRecord &left, const PendingRecord &right)
{
    return std::tuple(!left.mayBeStored, left.endsAt, left.number)
           < std::tuple(!right.mayBeStored, right.endsAt, right.number);
}

// What waits for one partition.
struct PartitionQueue
{
    std::vector<const PendingRecord *> due;
    const PendingRecord *probe = nullptr;
    bool isProbed = false;  // an attempt is under way that began after the circuit opened
};

struct Planner
{
    std::span<const StoreCircuit> circuits;
    TimePoint now;
    RetryPlan plan;
    std::vector<PartitionQueue> queues;

    const StoreCircuit &circuitOf(const PendingRecord &record) const
    {
        return circuits[static_cast<std::size_t>(record.partition)];
    }

    void wakeAt(TimePoint time) { plan.wakeAt = plan.wakeAt ? std::min(*plan.wakeAt, time) : time; }

    void add(const PendingRecord &record)
    {
        const StoreCircuit &circuit = circuitOf(record);
        const TimePoint end = answerAt(record, circuit);
        // The deadlines of a first attempt end it in time.
        const bool isFirstAttempt = record.isUnderWay && record.failedAttempts == 0;
        PartitionQueue &queue = queues[static_cast<std::size_t>(record.partition)];
        queue.isProbed =
                queue.isProbed || (record.isUnderWay && record.startedAt >= circuit.openedAt);
        if (isFirstAttempt) {
            return;
        }
        if (end <= now) {
            plan.givenUp.push_back(giveUpAfter(record, returnAfterWait));
            return;
        }
        wakeAt(end);
        if (record.isUnderWay) {
            return;
        }
        if (circuit.isOpen) {
            if (queue.probe == nullptr || isBetterProbe(record, *queue.probe)) {
                queue.probe = &record;
            }
        } else if (isDue(record, circuit, now)) {
            queue.due.push_back(&record);
        } else {
            wakeAt(record.failedAt + retryDelay(record.failedAttempts, record.key));
        }
    }

    void finish(const PartitionQueue &queue, const StoreCircuit &circuit,
                std::vector<const PendingRecord *> &attempts)
    {
        attempts.insert(attempts.end(), queue.due.begin(), queue.due.end());
        if (queue.probe == nullptr || queue.isProbed) {
            return;
        }
        if (circuit.probeAt <= now) {
            attempts.push_back(queue.probe);
        } else {
            wakeAt(circuit.probeAt);
        }
    }
};

}  // namespace

Milliseconds callDeadline(Milliseconds limit, Milliseconds remaining)
{
    return std::max(std::min(limit, remaining - responseMargin), minDeadline);
}

TimePoint callerEnd(TimePoint receivedAt, Milliseconds remaining)
{
    return receivedAt + std::clamp(remaining, Milliseconds{0}, longestWait);
}

bool mayWait(const WaitingLoad &load, std::size_t bytes)
{
    return load.records < maxWaitingRecords && load.bytes + bytes <= maxWaitingBytes;
}

GiveUp giveUpForWantOfRoom(const PendingRecord &record)
{
    const auto spread = static_cast<std::int64_t>(stableHash(record.key) % returnSpreadMs);
    return giveUpAfter(record, firstReturnToFullHost + Milliseconds(spread));
}

StorePath nextPath(const PendingRecord &record, const StoreCircuit &circuit)
{
    if (!circuit.isOpen && circuit.lastSuccess != TimePoint{}
        && circuit.lastSuccess >= record.receivedAt) {
        return circuit.lastSuccessPath;
    }
    const int turn = circuit.isOpen ? circuit.failedProbes : record.failedAttempts;
    return turn % 2 == 0 ? StorePath::ThroughOwner : StorePath::Direct;
}

RetryPlan planRetries(std::span<const PendingRecord *const> records,
                      std::span<const StoreCircuit> circuits, TimePoint now)
{
    Planner planner{circuits, now, {}, std::vector<PartitionQueue>(circuits.size())};
    for (const PendingRecord *const record : records) {
        planner.add(*record);
    }
    std::vector<const PendingRecord *> attempts;
    for (std::size_t i = 0; i < circuits.size(); ++i) {
        planner.finish(planner.queues[i], circuits[i], attempts);
    }
    std::sort(attempts.begin(), attempts.end(),
              [](const PendingRecord *left, const PendingRecord *right) {
                  return std::tuple(left->endsAt, left->number)
                         < std::tuple(right->endsAt, right->number);
              });
    for (const PendingRecord *const record : attempts) {
        planner.plan.attempts.push_back(record->number);
    }
    return std::move(planner.plan);
}

}  // namespace poplarstream::edge
