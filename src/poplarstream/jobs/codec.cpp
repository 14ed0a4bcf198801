#include "poplarstream/jobs/codec.hpp"

#include <algorithm>  // for all_of
#include <iterator>  // for back_inserter
#include <optional>  // for optional

#include <fmt/format.h>  // for format
#include <fmt/ranges.h>  // for join
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJsonOrThrow
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

// Separates the elements of a JSON array.
void appendSeparator(std::string &out, std::size_t index)
{
    if (index > 0) {
        out.push_back(',');
    }
}

// Format: [isDone, lastRun, failures, checkpoint, [[run, worker, startedUnixMs], ...]]. A task that
// may have crashed workers or has lapsed runs has `crashes, suspicion, [run, ...]` after that.
void appendTask(std::string &out, const Task &task)
{
    fmt::format_to(std::back_inserter(out), "[{},{},{},", task.isDone ? 1 : 0, task.lastRun,
                   task.failures);
    appendText(out, task.checkpoint);
    out.append(",[");
    for (std::size_t i = 0; i < task.attempts.size(); ++i) {
        const Attempt &attempt = task.attempts[i];
        appendSeparator(out, i);
        fmt::format_to(std::back_inserter(out), "[{},", attempt.run);
        appendText(out, attempt.worker.id.text());
        fmt::format_to(std::back_inserter(out), ",{}]", attempt.worker.startedUnixMs);
    }
    out.push_back(']');
    if (task.suspicion > 0 || task.crashes > 0 || !task.lapsedRuns.empty()) {
        fmt::format_to(std::back_inserter(out), ",{},{},[{}]", task.crashes, task.suspicion,
                       fmt::join(task.lapsedRuns, ","));
    }
    out.push_back(']');
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
    if (value.size() > 5) {
        task.crashes = integerFrom<int>(value.at(5));
        task.suspicion = integerFrom<int>(value.at(6));
        for (const json &run : value.at(7)) {
            task.lapsedRuns.push_back(integerFrom<int>(run));
        }
    }
    return task;
}

// Format of a step: 1 if it is done and settled, 0 if it is untouched, else its tasks.
void appendStep(std::string &out, const std::vector<Task> &tasks, int remaining)
{
    const bool isSettled = remaining == 0
                           && std::all_of(tasks.begin(), tasks.end(),
                                          [](const Task &task) { return task.attempts.empty(); });
    const bool isUntouched = std::all_of(tasks.begin(), tasks.end(), [](const Task &task) {
        return task.lastRun == 0 && !task.isDone;
    });
    if (isSettled || isUntouched) {
        out.push_back(isSettled ? '1' : '0');
        return;
    }
    out.push_back('[');
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        appendSeparator(out, i);
        appendTask(out, tasks[i]);
    }
    out.push_back(']');
}

// Format: [number, isDone, [step, ...]].
void appendOccurrence(std::string &out, int number, const Occurrence &occurrence)
{
    fmt::format_to(std::back_inserter(out), "[{},{},[", number, occurrence.isDone ? 1 : 0);
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        appendSeparator(out, i);
        appendStep(out, occurrence.steps[i], occurrence.remaining[i]);
    }
    out.append("]]");
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

// Reads one text member of a document and skips the rest.
class MemberReader : public nlohmann::json_sax<json>
{
public:
    explicit MemberReader(std::string_view name)
        : name_(name)
    {}

    std::optional<std::string> take() { return std::move(value_); }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &value) override
    {
        if (depth_ == 1 && isNamed_) {
            value_ = std::move(value);
        }
        return true;
    }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override
    {
        ++depth_;
        return true;
    }
    bool key(string_t &key) override
    {
        isNamed_ = depth_ == 1 && key == name_;
        return true;
    }
    bool end_object() override
    {
        --depth_;
        return true;
    }
    bool start_array(std::size_t) override
    {
        ++depth_;
        return true;
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const json::exception &) override
    {
        return false;
    }

private:
    std::string_view name_;
    std::optional<std::string> value_;
    int depth_ = 0;
    bool isNamed_ = false;
};

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
        const json value = parseBoundedJsonOrThrow(text);
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

std::optional<QueueId> queueOfSubmission(std::string_view text)
{
    MemberReader reader("queue");
    if (!json::sax_parse(text, &reader)) {
        return {};
    }
    std::optional<std::string> queue = reader.take();
    return queue ? std::optional(QueueId(std::move(*queue))) : std::nullopt;
}

std::optional<JobState> settledState(std::string_view progress)
{
    // Spares most documents of unfinished jobs the parsing.
    if (progress.find("\"completed\"") == std::string_view::npos) {
        return {};
    }
    try {
        const json value = parseBoundedJsonOrThrow(progress);
        const JobState state = stateFrom(value.at("state").get<std::string>());
        for (const json &occurrence : value.at("runs")) {
            for (const json &step : occurrence.at(2)) {
                if (!step.is_number() || integerFrom<int>(step) != 1) {
                    return {};
                }
            }
        }
        return state == JobState::Completed ? std::optional(state) : std::nullopt;
    } catch (const std::exception &) {
        return {};  // reported when the record is read in full
    }
}

std::string encodeProgress(const Job &job)
{
    // Written without a document in memory: an owner encodes a job after each change.
    std::string out;
    fmt::format_to(std::back_inserter(out), R"({{"state":"{}","begun":{},"runs":[)",
                   stateTexts[static_cast<std::size_t>(job.state)], job.hasBegun);
    std::size_t index = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        appendSeparator(out, index++);
        appendOccurrence(out, number, occurrence);
    }
    return out.append("]}");
}

Result<bool> applyProgress(Job &job, std::string_view text)
{
    Job changed = job;
    try {
        const json value = parseBoundedJsonOrThrow(text);
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
