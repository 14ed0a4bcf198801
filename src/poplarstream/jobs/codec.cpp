#include "poplarstream/jobs/codec.hpp"

#include <initializer_list>  // for initializer_list
#include <iterator>  // for back_inserter
#include <map>  // for map
#include <optional>  // for optional
#include <utility>  // for exchange, move

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJsonOrThrow
#include "poplarstream/base/json_value.hpp"  // for integerFrom
#include "poplarstream/jobs/commands.hpp"  // for openOccurrence
#include "poplarstream/jobs/task_codec.hpp"  // for appendTasks, taskFrom, stateText

namespace poplarstream::jobs {

namespace {

using nlohmann::json;

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

// Members with their default values are left out.
json stepJson(const StepSpec &step)
{
    json value = {{"n", step.count}, {"need", resourcesJson(step.need)}};
    const auto addNumber = [&value](const char *name, std::int64_t number) {
        if (number != 0) {
            value[name] = number;
        }
    };
    const auto addText = [&value](const char *name, const std::string &text) {
        if (!text.empty()) {
            value[name] = text;
        }
    };
    addNumber("estimate", step.estimate.count());
    addNumber("flags", flagsOf(step));
    addNumber("apart", step.antiAffinity);
    addNumber("target", step.target.count());
    addNumber("away", step.mayMiss);
    addText("label", step.requiredLabel);
    addText("rack", step.affinityRack);
    addText("image", step.image);
    if (!step.after.empty()) {
        value["after"] = step.after;
    }
    return value;
}

template <class Number>
Number numberOrZero(const json &value, const char *name)
{
    const auto found = value.find(name);
    return found == value.end() ? Number{} : integerFrom<Number>(*found);
}

StepSpec stepFrom(const json &value)
{
    StepSpec step;
    step.count = integerFrom<int>(value.at("n"));
    step.need = resourcesFrom(value.at("need"));
    step.estimate = Milliseconds(numberOrZero<std::int64_t>(value, "estimate"));
    step.after = value.value("after", std::vector<int>());
    const int flags = numberOrZero<int>(value, "flags");
    step.checkpointing = (flags & 1) != 0;
    step.gang = (flags & 2) != 0;
    step.sameRack = (flags & 4) != 0;
    step.speculative = (flags & 8) != 0;
    step.longRunning = (flags & 16) != 0;
    step.fills = (flags & 32) != 0;
    step.requiredLabel = value.value("label", std::string());
    step.affinityRack = value.value("rack", std::string());
    step.antiAffinity = numberOrZero<int>(value, "apart");
    step.image = value.value("image", std::string());
    step.target = Milliseconds(numberOrZero<std::int64_t>(value, "target"));
    step.mayMiss = numberOrZero<int>(value, "away");
    return step;
}

// Format of a step: 1 if it is done and settled, 0 if it is untouched, else its tasks.
void appendStep(std::string &out, const std::vector<Task> &tasks, int remaining)
{
    const bool isDone = remaining == 0 && isSettled(tasks);
    if (isDone || isUntouched(tasks)) {
        out.push_back(isDone ? '1' : '0');
        return;
    }
    appendTasks(out, tasks);
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

// Reads some text members of a document and skips the rest.
class MemberReader : public nlohmann::json_sax<json>
{
public:
    explicit MemberReader(std::initializer_list<std::string_view> names)
    {
        for (const std::string_view name : names) {
            values_[name] = {};
        }
    }

    std::optional<std::string> take(std::string_view name)
    {
        return std::exchange(values_.at(name), std::nullopt);
    }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &value) override
    {
        if (depth_ == 1 && wanted_ != nullptr) {
            *wanted_ = std::move(value);
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
        const auto named = depth_ == 1 ? values_.find(key) : values_.end();
        wanted_ = named == values_.end() ? nullptr : &named->second;
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
    std::map<std::string_view, std::optional<std::string>> values_;
    std::optional<std::string> *wanted_ = nullptr;  // where the value of the next member goes
    int depth_ = 0;
};

}  // namespace

std::string encodeSubmission(const Submission &submission)
{
    const QueuePolicy &policy = submission.policy;
    json steps = json::array();
    for (const StepSpec &step : submission.spec.steps) {
        steps.push_back(stepJson(step));
    }
    json value = {{"queue", policy.queue.text()},
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
    if (!submission.account.isEmpty()) {
        value["account"] = submission.account.text();
    }
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
        submission.account = AccountId(value.value("account", std::string()));
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

std::optional<SubmissionOrigin> originOfSubmission(std::string_view text)
{
    MemberReader reader({"queue", "account"});
    if (!json::sax_parse(text, &reader)) {
        return {};
    }
    std::optional<std::string> queue = reader.take("queue");
    if (!queue) {
        return {};
    }
    return SubmissionOrigin{QueueId(std::move(*queue)),
                            AccountId(reader.take("account").value_or(std::string()))};
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
        if (value.value("open", 0) > 0) {
            return {};
        }
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
                   stateText(job.state), job.hasBegun);
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
