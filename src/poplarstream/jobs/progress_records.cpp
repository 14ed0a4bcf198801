#include "poplarstream/jobs/progress_records.hpp"

#include <algorithm>  // for all_of, any_of, count_if, max, min
#include <charconv>  // for from_chars
#include <iterator>  // for back_inserter
#include <map>  // for map
#include <utility>  // for pair, exchange

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJsonOrThrow
#include "poplarstream/base/json_value.hpp"  // for integerFrom
#include "poplarstream/base/rendezvous.hpp"  // for stableHash
#include "poplarstream/jobs/codec.hpp"  // for encodeProgress, applyProgress
#include "poplarstream/jobs/commands.hpp"  // for openOccurrence, recountOccurrences
#include "poplarstream/jobs/queries.hpp"  // for isFinal
#include "poplarstream/jobs/task_codec.hpp"  // for appendTasks, taskFrom, maxTaskBytes

namespace poplarstream::jobs {

namespace {

using nlohmann::json;

constexpr char keySeparator = '.';
constexpr std::string_view stepDone = "1";
constexpr std::string_view stepOpen = "0";

std::size_t tasksPerRecord(std::size_t maxBytes)
{
    return std::max<std::size_t>(maxBytes / maxTaskBytes, 1);
}

bool fitsOneRecord(const JobSpec &spec, std::size_t maxBytes)
{
    std::size_t tasks = 0;
    for (const StepSpec &step : spec.steps) {
        tasks += static_cast<std::size_t>(step.count);
    }
    return tasks * static_cast<std::size_t>(std::max(spec.repeatCount, 1))
           <= tasksPerRecord(maxBytes);
}

bool isSettled(const Occurrence &occurrence)
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](const std::vector<Task> &tasks) { return isSettled(tasks); });
}

bool isUntouched(const Occurrence &occurrence)
{
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                       [](const std::vector<Task> &tasks) { return isUntouched(tasks); });
}

bool hasAttempts(std::span<const Task> tasks)
{
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const Task &task) { return !task.attempts.empty(); });
}

// Whether nothing is left to do for these tasks: their job has failed or was cancelled, and none of
// their runs is left.
bool isObsolete(const Job &job, std::span<const Task> tasks)
{
    return isFinal(job.state) && job.state != JobState::Completed && !hasAttempts(tasks);
}

// Appends the record of the steps that are done and those of the tasks of the others.
void appendOccurrence(std::vector<ProgressRecord> &records, const Job &job, int number,
                      const Occurrence &occurrence, std::size_t tasksPerPart)
{
    const std::string occurrenceKey =
            fmt::format("{}{}{}", job.submission.id.text(), keySeparator, number);
    std::string steps;
    bool hasDone = false;
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const std::span<const Task> tasks = occurrence.steps[step];
        const bool isDone = isSettled(tasks);
        hasDone = hasDone || isDone;
        steps.append(isDone ? stepDone : stepOpen);
        for (std::size_t first = 0; first < tasks.size() && !isDone; first += tasksPerPart) {
            const auto part = tasks.subspan(first, std::min(tasksPerPart, tasks.size() - first));
            if (isUntouched(part) || isObsolete(job, part)) {
                continue;
            }
            std::string text;
            appendTasks(text, part);
            records.push_back({fmt::format("{}{}{}{}{}", occurrenceKey, keySeparator, step,
                                           keySeparator, first),
                               std::move(text)});
        }
    }
    if (hasDone && (!isFinal(job.state) || job.state == JobState::Completed)) {
        records.push_back({occurrenceKey, std::move(steps)});
    }
}

// The records of a job that does not fit into one.
std::vector<ProgressRecord> encodeInParts(const Job &job, std::size_t maxBytes)
{
    std::vector<ProgressRecord> records(1);
    std::vector<std::pair<int, int>> done;  // ranges of occurrences
    int open = 0;
    int finished = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        if (isSettled(occurrence)) {
            ++finished;
            if (!done.empty() && done.back().second == number - 1) {
                done.back().second = number;
            } else {
                done.emplace_back(number, number);
            }
        } else if (!isUntouched(occurrence)) {
            ++open;
            appendOccurrence(records, job, number, occurrence, tasksPerRecord(maxBytes));
        }
    }
    std::string head = fmt::format(R"({{"state":"{}","begun":{},"open":{},"finished":{},"done":[)",
                                   stateText(job.state), job.hasBegun, open, finished);
    for (std::size_t i = 0; i < done.size(); ++i) {
        appendSeparator(head, i);
        fmt::format_to(std::back_inserter(head), "[{},{}]", done[i].first, done[i].second);
    }
    records[0] = {job.submission.id.text(), head.append(R"(],"runs":[]})")};
    return records;
}

// Fails if fewer occurrences have been read as finished than `head` states. Records of earlier
// versions state none.
void requireFinished(const Job &job, const json &head)
{
    const auto stated = head.find("finished");
    if (stated != head.end() && job.finishedOccurrences < integerFrom<int>(*stated, 0)) {
        throw std::invalid_argument(fmt::format("{} finished occurrences were read, not {}",
                                                job.finishedOccurrences, stated->dump()));
    }
}

// The occurrence with that number. Opens those before it, too: they are numbered without gaps.
Occurrence &occurrenceAt(Job &job, int number)
{
    const int count = std::max(job.submission.spec.repeatCount, 1);
    if (number < 0 || number >= count) {
        throw std::invalid_argument("no such occurrence");
    }
    for (int each = static_cast<int>(job.occurrences.size()); each <= number; ++each) {
        openOccurrence(job, each, job.acceptedAt);
    }
    return job.occurrences.at(number);
}

