#pragma once

#include <filesystem>  // for path

#include "history/fleet_lines.hpp"  // for Events
#include "poplarstream/history/check.hpp"  // for CheckResult

namespace poplarstream::standins {

// The replay of the control stream: pools, budgets and absences.
Events controlEvents(const std::filesystem::path &folder);

// The runs that the replay of the streams of all zones knows at the end.
Events knownRuns(const std::filesystem::path &folder);

// The versions that the samples of /status saw (status.jsonl).
Events statusEvents(const std::filesystem::path &folder);

// Every sample that is `limit` or more after a granted change, and after the first sample of its
// process and the end of a fault that kept the process from the log, shows the change.
history::CheckResult checkInForce(const std::filesystem::path &folder, Milliseconds limit);

}  // namespace poplarstream::standins
