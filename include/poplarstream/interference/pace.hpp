#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/jobs/model.hpp"  // for unknownPace

namespace poplarstream::interference {

// A filling task on a worker.
struct Filler
{
    int percent = jobs::unknownPace;  // that the worker has confirmed
    bool isHarmless = false;  // it is known not to slow down the tasks that are over their target
};

// What the pace of the filling tasks on one worker depends on.
struct PaceControl
{
    TimePoint decidedAt{};
    TimePoint overSince{};  // since when a target is missed; unset: none is
    TimePoint safeSince{};  // since when all targets are met with a margin; unset: they aren't
    TimePoint calmSince{};  // since when all targets are met; unset: they aren't
    TimePoint stoppedSince{};  // since when all filling tasks are at 0; unset: they aren't
    TimePoint releasedUntil{};  // they work on though a target is missed: they are not the cause
    TimePoint loweredAt{};
    int relapses = 0;  // times that a pace had to be lowered again soon
};

struct PaceDecision
{
    std::vector<std::optional<int>> percents;  // of each filling task; empty: no change
    // Nothing worked beside the serving tasks and a target was still missed.
    bool isNoEffect = false;
};

// Chooses the paces of the filling tasks on a worker. `load` is the highest tail latency of its
// serving tasks as a part of their target: 0 if there are none, empty if it is not known. Call it
// with each report. Decides at most every half second.
//
// A target that is missed lowers the paces to a quarter, and to 0 after a second; tasks known to be
// harmless come last. Paces rise step by step while the targets are met with a margin, later after
// each relapse. If a target is missed although nothing works beside the task, all work again, and
// are stopped for a moment every few seconds to see whether that is still so.
PaceDecision decidePaces(PaceControl &control, std::optional<double> load,
                         std::span<const Filler> fillers, TimePoint now);

}  // namespace poplarstream::interference
