#include "poplarstream/jobs/codec.hpp"

#include <algorithm>  // for all_of

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/json_value.hpp"  // for integerFrom
#include "poplarstream/jobs/commands.hpp"  // for openOccurrence

namespace poplarstream::jobs {

namespace {

using nlohmann::json;

constexpr std::string_view stateTexts[] = {"queued", "running", "completed", "failed", "cancelled"};

json resourcesJson(const Resources &need)
{
    return json::array({need.cpuMilli, need.memoryMb, need.gpus});
}

Resources resourcesFrom(const json &value)
{
    return {integerFrom<std::int64_t>(value.at(0)), integerFrom<std::int64_t>(value.at(1)),
            integerFrom<std::int64_t>(value.at(2))};
}

int flagsOf(const StepSpec &step)
{
    return (step.checkpointing ? 1 : 0) | (step.gang ? 2 : 0) | (step.sameRack ? 4 : 0)
           | (step.speculative ? 8 : 0) | (step.longRunning ? 16 : 0) | (step.fills ? 32 : 0);
}

json stepJson(const StepSpec &step)
{
    return {{"n", step.count},
            {"need", resourcesJson(step.need)},
            {"estimate", step.estimate.count()},
            {"after", step.after},
            {"flags", flagsOf(step)},
            {"label", step.requiredLabel},
            {"rack", step.affinityRack},
            {"apart", step.antiAffinity},
            {"image", step.image},
            {"target", step.target.count()},
            {"away", step.mayMiss}};
}

StepSpec stepFrom(const json &value)
{
    StepSpec step;
    step.count = integerFrom<int>(value.at("n"));
    step.need = resourcesFrom(value.at("need"));
    step.estimate = Milliseconds(integerFrom<std::int64_t>(value.at("estimate")));
    step.after = value.at("after").get<std::vector<int>>();
    const int flags = integerFrom<int>(value.at("flags"));
    step.checkpointing = (flags & 1) != 0;
    step.gang = (flags & 2) != 0;
    step.sameRack = (flags & 4) != 0;
    step.speculative = (flags & 8) != 0;
    step.longRunning = (flags & 16) != 0;
    step.fills = (flags & 32) != 0;
    step.requiredLabel = value.at("label").get<std::string>();
    step.affinityRack = value.at("rack").get<std::string>();
    step.antiAffinity = integerFrom<int>(value.at("apart"));
    step.image = value.at("image").get<std::string>();
    step.target = Milliseconds(integerFrom<std::int64_t>(value.at("target")));
    step.mayMiss = integerFrom<int>(value.at("away"));
    return step;
}

json taskJson(const Task &task)
{
    json attempts = json::array();
    for (const Attempt &attempt : task.attempts) {
        attempts.push_back({attempt.run, attempt.worker.id.text(), attempt.worker.startedUnixMs});
    }
    return json::array({task.isDone ? 1 : 0, task.lastRun, task.failures, task.checkpoint,
                        std::move(attempts)});
}

Task taskFrom(const json &value)
{
    Task task;
    task.isDone = integerFrom<int>(value.at(0)) != 0;
    task.lastRun = integerFrom<int>(value.at(1));
    task.failures = integerFrom<int>(value.at(2));
    task.checkpoint = value.at(3).get<std::string>();
    for (const json &row : value.at(4)) {
        Attempt attempt;
        attempt.run = integerFrom<int>(row.at(0));
        attempt.worker = {WorkerId(row.at(1).get<std::string>()),
                          integerFrom<std::int64_t>(row.at(2))};
        attempt.phase = AttemptPhase::StartSent;
        attempt.mayRun = true;
        attempt.isFromPreviousOwner = true;
        task.attempts.push_back(std::move(attempt));
    }
    return task;
}

json occurrenceJson(int number, const Occurrence &occurrence)
{
    json steps = json::array();
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const auto &tasks = occurrence.steps[i];
        const bool isSettled = occurrence.remaining[i] == 0
                               && std::all_of(tasks.begin(), tasks.end(), [](const Task &task) {
                                      return task.attempts.empty();
                                  });
        if (isSettled) {
            steps.push_back(1);
            continue;
        }
        const bool isUntouched = std::all_of(tasks.begin(), tasks.end(), [](const Task &task) {
            return task.lastRun == 0 && !task.isDone;
        });
        if (isUntouched) {
            steps.push_back(0);
            continue;
        }
        json rows = json::array();
        for (const Task &task : tasks) {
            rows.push_back(taskJson(task));
        }
        steps.push_back(std::move(rows));
    }
    return json::array({number, occurrence.isDone ? 1 : 0, std::move(steps)});
}

void readOccurrence(Job &job, const json &row)
{
    const int number = integerFrom<int>(row.at(0));
    const auto existing = job.occurrences.find(number);
    Occurrence &occurrence = existing != job.occurrences.end()
                                     ? existing->second
                                     : openOccurrence(job, number, job.acceptedAt);
    const json &steps = row.at(2);
    if (steps.size() != occurrence.steps.size()) {
        throw std::invalid_argument("number of steps differs from the job");
    }
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (steps[i].is_array() && steps[i].size() != occurrence.steps[i].size()) {
            throw std::invalid_argument("number of tasks differs from the job");
        }
        for (std::size_t j = 0; j < occurrence.steps[i].size(); ++j) {
            Task &task = occurrence.steps[i][j];
            if (steps[i].is_array()) {
                task = taskFrom(steps[i][j]);
            } else {
                task.isDone = integerFrom<int>(steps[i]) != 0;
            }
            occurrence.remaining[i] -= task.isDone ? 1 : 0;
        }
    }
    occurrence.isDone = integerFrom<int>(row.at(1)) != 0;
    job.finishedOccurrences += occurrence.isDone ? 1 : 0;
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

}  // namespace

