#include "poplarstream/engine/explain_job.hpp"

#include <algorithm>  // for count_if
#include <iterator>  // for back_inserter

#include <fmt/format.h>  // for format, format_to

#include "poplarstream/engine/attempts.hpp"  // for findJob
#include "poplarstream/engine/placement_report.hpp"  // for reportPlacement, obstacleSentence
#include "poplarstream/engine/ranking.hpp"  // for serviceOf
#include "poplarstream/jobs/queries.hpp"  // for isFinal, isStepReady
#include "poplarstream/jobs/task_codec.hpp"  // for stateText

namespace poplarstream::engine {

namespace {

std::string explainStep(Engine &engine, const jobs::Job &job, const StepPlace &place, TimePoint now)
{
    const jobs::Occurrence &occurrence = job.occurrences.at(place.occurrence);
    const auto &tasks = occurrence.steps[static_cast<std::size_t>(place.step)];
    const std::string name = fmt::format("Occurrence {}, step {}", place.occurrence, place.step);
    if (!jobs::isStepReady(job, occurrence, place.step)) {
        return fmt::format("{}: waits for the steps before it.", name);
    }
    const auto done = std::count_if(tasks.begin(), tasks.end(),
                                    [](const jobs::Task &task) { return task.isDone; });
    const auto withRun = std::count_if(tasks.begin(), tasks.end(), [](const jobs::Task &task) {
        return !task.attempts.empty();
    });
    const auto givenUp = std::count_if(tasks.begin(), tasks.end(),
                                       [](const jobs::Task &task) { return task.isGivenUp; });
    const PlacementReport report = reportPlacement(engine, job, place.occurrence, place.step, now);
    std::string text =
            fmt::format("{}: {} tasks, {} done, {} with a run, {} given up, {} due for a start.",
                        name, tasks.size(), done, withRun, givenUp, report.waiting);
    if (report.waiting == 0) {
        return text;
    }
    if (engine.capHolds.contains(job.submission.account)) {
        text += " Its client account is at its cap.";
    }
    fmt::format_to(std::back_inserter(text), " Service {} has {} workers, {} of them with room",
                   serviceOf(engine, job).text(), report.workers, report.withRoom);
    const std::string obstacles = obstacleSentence(report);
    return text + (obstacles.empty() ? "." : fmt::format(": {}.", obstacles));
}

}  // namespace

std::vector<std::string> explainJob(Engine &engine, const JobId &id, TimePoint now)
{
    const jobs::Job *const job = findJob(engine, id);
    if (job == nullptr) {
        return {};
    }
    std::vector<std::string> lines;
    lines.push_back(fmt::format("Job {} of queue {} is {}.", id.text(),
                                job->submission.policy.queue.text(), jobs::stateText(job->state)));
    if (job->isHeld) {
        lines.emplace_back("Nothing of it starts, since its stored progress could not be read.");
    }
    if (!engine.mayStart) {
        lines.emplace_back("This owner may start nothing at present.");
    }
    if (jobs::isFinal(job->state)) {
        return lines;
    }
    for (const auto &[number, occurrence] : job->occurrences) {
        for (std::size_t i = 0; !occurrence.isDone && i < occurrence.steps.size(); ++i) {
            if (occurrence.remaining[i] > 0) {
                lines.push_back(explainStep(engine, *job, {id, number, static_cast<int>(i)}, now));
            }
        }
    }
    return lines;
}

}  // namespace poplarstream::engine
