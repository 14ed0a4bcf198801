#pragma once

#include <string>  // for string

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
    WorkerEnded,  // its incarnation has ended
    WorkerUnresponsive,
    WorkerRecovered,
    LeaseLapsed,
    TaskLost,  // its worker ended while it ran or may have run there
    TaskGivenUp,  // after several crashes of its workers; its job goes on
    JobEnded,
};

// A decision and its inputs, for the decision log.
struct Decision
{
    DecisionKind kind = DecisionKind::TaskPlanned;
    jobs::TaskRef task;  // empty for decisions on workers
    int run = 0;
    jobs::WorkerId worker;
    std::string inputs;  // key=value pairs, with ages and versions
};

}  // namespace poplarstream::engine
