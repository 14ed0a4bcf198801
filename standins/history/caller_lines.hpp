#pragma once

#include <filesystem>  // for path

#include "history/fleet_lines.hpp"  // for Events

namespace poplarstream::standins {

// The requests and responses that callers recorded. An urgent request with verdict not-run or ran
// counts as a run with its nonce as id, so that the verdict is checked as well.
Events callerEvents(const std::filesystem::path &folder);

// Planned stops of entry hosts (faults.jsonl), and the requests to one of them that ended without a
// response after its stop began.
Events stoppedEntryEvents(const std::filesystem::path &folder);

}  // namespace poplarstream::standins
