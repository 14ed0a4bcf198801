#pragma once

#include <filesystem>  // for path

#include "history/fleet_lines.hpp"  // for Events

namespace poplarstream::standins {

// What callers asked and were answered. An urgent request that was refused as not-run or answered
// as ran counts as a run whose id is its nonce, so that its verdict is checked as well.
Events callerEvents(const std::filesystem::path &folder);

// Planned stops of entry hosts (faults.jsonl), and the requests whose connection to one of them
// ended without an answer after its stop began.
Events stoppedEntryEvents(const std::filesystem::path &folder);

}  // namespace poplarstream::standins
