#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <vector>  // for vector

#include "poplarstream/edge/ports.hpp"  // for StorePort, StoredRecord

namespace poplarstream::edge {

// Appends to the job log with few calls at a time; what comes meanwhile goes together in the next
// one. The store takes the appends of a log one by one, so a slow store would refuse callers who
// each bring a call of their own.
class GroupAppend
{
public:
    GroupAppend(StorePort store, Milliseconds deadline);
    GroupAppend(const GroupAppend &) = delete;
    GroupAppend &operator=(const GroupAppend &) = delete;
    ~GroupAppend();

    // The outcome is that of the call that took the records.
    void append(std::vector<StoredRecord> records, std::function<void(AppendOutcome)> done);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
