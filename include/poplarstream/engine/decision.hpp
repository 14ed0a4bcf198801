#pragma once

#include <string>  // for string

#include "poplarstream/jobs/model.hpp"  // for TaskRef, WorkerIncarnation

namespace poplarstream::engine {

enum class DecisionKind {
    TaskPlanned,
    TaskEnded,
    TaskReleased,  // it does not run and never will
    TaskStopped,
    TaskStalled,  // it stands still
    WorkerQuarantined,
    WorkerEnded,  // its incarnation is over
    WorkerUnresponsive,
    WorkerRecovered,
    LeaseLapsed,
    JobEnded,
};

// What was decided and from what, for the log.
struct Decision
{
    DecisionKind kind = DecisionKind::TaskPlanned;
    jobs::TaskRef task;  // empty for decisions on workers
    int run = 0;
    jobs::WorkerId worker;
    std::string inputs;  // short text: what decided it, with ages and versions
};

}  // namespace poplarstream::engine
