#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/runtime.hpp"  // for Runtime

namespace poplarstream::edge {

// Finds out into how many shards a new deployment is to be divided: by the number of machines in
// the platform's list, or of workers in the registry if the list cannot be read for some time. A
// deployment with progress of an earlier version, which knew no division, has one shard.
class DivisionChoice
{
public:
    // Calls `done` once.
    DivisionChoice(Runtime &runtime, std::function<void(int shardCount)> done);
    DivisionChoice(const DivisionChoice &) = delete;
    DivisionChoice &operator=(const DivisionChoice &) = delete;
    // Does not call `done` afterwards.
    ~DivisionChoice();

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
