#pragma once

#include <span>  // for span

#include "poplarstream/engine/placement.hpp"  // for LastResort, PlacementCandidate

namespace poplarstream::engine {

// Whether a task has waited for trusted workers for too long.
bool isHeldTooLong(const jobs::Task &task, TimePoint now);

// Which workers that are not trusted a task of `job` may get that no other worker can take.
//
// While half of the processors of `candidates` are in use or more, the work waits for them: only
// lasting tasks, whose failures are not limited, get a worker in quarantine. Otherwise a task is
// tried on one as soon as that is due, and one that has waited for trusted workers for too long
// gets any. The last attempt of a task is kept for trusted workers until then.
LastResort lastResortFor(const jobs::Job &job, const jobs::Task &task, const jobs::StepSpec &step,
                         std::span<const PlacementCandidate> candidates, TimePoint now);

// The same for all members of a gang, which start together.
LastResort lastResortForGang(const jobs::Job &job, std::span<const jobs::Task> members,
                             const jobs::StepSpec &step,
                             std::span<const PlacementCandidate> candidates, TimePoint now);

// Notes that the due tasks of a step wait beside workers that are not trusted.
void noteHeld(std::span<jobs::Task> tasks, TimePoint now);

}  // namespace poplarstream::engine
