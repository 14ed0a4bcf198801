#pragma once

#include <string>  // for string

#include "poplarstream/jobs/model.hpp"  // for TaskRef, WorkerLife

namespace poplarstream::engine {

enum class DecisionKind {
    TaskPlanned,
    TaskEnded,
    TaskReleased,  // it does not run and never will
    TaskStopped,
    TaskRelieved,  // it stands still
    WorkerSuspected,
    WorkerEnded,  // its life is over
    WorkerSilent,
    WorkerBack,
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
