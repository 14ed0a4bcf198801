#include "poplarstream/edge/session_metrics.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/edge/account_metrics.hpp"  // for accountMetrics
#include "poplarstream/engine/unplaced_tasks.hpp"  // for reportedSteps, longestWaits
#include "poplarstream/engine/worker_health.hpp"  // for quarantinedWorkers

namespace poplarstream::edge {

std::string sessionMetrics(const engine::Engine &engine, int shard, std::uint64_t unusableEntries,
                           std::size_t withoutJob, TimePoint now)
{
    std::string text = fmt::format("poplar_jobs_known{{shard=\"{0}\"}} {1}\n"
                                   "poplar_jobs_active{{shard=\"{0}\"}} {2}\n"
                                   "poplar_workers{{shard=\"{0}\"}} {3}\n"
                                   "poplar_registry_entries_unreadable_total{{shard=\"{0}\"}} {4}\n"
                                   "poplar_tasks_lost_total{{shard=\"{0}\"}} {5}\n"
                                   "poplar_runs_adopted{{shard=\"{0}\"}} {6}\n"
                                   "poplar_progress_without_job{{shard=\"{0}\"}} {7}\n"
                                   "poplar_jobs_held{{shard=\"{0}\"}} {8}\n",
                                   shard, engine.jobs.size(), engine.active.size(),
                                   engine.workers.size(), unusableEntries, engine.tasksLost,
                                   engine.runsAdopted, withoutJob, engine.jobsHeld);
    text += fmt::format("poplar_image_pairs{{shard=\"{0}\"}} {1}\n"
                        "poplar_image_pairs_harmful{{shard=\"{0}\"}} {2}\n"
                        "poplar_pace_commands_total{{shard=\"{0}\"}} {3}\n"
                        "poplar_tasks_separated_total{{shard=\"{0}\"}} {4}\n"
                        "poplar_steps_unplaced{{shard=\"{0}\"}} {5}\n"
                        "poplar_tasks_unplaced_total{{shard=\"{0}\"}} {6}\n",
                        shard, engine.interference.pairs.size(), engine.interference.harmful,
                        engine.paceCommands, engine.tasksSeparated, engine::reportedSteps(engine),
                        engine.tasksUnplaced);
    for (const engine::ReleaseCause cause : engine::allReleaseCauses) {
        text += fmt::format("poplar_tasks_released_total{{shard=\"{}\",cause=\"{}\"}} {}\n", shard,
                            engine::causeText(cause),
                            engine.released.at(static_cast<std::size_t>(cause)));
    }
    for (const auto &[service, count] : engine::quarantinedWorkers(engine, now)) {
        text += fmt::format("poplar_workers_quarantined{{shard=\"{}\",service=\"{}\"}} {}\n", shard,
                            service.text(), count);
    }
    for (const auto &[key, wait] : engine::longestWaits(engine, now)) {
        text += fmt::format("poplar_longest_wait_beside_room_ms{{shard=\"{}\",service=\"{}\",cause="
                            "\"{}\"}} {}\n",
                            shard, key.first.text(), key.second, wait.count());
    }
    return text + accountMetrics(engine, shard);
}

}  // namespace poplarstream::edge
