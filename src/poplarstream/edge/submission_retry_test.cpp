#include "poplarstream/edge/submission_retry.hpp"

#include <algorithm>  // for all_of, count_if, is_sorted
#include <functional>  // for function
#include <map>  // for map

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

constexpr Milliseconds step{10};  // also the time that an attempt takes
const TimePoint start = timePoint(1'000'000);

struct Result
{
    bool isStored = false;
    bool isGivenUp = false;
    bool isUnknown = false;  // what its caller is told if it is given up
    TimePoint endedAt{};
};

// The callers of one process and their attempts at a store that resets connections while `isAway`:
// the outcome of a failed attempt is not known.
struct Callers
{
    std::function<bool(TimePoint)> isAway;
    TimePoint now = start;
    std::vector<StoreCircuit> circuits{1};
    std::map<std::uint64_t, PendingRecord> pending;
    std::map<std::uint64_t, Result> results;
    std::map<TimePoint, std::size_t> attempts;  // begun at that time
    std::map<TimePoint, std::vector<TimePoint>> retriedEnds;  // of callers
    std::uint64_t last = 0;

    void submit(Milliseconds remaining)
    {
        PendingRecord record;
        record.number = ++last;
        record.key = "job" + std::to_string(last);
        record.receivedAt = now;
        record.endsAt = now + remaining;
        if (!circuits[0].isOpen) {
            begin(record);
        }
        pending[last] = record;
    }

    void begin(PendingRecord &record)
    {
        record.isUnderWay = true;
        record.startedAt = now;
        ++attempts[now];
    }

    void endAttempts()
    {
        for (auto &[number, record] : pending) {
            if (!record.isUnderWay || record.startedAt + step > now) {
                continue;
            }
            record.isUnderWay = false;
            if (!isAway(record.startedAt)) {
                recordSuccess(circuits[0], StorePath::Direct, now);
                results[number] = {true, false, false, now};
                continue;
            }
            recordFailure(circuits[0], {record.startedAt, true}, "edge-1", now);
            ++record.failedAttempts;
            record.failedAt = now;
            record.mayBeStored = true;
        }
        std::erase_if(pending, [this](const auto &item) { return results.contains(item.first); });
    }

    void plan()
    {
        std::vector<const PendingRecord *> records;
        for (const auto &[number, record] : pending) {
            records.push_back(&record);
        }
        const RetryPlan plan = planRetries(records, circuits, now);
        for (const GiveUp &decision : plan.givenUp) {
            EXPECT_EQ(decision.mayBeStored, pending[decision.number].failedAttempts > 0);
            results[decision.number] = {false, true, decision.mayBeStored, now};
            pending.erase(decision.number);
        }
        for (const std::uint64_t number : plan.attempts) {
            begin(pending[number]);
            retriedEnds[now].push_back(pending[number].endsAt);
        }
    }

    // Goes on until `end`, with a submission each `interval` until `lastArrival`.
    void runUntil(TimePoint end, Milliseconds interval = {}, TimePoint lastArrival = {},
                  Milliseconds remaining = {})
    {
        for (; now < end; now += step) {
            endAttempts();
            if (now < lastArrival && (now - start) % interval < step) {
                submit(remaining);
            }
            plan();
        }
    }

    std::size_t attemptsBetween(TimePoint from, TimePoint to) const
    {
        std::size_t count = 0;
        for (const auto &[time, number] : attempts) {
            count += time >= from && time < to ? number : 0;
        }
        return count;
    }

    std::size_t stored() const
    {
        return static_cast<std::size_t>(
                std::count_if(results.begin(), results.end(),
                              [](const auto &item) { return item.second.isStored; }));
    }
};

// Guards against callers that spend all their retries while the store is away for seconds, and
// against a herd when it is back: 30 submissions a second, a store that resets everything for 4 s.
TEST(SubmissionRetry, CallersWaitForAStoreThatResetsEverything)
{
    const TimePoint away = start + Milliseconds{1000};
    const TimePoint back = start + Milliseconds{5000};
    Callers callers;
    callers.isAway = [away, back](TimePoint at) { return at >= away && at < back; };
    {
        SCOPED_TRACE("given callers that wait 6 s, all submissions are stored");
        callers.runUntil(start + Milliseconds{8000}, Milliseconds{30}, start + Milliseconds{6000},
                         Milliseconds{6000});
        EXPECT_EQ(callers.stored(), callers.last);
        EXPECT_TRUE(callers.pending.empty());
    }
    {
        SCOPED_TRACE("the store that is away is asked by one caller at a time, which waits");
        EXPECT_LT(callers.attemptsBetween(away + Milliseconds{300}, back), 25U);
        for (const auto &[time, count] : callers.attempts) {
            EXPECT_TRUE(count == 1 || time >= back || time < away + Milliseconds{300});
        }
    }
    {
        SCOPED_TRACE("when it is back, all are stored within half a second, least time first");
        for (const auto &[number, result] : callers.results) {
            EXPECT_LE(result.endedAt,
                      std::max(back + Milliseconds{500},
                               start + Milliseconds{30} * static_cast<std::int64_t>(number + 1)));
        }
        for (const auto &[time, ends] : callers.retriedEnds) {
            EXPECT_TRUE(std::is_sorted(ends.begin(), ends.end()));
        }
    }
}

