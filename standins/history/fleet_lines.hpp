#pragma once

#include <filesystem>  // for path
#include <vector>  // for vector

#include "poplarstream/history/event.hpp"  // for Event

namespace poplarstream::standins {

using Events = std::vector<history::Event>;

// What the workers and minions saw: executions, new work, drains, reboots and cut requests. An
// idempotent urgent request that was executed several times counts once.
Events executionEvents(const std::filesystem::path &folder);

// Absences as the fleet saw them, by the pool in the document, with the budgets of the document.
Events seenAbsences(const std::filesystem::path &folder);

}  // namespace poplarstream::standins
