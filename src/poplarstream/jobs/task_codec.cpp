#include "poplarstream/jobs/task_codec.hpp"

#include <algorithm>  // for all_of
#include <iterator>  // for back_inserter, size

#include <fmt/format.h>  // for format_to
#include <fmt/ranges.h>  // for join

#include "poplarstream/base/json_value.hpp"  // for integerFrom

namespace poplarstream::jobs {

namespace {

using nlohmann::json;

constexpr std::string_view stateTexts[] = {"queued", "running", "completed", "failed", "cancelled"};

// A checkpoint that takes more than this in its stored form is not stored: a task that resumes
// after a change of the owner then starts from its beginning.
constexpr std::size_t maxCheckpointBytes = 1024;

// Appends a text as a JSON string. Ids and checkpoints rarely need escaping.
void appendText(std::string &out, const std::string &text)
{
    const bool isPlain = std::all_of(text.begin(), text.end(), [](char c) {
        return c >= ' ' && c <= '~' && c != '"' && c != '\\';
    });
    if (isPlain) {
        out.append(1, '"').append(text).append(1, '"');
    } else {
        out.append(json(text).dump(-1, ' ', false, json::error_handler_t::replace));
    }
}

void appendCheckpoint(std::string &out, const std::string &checkpoint)
{
    const std::size_t before = out.size();
    appendText(out, checkpoint);
    if (out.size() - before > maxCheckpointBytes) {
        out.resize(before);
        appendText(out, {});
    }
}

// Format: [isDone, lastRun, failures, checkpoint, [[run, worker, startedUnixMs], ...]]. A run on a
// known machine has that after its start. A task that may have crashed workers or has lapsed runs
// has `crashes, suspicion, [run, ...]` after the runs, and 1 if it is given up.
void appendTask(std::string &out, const Task &task)
{
    fmt::format_to(std::back_inserter(out), "[{},{},{},", task.isDone ? 1 : 0, task.lastRun,
                   task.failures);
    appendCheckpoint(out, task.checkpoint);
    out.append(",[");
    for (std::size_t i = 0; i < task.attempts.size(); ++i) {
        const Attempt &attempt = task.attempts[i];
        appendSeparator(out, i);
        fmt::format_to(std::back_inserter(out), "[{},", attempt.run);
        appendText(out, attempt.worker.id.text());
        fmt::format_to(std::back_inserter(out), ",{}", attempt.worker.startedUnixMs);
        if (!attempt.machine.isEmpty()) {
            out.push_back(',');
            appendText(out, attempt.machine.text());
        }
        out.push_back(']');
    }
    out.push_back(']');
    if (task.suspicion > 0 || task.crashes > 0 || !task.lapsedRuns.empty()) {
        fmt::format_to(std::back_inserter(out), ",{},{},[{}]{}", task.crashes, task.suspicion,
                       fmt::join(task.lapsedRuns, ","), task.isGivenUp ? ",1" : "");
    }
    out.push_back(']');
}

}  // namespace

std::string_view stateText(JobState state)
{
    return stateTexts[static_cast<std::size_t>(state)];
}

JobState stateFrom(std::string_view text)
{
    for (std::size_t i = 0; i < std::size(stateTexts); ++i) {
        if (stateTexts[i] == text) {
            return static_cast<JobState>(i);
        }
    }
    throw std::invalid_argument(fmt::format("unknown job state {}", text));
}

bool isSettled(std::span<const Task> tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const Task &task) { return task.isDone && task.attempts.empty(); });
}

bool isUntouched(std::span<const Task> tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const Task &task) { return task.lastRun == 0 && !task.isDone; });
}

void appendSeparator(std::string &out, std::size_t index)
{
    if (index > 0) {
        out.push_back(',');
    }
}

void appendTasks(std::string &out, std::span<const Task> tasks)
{
    out.push_back('[');
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        appendSeparator(out, i);
        const std::span<const Task> one = tasks.subspan(i, 1);
        // What is known of crashes counts beside the other tasks of the step.
        const bool isDone = isSettled(one) && tasks[i].crashes == 0 && tasks[i].suspicion == 0;
        if (isDone || isUntouched(one)) {
            out.push_back(isDone ? '1' : '0');
        } else {
            appendTask(out, tasks[i]);
        }
    }
    out.push_back(']');
}

Task taskFrom(const json &value)
{
    Task task;
    if (value.is_number()) {
        task.isDone = integerFrom<int>(value) != 0;
        task.lastRun = task.isDone ? 1 : 0;  // the number does not matter any more
        return task;
    }
    task.isDone = integerFrom<int>(value.at(0)) != 0;
    task.lastRun = integerFrom<int>(value.at(1));
    task.failures = integerFrom<int>(value.at(2));
    task.checkpoint = value.at(3).get<std::string>();
    for (const json &row : value.at(4)) {
        Attempt attempt;
        attempt.run = integerFrom<int>(row.at(0));
        attempt.worker = {WorkerId(row.at(1).get<std::string>()),
                          integerFrom<std::int64_t>(row.at(2))};
        if (row.size() > 3) {  // records of earlier versions have no machine
            attempt.machine = MachineId(row.at(3).get<std::string>());
        }
        attempt.phase = AttemptPhase::StartSent;
        attempt.mayRun = true;
        attempt.isFromPreviousOwner = true;
        attempt.pacePercent = unknownPace;
        task.attempts.push_back(std::move(attempt));
    }
    if (value.size() > 5) {
        task.crashes = integerFrom<int>(value.at(5));
        task.suspicion = integerFrom<int>(value.at(6));
        for (const json &run : value.at(7)) {
            task.lapsedRuns.push_back(integerFrom<int>(run));
        }
        task.isGivenUp = value.size() > 8 && integerFrom<int>(value.at(8)) != 0;
    }
    return task;
}

}  // namespace poplarstream::jobs
