#pragma once

#include <filesystem>  // for path

#include "history/fleet_lines.hpp"  // for Events
#include "poplarstream/history/check.hpp"  // for CheckResult

namespace poplarstream::standins {

// Pools, budgets and absences from a replay of the control stream.
Events controlEvents(const std::filesystem::path &folder);

// The runs known at the end of a replay of the run streams of all zones.
Events knownRuns(const std::filesystem::path &folder);

// The configuration versions sampled from /status (status.jsonl).
Events statusEvents(const std::filesystem::path &folder);

// Checks that a granted configuration change is in force in every sample taken at least `limit`
// after the change, the first sample of the process, and the end of any fault that cut the process
// off from the log.
history::CheckResult checkConfigInForce(const std::filesystem::path &folder, Milliseconds limit);

}  // namespace poplarstream::standins
