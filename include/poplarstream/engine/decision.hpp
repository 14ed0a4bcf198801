#pragma once

#include <array>  // for array
#include <cstddef>  // for size_t
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/jobs/model.hpp"  // for TaskRef, WorkerIncarnation

namespace poplarstream::engine {

enum class DecisionKind {
    TaskPlanned,
    TaskEnded,
    StartUnanswered,  // the start command got no response
    TaskReleased,  // isn't running and can't start any more
    TaskStopped,
    TaskStalled,  // makes no progress
    WorkerQuarantined,
    WorkerTrusted,  // a run has succeeded there after a quarantine
    WorkerEnded,  // its incarnation has ended
    WorkerUnresponsive,
    WorkerRecovered,
    LeaseLapsed,
    TaskLost,  // its worker ended while it ran or may have run there
    TaskGivenUp,  // after several crashes of its workers; its job goes on
    JobEnded,
    AccountHeld,  // something of it may not start because of its cap
    AccountFree,  // nothing has been held back for some time
    PairNamed,  // an image is known to slow another one down
    PairForgotten,
    TaskPaced,  // a filling task is to work below full pace, or at full pace again
    TaskUnplaced,  // tasks of a step wait although workers have room for them
    TaskSeparated,  // a filling task is moved away from serving ones
};

// How it is known that a run isn't running and can't start any more.
enum class ReleaseCause {
    NotListed,  // missing from the response to its decisive poll
    StartRejected,
    NotSent,
    StoppedBeforeStart,
    LeaseLapsed,
    WorkerEnded,
};

inline constexpr std::array allReleaseCauses = {
        ReleaseCause::NotListed,          ReleaseCause::StartRejected, ReleaseCause::NotSent,
        ReleaseCause::StoppedBeforeStart, ReleaseCause::LeaseLapsed,   ReleaseCause::WorkerEnded};

// The number of released runs by cause.
using ReleaseCounts = std::array<std::size_t, allReleaseCauses.size()>;

// How events and metrics name a cause.
std::string_view causeText(ReleaseCause cause);

// A decision and its inputs, for the decision log.
struct Decision
{
    DecisionKind kind = DecisionKind::TaskPlanned;
    jobs::TaskRef task;  // empty for decisions on workers
    int run = 0;
    jobs::WorkerId worker;
    std::string inputs;  // key=value pairs, with ages and versions
    std::optional<ReleaseCause> cause;  // of a release
    bool isFromPreviousOwner = false;  // of a release: whether the run was taken over
};

}  // namespace poplarstream::engine