void markDone(std::vector<Task> &tasks)
{
    for (Task &task : tasks) {
        task = Task{};
        task.isDone = true;
        task.lastRun = 1;
    }
}

// The numbers of a key behind the id of the job.
std::vector<int> numbersOfKey(std::string_view key)
{
    std::vector<int> numbers;
    for (std::size_t at = key.find(keySeparator); at != std::string_view::npos;
         at = key.find(keySeparator, at + 1)) {
        int number = -1;
        std::from_chars(key.data() + at + 1, key.data() + key.size(), number);
        numbers.push_back(number);
    }
    return numbers;
}

void applyDoneSteps(Job &job, int number, std::string_view text)
{
    Occurrence &occurrence = occurrenceAt(job, number);
    if (text.size() != occurrence.steps.size()) {
        throw std::invalid_argument("number of steps differs from the job");
    }
    for (std::size_t step = 0; step < text.size(); ++step) {
        if (text.substr(step, 1) == stepDone) {
            markDone(occurrence.steps[step]);
        }
    }
}

void applyTasks(Job &job, const std::vector<int> &numbers, std::string_view text)
{
    Occurrence &occurrence = occurrenceAt(job, numbers[0]);
    std::vector<Task> &tasks = occurrence.steps.at(static_cast<std::size_t>(numbers[1]));
    if (isSettled(tasks)) {
        return;  // written before the step was done
    }
    const json rows = parseBoundedJsonOrThrow(text);
    const auto first = static_cast<std::size_t>(numbers[2]);
    if (first > tasks.size() || rows.size() > tasks.size() - first) {
        throw std::invalid_argument("number of tasks differs from the job");
    }
    for (std::size_t i = 0; i < rows.size(); ++i) {
        tasks[first + i] = taskFrom(rows[i]);
    }
}

void applyParts(Job &job, const json &head, std::span<const ProgressRecord> parts)
{
    constexpr std::size_t numbersOfSteps = 1;
    constexpr std::size_t numbersOfTasks = 3;
    for (const json &range : head.at("done")) {
        const int last = integerFrom<int>(range.at(1));
        for (int number = integerFrom<int>(range.at(0), 0); number <= last; ++number) {
            for (std::vector<Task> &tasks : occurrenceAt(job, number).steps) {
                markDone(tasks);
            }
        }
    }
    for (const std::size_t wanted : {numbersOfSteps, numbersOfTasks}) {
        for (const ProgressRecord &part : parts) {
            const std::vector<int> numbers = numbersOfKey(part.key);
            if (!part.value || numbers.size() != wanted) {
                continue;
            }
            if (wanted == numbersOfSteps) {
                applyDoneSteps(job, numbers[0], *part.value);
            } else {
                applyTasks(job, numbers, *part.value);
            }
        }
    }
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task> &tasks = occurrence.steps[step];
            occurrence.remaining[step] = static_cast<int>(std::count_if(
                    tasks.begin(), tasks.end(), [](const Task &task) { return !task.isDone; }));
        }
    }
}

}  // namespace

std::vector<ProgressRecord> takeChangedRecords(Job &job, std::size_t maxBytes)
{
    std::vector<ProgressRecord> records;
    if (fitsOneRecord(job.submission.spec, maxBytes)) {
        records.push_back({job.submission.id.text(), encodeProgress(job)});
    } else {
        records = encodeInParts(job, maxBytes);
    }
    std::map<std::string, std::uint64_t> outdated = std::exchange(job.storedParts, {});
    std::vector<ProgressRecord> changed;
    for (ProgressRecord &record : records) {
        const bool isHead = changed.empty();
        const std::uint64_t hash = isHead ? 0 : stableHash(*record.value, 0);
        const auto before = outdated.find(record.key);
        const bool isSame = before != outdated.end() && before->second == hash;
        if (before != outdated.end()) {
            outdated.erase(before);
        }
        if (!isHead) {
            job.storedParts[record.key] = hash;
        }
        if (!isSame) {
            changed.push_back(std::move(record));
        }
    }
    for (const auto &[key, hash] : outdated) {
        changed.push_back({key, {}});
    }
    return changed;
}

std::string_view jobOfRecord(std::string_view key)
{
    return key.substr(0, key.find(keySeparator));
}

Result<bool> applyProgressRecords(Job &job, std::string_view head,
                                  std::span<const ProgressRecord> parts)
{
    Job changed = job;
    Result<bool> applied = applyProgress(changed, head);
    if (!applied) {
        return applied;
    }
    try {
        const json document = parseBoundedJsonOrThrow(head);
        const bool isInParts = document.contains("done");
        if (isInParts) {
            applyParts(changed, document, parts);
            recountOccurrences(changed);
            requireFinished(changed, document);
        }
        for (const ProgressRecord &part : parts) {
            changed.storedParts[part.key] = part.value ? stableHash(*part.value, 0) : 0;
            // What is left of an ended job is deleted with the next write.
            changed.isDirty = changed.isDirty || !isInParts || isFinal(changed.state);
        }
    } catch (const std::exception &error) {
        return Failure{fmt::format("unreadable progress of job {}: {}", job.submission.id.text(),
                                   error.what()),
                       {}};
    }
    job = std::move(changed);
    return applied;
}

}  // namespace poplarstream::jobs
