#pragma once

#include <cstddef>  // for size_t
#include <map>  // for map
#include <string>  // for string
#include <utility>  // for pair

#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// Finds the steps of which a task has been waiting for some seconds although workers have room for
// it, counts its tasks and records why they got none. Each wait is recorded once. Does so at most
// once a second, in bounded time.
void reviewUnplacedTasks(Engine &engine, TimePoint now);

// The number of steps that are reported and whose tasks still wait.
std::size_t reportedSteps(const Engine &engine);

// For how long the tasks of a service have been waiting although workers have room for them, by
// what keeps them off most of these workers: the longest wait of each, as of the last review.
std::map<std::pair<ServiceId, std::string>, Milliseconds> longestWaits(const Engine &engine,
                                                                       TimePoint now);

}  // namespace poplarstream::engine
