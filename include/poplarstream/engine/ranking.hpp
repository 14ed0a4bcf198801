#pragma once

#include <tuple>  // for tuple
#include <vector>  // for vector

#include "poplarstream/accounts/shares.hpp"  // for ShareRank
#include "poplarstream/engine/state.hpp"  // for Engine, JobId

namespace poplarstream::engine {

// Classes of occurrences by whether they can meet their objective, in order of preference.
enum class DeadlineClass {
    LongRunning,  // runs until cancelled
    OnTime,  // can meet its objective
    Late,  // misses its objective but still has some value
    Expired,  // too late to have value, but must still be done
};

// A step with waiting tasks, and the values that it is ranked by.
struct WaitingStep
{
    jobs::Job *job = nullptr;
    int occurrence = 0;
    int step = 0;
    DeadlineClass deadlineClass = DeadlineClass::OnTime;
    int priority = 0;
    accounts::ShareRank share = accounts::ShareRank::Within;  // of its account in its pool
    bool hasStarted = false;  // preferred, since leaving it unfinished wastes the work done
    TimePoint objective{};
};

DeadlineClass deadlineClassOf(const jobs::Job &job, const jobs::Occurrence &occurrence,
                              TimePoint now);

// The steps of all jobs that have waiting tasks, by service, highest rank first.
std::map<ServiceId, std::vector<WaitingStep>> rankWaitingSteps(Engine &engine, TimePoint now);

// The service that runs the job's tasks under the current configuration.
const ServiceId &serviceOf(const Engine &engine, const jobs::Job &job);

}  // namespace poplarstream::engine
