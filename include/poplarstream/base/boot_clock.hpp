#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream {

// The time since the machine started, which goes on while the machine is suspended or the process
// is stopped, and is never set. Unlike std::chrono::steady_clock, which may stand still meanwhile,
// it tells whether a permission has run out during a pause.
TimePoint bootTime();

}  // namespace poplarstream
