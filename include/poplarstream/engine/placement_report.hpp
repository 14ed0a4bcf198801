#pragma once

#include <map>  // for map
#include <string>  // for string

#include "poplarstream/engine/placement.hpp"  // for PlacementObstacle
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::engine {

// What the workers of a service hold against the waiting tasks of one step.
struct PlacementReport
{
    int waiting = 0;  // tasks that are due and have no run
    int workers = 0;  // of the service, in the registry
    int withRoom = 0;  // of them, with capacity, label and limit for at least one of the tasks
    int slots = 0;  // tasks of the step that fit on these, at most `waiting` on each
    std::map<PlacementObstacle, int> obstacles;  // number of workers with room by obstacle
};

PlacementReport reportPlacement(Engine &engine, const jobs::Job &job, int occurrence, int step,
                                TimePoint now);

// The obstacle that holds for most of the workers with room, as in a log line.
std::string mainObstacle(const PlacementReport &report);

// The obstacles of a report as fields of a log line, each with a space before it.
std::string obstacleFields(const PlacementReport &report);

// The same in words, without a final stop.
std::string obstacleSentence(const PlacementReport &report);

}  // namespace poplarstream::engine
