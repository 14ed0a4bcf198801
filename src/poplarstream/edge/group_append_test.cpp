#include "poplarstream/edge/group_append.hpp"

#include <algorithm>  // for any_of, count

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/edge/store_health.hpp"  // for StoreHealth

namespace poplarstream::edge {
namespace {

// A store that records calls until the test responds to them.
struct Store
{
    std::vector<AppendRequest> requests;
    std::vector<std::function<void(AppendOutcome)>> callbacks;

    StorePort port()
    {
        StorePort port;
        port.append = [this](AppendRequest request, std::function<void(AppendOutcome)> done) {
            requests.push_back(std::move(request));
            callbacks.push_back(std::move(done));
        };
        return port;
    }
};

struct Callers
{
    explicit Callers(int partitions = 1)
        : appends(store.port(), {2, partitions}, Milliseconds{800}, 2'097'152)
    {}

    void append(const std::string &key, std::size_t bytes = 10)
    {
        appends.append({{key, std::string(bytes, 'x'), 0}},
                       [this](const AppendOutcome &outcome) { results.push_back(outcome.result); });
    }

    Store store;
    GroupAppend appends;
    std::vector<AppendResult> results;
};

// Guards against a slow store that rejects most of the submissions that arrive at once.
TEST(GroupAppend, WhatWaitsGoesTogether)
{
    Callers callers;
    for (int i = 0; i < 50; ++i) {
        callers.append("job" + std::to_string(i));
    }
    const std::size_t calls = callers.store.requests.size();
    EXPECT_LT(calls, 10U);
    {
        SCOPED_TRACE("when a call ends, the waiting records share one call, in order of arrival");
        callers.store.callbacks[0]({AppendResult::Stored, 1});
        ASSERT_EQ(callers.store.requests.size(), calls + 1);
        const auto &records = callers.store.requests.back().records;
        ASSERT_EQ(records.size(), 50 - calls);
        EXPECT_EQ(callers.store.requests.back().partition, 2);
        EXPECT_EQ(records.front().key, "job" + std::to_string(calls));
        EXPECT_EQ(records.back().key, "job49");
    }
    {
        SCOPED_TRACE("each caller gets the result of its own call");
        callers.store.callbacks.back()({AppendResult::Unknown, 0});
        ASSERT_EQ(callers.results.size(), 1 + 50 - calls);
        EXPECT_EQ(callers.results[0], AppendResult::Stored);
        EXPECT_EQ(callers.results[1], AppendResult::Unknown);
    }
}

// Guards against one submission that takes others with it: the store refuses a call as a whole.
TEST(GroupAppend, RefusedRecordAffectsNoOther)
{
    Callers callers;
    for (int i = 0; i < 10; ++i) {
        callers.append("job" + std::to_string(i));
    }
    const auto isRefused = [](const AppendRequest &request) {
        return std::any_of(request.records.begin(), request.records.end(),
                           [](const StoredRecord &record) { return record.key == "job7"; });
    };
    for (std::size_t i = 0; i < callers.store.callbacks.size(); ++i) {
        callers.store.callbacks[i]({isRefused(callers.store.requests[i]) ? AppendResult::Refused
                                                                         : AppendResult::Stored,
                                    1});
    }
    EXPECT_EQ(callers.results.size(), 10U);
    EXPECT_EQ(std::count(callers.results.begin(), callers.results.end(), AppendResult::Refused), 1);
}

// Guards against calls that the store rejects because they are too large.
TEST(GroupAppend, LargeRecordsAreSplit)
{
    Callers callers;
    for (int i = 0; i < 24; ++i) {
        callers.append("job" + std::to_string(i), 250'000);
    }
    for (std::size_t i = 0; i < callers.store.callbacks.size(); ++i) {
        std::size_t bytes = 0;
        for (const StoredRecord &record : callers.store.requests[i].records) {
            bytes += record.value->size();
        }
        EXPECT_LT(bytes, 2'000'000U);
        const auto respond = callers.store.callbacks[i];
        respond({AppendResult::Stored, 1});
    }
    EXPECT_EQ(callers.results.size(), 24U);
}

// Guards against an owner that fills its memory with what other entry hosts send it while the store
// is slow.
TEST(GroupAppend, WhatWaitsIsBounded)
{
    const auto refusedOf = [](int partitions) {
        Callers callers(partitions);
        for (int i = 0; i < 300; ++i) {
            callers.append("job" + std::to_string(i), 100'000);
        }
        return std::count(callers.results.begin(), callers.results.end(), AppendResult::NotDone);
    };
    EXPECT_GT(refusedOf(1), 100);
    EXPECT_LT(refusedOf(1), 150) << "16 MB wait";
    EXPECT_GT(refusedOf(4), 230) << "4 MB, since three other partitions wait as well";
    EXPECT_LT(refusedOf(4), 270);
}

TEST(StoreHealth, SlowAndFailedCallsAreTrouble)
{
    StoreHealth health;
    const TimePoint sent = timePoint(1'000'000);
    health.begin(sent);
    EXPECT_FALSE(health.isDegraded(sent + Milliseconds{100}));
    {
        SCOPED_TRACE("a slow call in flight");
        EXPECT_TRUE(health.isDegraded(sent + Milliseconds{400}));
    }
    {
        SCOPED_TRACE("for some time after a slow call that was stored");
        health.end(sent, true, sent + Milliseconds{500});
        EXPECT_TRUE(health.isDegraded(sent + Milliseconds{2000}));
        EXPECT_FALSE(health.isDegraded(sent + Milliseconds{3000}));
    }
    {
        SCOPED_TRACE("a fast call that failed degrades, a fast call that was stored does not");
        const TimePoint again = sent + Milliseconds{5000};
        health.begin(again);
        health.end(again, true, again + Milliseconds{10});
        EXPECT_FALSE(health.isDegraded(again + Milliseconds{10}));
        health.begin(again);
        health.end(again, false, again + Milliseconds{10});
        EXPECT_TRUE(health.isDegraded(again + Milliseconds{10}));
    }
}

}  // namespace
}  // namespace poplarstream::edge
