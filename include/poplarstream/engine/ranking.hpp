#pragma once

#include <tuple>  // for tuple
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine, JobId

namespace poplarstream::engine {

// How much an occurrence can still earn.
enum class DeadlineClass {
    LongRunning,  // runs until it is cancelled and earns all the time
    OnTime,  // can still meet its objective
    Late,  // earns a little
    Expired,  // earns nothing, but has to be done
};

// A step of an occurrence with tasks that wait, and its place in line.
struct WaitingStep
{
    jobs::Job *job = nullptr;
    int occurrence = 0;
    int step = 0;
    DeadlineClass prospect = DeadlineClass::OnTime;
    int priority = 0;
    bool hasStarted = false;  // stopping half way would waste what is done
    TimePoint objective{};
};

DeadlineClass deadlineClassOf(const jobs::Job &job, const jobs::Occurrence &occurrence,
                              TimePoint now);

// The steps with waiting tasks of all jobs, by service, in the order in which they are served.
std::map<ServiceId, std::vector<WaitingStep>> rankWaitingSteps(Engine &engine, TimePoint now);

// The service that runs the job's tasks now.
const ServiceId &serviceOf(const Engine &engine, const jobs::Job &job);

}  // namespace poplarstream::engine
