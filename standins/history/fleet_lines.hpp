#pragma once

#include <filesystem>  // for path
#include <vector>  // for vector

#include "poplarstream/history/event.hpp"  // for Event

namespace poplarstream::standins {

using Events = std::vector<history::Event>;

// The events recorded by workers and minions: executions, new work, drains, reboots and cut
// requests. An idempotent urgent request that was executed several times counts once.
Events executionEvents(const std::filesystem::path &folder);

// Absences as recorded by the fleet, with the pools and budgets of the configuration file.
Events observedAbsences(const std::filesystem::path &folder);

}  // namespace poplarstream::standins
