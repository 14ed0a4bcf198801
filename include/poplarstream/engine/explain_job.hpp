#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/engine/state.hpp"  // for Engine, JobId

namespace poplarstream::engine {

// Says in sentences what the job's tasks do or wait for, and which workers with room don't get
// them. Empty if the job is not known here.
std::vector<std::string> explainJob(Engine &engine, const JobId &id, TimePoint now);

}  // namespace poplarstream::engine
