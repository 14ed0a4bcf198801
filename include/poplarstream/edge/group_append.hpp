#pragma once

#include <cstddef>  // for size_t
#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <vector>  // for vector

#include "poplarstream/edge/ports.hpp"  // for StorePort, StoredRecord

namespace poplarstream::edge {

// One of the partitions of the job log.
struct JobPartition
{
    int index = 0;
    int count = 1;  // of all partitions
};

// Appends to one partition of the job log with a few calls at a time; records that arrive meanwhile
// share the next call. The store processes the appends of a log one by one, so a slow store would
// reject callers if each had a call of its own. Records that the store refuses for good do not
// affect those that shared their call.
class GroupAppend
{
public:
    // More than one call in flight, so that a lost response does not delay the records after it.
    static constexpr int defaultCallsInFlight = 4;

    // `maxCallBytes` is what the store takes in one call. What waits is bounded for all partitions
    // together; each has an equal part, so that a slow one takes nothing from the others.
    GroupAppend(StorePort store, JobPartition partition, Milliseconds deadline,
                std::size_t maxCallBytes, int maxCallsInFlight = defaultCallsInFlight);
    GroupAppend(const GroupAppend &) = delete;
    GroupAppend &operator=(const GroupAppend &) = delete;
    ~GroupAppend();

    // Calls `done` with the outcome of the call that contained the records; with NotDone at once if
    // too much waits already.
    void append(std::vector<StoredRecord> records, std::function<void(AppendOutcome)> done);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