// Guards against a job that is told to run never, and runs: only what was never sent is refused.
TEST(SubmissionRetry, ARefusalIsCertain)
{
    Callers callers;
    callers.isAway = [](TimePoint) { return true; };
    callers.runUntil(start + Milliseconds{6000}, Milliseconds{30}, start + Milliseconds{2000},
                     Milliseconds{3000});
    ASSERT_EQ(callers.results.size(), callers.last);
    std::size_t refused = 0;
    for (const auto &[number, result] : callers.results) {
        EXPECT_TRUE(result.isGivenUp);
        refused += result.isUnknown ? 0 : 1;
    }
    EXPECT_GT(refused, callers.last / 2) << "probes are sent for jobs that were sent before";
}

// Guards against a store that returns for a moment and is met by everything that waits, again and
// again: a second loss during the recovery opens the circuit at once.
TEST(SubmissionRetry, SecondLossDuringTheRecovery)
{
    const TimePoint back = start + Milliseconds{2000};
    const TimePoint again = start + Milliseconds{2600};
    const TimePoint end = start + Milliseconds{4000};
    Callers callers;
    callers.isAway = [=](TimePoint at) { return at < back || (at >= again && at < end); };
    callers.runUntil(start + Milliseconds{7000}, Milliseconds{30}, start + Milliseconds{6000},
                     Milliseconds{6000});
    EXPECT_EQ(callers.stored(), callers.last);
    EXPECT_LT(callers.attemptsBetween(again, end), 15U);
}

// Guards against a held response: a caller with 300 ms left is answered in its time.
TEST(SubmissionRetry, AnswerInTheCallersTime)
{
    Callers callers;
    callers.isAway = [](TimePoint) { return true; };
    callers.submit(Milliseconds{300});
    callers.runUntil(start + Milliseconds{400});
    ASSERT_TRUE(callers.results.contains(1));
    EXPECT_TRUE(callers.results[1].isUnknown);
    EXPECT_LE(callers.results[1].endedAt, start + Milliseconds{300} - responseMargin + step);
    {
        SCOPED_TRACE("given a host that reaches neither the store nor the owner, others may help");
        PendingRecord record;
        record.endsAt = start + Milliseconds{3000};
        record.receivedAt = start;
        StoreCircuit circuit;
        for (int failure = 1; failure <= 3; ++failure) {
            recordFailure(circuit, {start, false}, "edge-1", start + step * failure);
        }
        const PendingRecord *const records[] = {&record};
        const std::vector<StoreCircuit> circuits{circuit};
        EXPECT_TRUE(planRetries(records, circuits, start + Milliseconds{1400}).givenUp.empty());
        EXPECT_EQ(planRetries(records, circuits, start + Milliseconds{1500}).givenUp.size(), 1U);
    }
}

// Guards against a header of a caller that overflows the time until which it waits.
TEST(SubmissionRetry, AbsurdRemainingTime)
{
    EXPECT_EQ(callerEnd(start, Milliseconds::max()), start + Milliseconds{30'000});
    EXPECT_EQ(callerEnd(start, Milliseconds::min()), start);
    EXPECT_EQ(callerEnd(start, Milliseconds{2500}), start + Milliseconds{2500});
}

// Guards against a process that fills its memory with what waits, and against callers that it
// turned away and that come back together.
TEST(SubmissionRetry, WhatWaitsIsBounded)
{
    EXPECT_TRUE(mayWait({1999, 1'000'000}, 5000));
    EXPECT_FALSE(mayWait({2000, 1'000'000}, 5000));
    EXPECT_FALSE(mayWait({10, 15'999'000}, 5000));
    std::map<std::int64_t, int> returns;  // by second
    for (int i = 0; i < 300; ++i) {
        PendingRecord record;
        record.key = "job" + std::to_string(i);
        ++returns[giveUpForWantOfRoom(record).retryAfter / Milliseconds{1000}];
    }
    EXPECT_EQ(returns.size(), 3U);
    EXPECT_TRUE(std::all_of(returns.begin(), returns.end(),
                            [](const auto &item) { return item.second > 60; }));
}

// Guards against a store that is slow: an attempt that began before the last success and ends after
// it, without an answer, does not make the store away.
TEST(StoreCircuit, LateFailuresOfASlowStore)
{
    StoreCircuit circuit;
    EXPECT_EQ(recordSuccess(circuit, StorePath::Direct, start + Milliseconds{500}),
              CircuitChange::None);
    for (int i = 0; i < 10; ++i) {
        recordFailure(circuit, {start, true}, "edge-1", start + Milliseconds{1000 + i});
    }
    EXPECT_FALSE(circuit.isOpen);
    {
        SCOPED_TRACE("three that began after it do");
        for (int i = 0; i < 3; ++i) {
            recordFailure(circuit, {start + Milliseconds{600}, true}, "edge-1",
                          start + Milliseconds{1600 + i});
        }
        EXPECT_TRUE(circuit.isOpen);
    }
}

}  // namespace
}  // namespace poplarstream::edge