std::string encodeSubmission(const Submission &submission)
{
    const QueuePolicy &policy = submission.policy;
    json steps = json::array();
    for (const StepSpec &step : submission.spec.steps) {
        steps.push_back(stepJson(step));
    }
    const json value = {{"queue", policy.queue.text()},
                        {"service", policy.service.text()},
                        {"priority", policy.priority},
                        {"attempts", policy.maxAttempts},
                        {"stretch", policy.stretch},
                        {"target", policy.completionTarget.count()},
                        {"accepted", submission.acceptedUnixMs},
                        {"payload", submission.spec.payload},
                        {"repeat", submission.spec.repeatCount},
                        {"first", submission.spec.firstRunUnixMs},
                        {"interval", submission.spec.intervalMs},
                        {"steps", std::move(steps)},
                        {"id", submission.id.text()}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Submission> decodeSubmission(std::string_view text)
{
    try {
        const json value = json::parse(text);
        Submission submission;
        submission.id = JobId(value.at("id").get<std::string>());
        QueuePolicy &policy = submission.policy;
        policy.queue = QueueId(value.at("queue").get<std::string>());
        policy.service = ServiceId(value.at("service").get<std::string>());
        policy.priority = integerFrom<int>(value.at("priority"));
        policy.maxAttempts = integerFrom<int>(value.at("attempts"));
        policy.stretch = value.at("stretch").get<double>();
        policy.completionTarget = Milliseconds(integerFrom<std::int64_t>(value.at("target")));
        submission.acceptedUnixMs = integerFrom<std::int64_t>(value.at("accepted"));
        submission.spec.payload = value.at("payload").get<std::string>();
        submission.spec.repeatCount = integerFrom<int>(value.at("repeat"));
        submission.spec.firstRunUnixMs = integerFrom<std::int64_t>(value.at("first"));
        submission.spec.intervalMs = integerFrom<std::int64_t>(value.at("interval"));
        for (const json &step : value.at("steps")) {
            submission.spec.steps.push_back(stepFrom(step));
        }
        return submission;
    } catch (const std::exception &error) {
        return Failure{fmt::format("unreadable submission: {}", error.what()), {}};
    }
}

std::string encodeProgress(const Job &job)
{
    json occurrences = json::array();
    for (const auto &[number, occurrence] : job.occurrences) {
        occurrences.push_back(occurrenceJson(number, occurrence));
    }
    const json value = {{"state", stateTexts[static_cast<std::size_t>(job.state)]},
                        {"begun", job.hasBegun},
                        {"runs", std::move(occurrences)}};
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<bool> applyProgress(Job &job, std::string_view text)
{
    Job changed = job;
    try {
        const json value = json::parse(text);
        changed.state = stateFrom(value.at("state").get<std::string>());
        changed.hasBegun = value.at("begun").get<bool>();
        for (const json &row : value.at("runs")) {
            readOccurrence(changed, row);
        }
    } catch (const std::exception &error) {
        return Failure{fmt::format("unreadable progress of job {}: {}", job.submission.id.text(),
                                   error.what()),
                       {}};
    }
    changed.durableState = changed.state;
    job = std::move(changed);
    return true;
}

}  // namespace poplarstream::jobs
