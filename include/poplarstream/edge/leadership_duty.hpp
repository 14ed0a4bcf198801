#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/ownership/leadership.hpp"  // for Leadership

namespace poplarstream::edge {

// Called when this process becomes the owner or stops being it, and after each confirmed renewal.
struct LeadershipEvents
{
    std::function<void()> changed;
};

// Follows and writes the ownership log.
class LeadershipDuty
{
public:
    LeadershipDuty(Runtime &runtime, LeadershipEvents events);
    LeadershipDuty(const LeadershipDuty &) = delete;
    LeadershipDuty &operator=(const LeadershipDuty &) = delete;
    ~LeadershipDuty();

    const ownership::Leadership &leadership() const;

    // Whether there was an owner before this one, and whether it handed over.
    bool hasPredecessor() const;
    bool hasPredecessorResigned() const;

    // Renews at once, naming the machines that are to be ordered, and tells whether the store
    // confirmed it.
    void confirm(std::vector<std::string> machines, std::function<void(bool isConfirmed)> done);

    // When any owner last ordered each machine.
    const std::map<std::string, TimePoint> &recentMachineCommands() const;

    // Hands the ownership over and claims it no more.
    void leave();

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
