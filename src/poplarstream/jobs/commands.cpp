#include "poplarstream/jobs/commands.hpp"

#include <algorithm>  // for any_of, find, max, min
#include <iterator>  // for begin, end
#include <optional>  // for optional

#include "poplarstream/jobs/queries.hpp"  // for findTask, findAttempt, isFinal

namespace poplarstream::jobs {

namespace {

// Keeps a task that fails immediately from restarting in a tight loop.
constexpr Milliseconds restartDelay{20};
constexpr Milliseconds maxRestartDelay{2000};

// Bounds the stored progress of a task that is cut off again and again.
constexpr std::size_t maxLapsedRuns = 8;

// The crashes after which a task is given up, by how likely it caused the last one. The users
// expect at most two starts after the third, so that the fifth is the last in any case.
struct CrashLimit
{
    int crashes = 0;
    int suspicion = 0;  // at least, in thousandths
};
constexpr CrashLimit crashLimits[] = {{2, 650}, {3, 250}, {5, 0}};

// A crash does not count for tasks that are less likely to have caused it: on a full worker most
// are innocent, and those that it survived for long are far below this.
constexpr int minSuspicion = 20;  // thousandths

bool isAtCrashLimit(const Task &task, int suspicion)
{
    return std::any_of(std::begin(crashLimits), std::end(crashLimits),
                       [&](const CrashLimit &limit) {
                           return task.crashes >= limit.crashes && suspicion >= limit.suspicion;
                       });
}

int occurrenceCount(const JobSpec &spec)
{
    return std::max(spec.repeatCount, 1);
}

void finishTask(Occurrence &occurrence, std::size_t step, Task &task)
{
    if (!task.isDone) {
        task.isDone = true;
        --occurrence.remaining[step];
    }
}

void finishJob(Job &job, JobState state, TimePoint now)
{
    job.state = state;
    job.endedAt = now;
    job.isDirty = true;
}

bool isOccurrenceDone(const Occurrence &occurrence)
{
    return std::all_of(occurrence.remaining.begin(), occurrence.remaining.end(),
                       [](int count) { return count == 0; });
}

void recordDone(Job &job, Occurrence &occurrence, const TaskRef &ref, Task &task, TimePoint now)
{
    const auto step = static_cast<std::size_t>(ref.step);
    if (job.submission.spec.steps[step].gang) {
        for (Task &member : occurrence.steps[step]) {
            finishTask(occurrence, step, member);
        }
    } else {
        finishTask(occurrence, step, task);
    }
    if (!occurrence.isDone && isOccurrenceDone(occurrence)) {
        occurrence.isDone = true;
        ++job.finishedOccurrences;
    }
    if (job.finishedOccurrences == occurrenceCount(job.submission.spec)) {
        finishJob(job, JobState::Completed, now);
    }
}

void recordFailure(Job &job, const StepSpec &spec, Task &task, TimePoint now)
{
    ++task.failures;
    const int doublings = std::min(task.failures - 1, 8);
    task.notBefore = now + std::min(restartDelay * (1 << doublings), maxRestartDelay);
    if (!spec.longRunning && task.failures >= job.submission.policy.maxAttempts) {
        finishJob(job, JobState::Failed, now);
    }
}

// Whether a run that was given up has succeeded after all: its worker was unreachable when its
// lease was taken for expired, and its response is late.
bool isLateSuccess(const Job &job, const StepSpec &spec, const Task &task, int run,
                   AttemptResult result)
{
    return result == AttemptResult::Done && !spec.longRunning && !task.isDone && !isFinal(job.state)
           && run >= 1 && run <= task.lastRun;
}

// Whether a run that was given up has failed: its lease was taken for expired, and its response is
// late. It counts once.
bool isLateFailure(const Job &job, const StepSpec &spec, const Task &task, int run,
                   AttemptResult result)
{
    return result == AttemptResult::Failed && !spec.longRunning && !task.isDone
           && !isFinal(job.state)
           && std::find(task.lapsedRuns.begin(), task.lapsedRuns.end(), run)
                      != task.lapsedRuns.end();
}

// Whether another task that runs until the job is cancelled may be running on a worker that has not
// ended. What it does for its users is sound work, whatever the task does.
bool servesBeside(const Job &job, const TaskRef &ref, const WorkerIncarnation &ended)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task> &tasks = occurrence.steps[step];
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const TaskRef other{ref.job, number, static_cast<int>(step),
                                    static_cast<int>(index)};
                if (job.submission.spec.steps[step].longRunning && other != ref
                    && std::any_of(tasks[index].attempts.begin(), tasks[index].attempts.end(),
                                   [&ended](const Attempt &attempt) {
                                       return attempt.mayRun && attempt.worker != ended;
                                   })) {
                    return true;
                }
            }
        }
    }
    return false;
}

}  // namespace

Job makeJob(Submission submission, TimePoint now, std::int64_t nowUnixMs)
{
    Job job;
    const std::int64_t age = std::max<std::int64_t>(nowUnixMs - submission.acceptedUnixMs, 0);
    job.acceptedAt = now - Milliseconds(age);
    job.submission = std::move(submission);
    job.criticalPath = criticalPath(job.submission.spec);
    job.isLongRunning = hasLongRunning(job.submission.spec);
    job.hasSpeculative = hasSpeculative(job.submission.spec);
    openDueOccurrences(job, now, nowUnixMs);
    return job;
}

Occurrence &openOccurrence(Job &job, int number, TimePoint dueAt)
{
    Occurrence &occurrence = job.occurrences[number];
    occurrence.dueAt = dueAt;
    for (const StepSpec &step : job.submission.spec.steps) {
        occurrence.steps.emplace_back(static_cast<std::size_t>(step.count));
        occurrence.remaining.push_back(step.count);
    }
    return occurrence;
}

void recountOccurrences(Job &job)
{
    job.finishedOccurrences = 0;
    for (auto &[number, occurrence] : job.occurrences) {
        occurrence.isDone = isOccurrenceDone(occurrence);
        job.finishedOccurrences += occurrence.isDone ? 1 : 0;
    }
    if (!isFinal(job.state) && job.finishedOccurrences == occurrenceCount(job.submission.spec)) {
        finishJob(job, JobState::Completed, job.acceptedAt);
    }
}

bool openDueOccurrences(Job &job, TimePoint now, std::int64_t nowUnixMs)
{
    const JobSpec &spec = job.submission.spec;
    bool opened = false;
    if (spec.repeatCount == 0) {
        if (job.occurrences.empty()) {
            openOccurrence(job, 0, job.acceptedAt);
            opened = true;
        }
        return opened;
    }
    for (int number = static_cast<int>(job.occurrences.size()); number < spec.repeatCount;
         ++number) {
        const std::int64_t dueUnixMs = spec.firstRunUnixMs + number * spec.intervalMs;
        if (dueUnixMs > nowUnixMs) {
            break;
        }
        openOccurrence(job, number, now - Milliseconds(nowUnixMs - dueUnixMs));
        opened = true;
    }
    return opened;
}

CompletionEffect recordCompletion(Job &job, const TaskRef &ref, int run, AttemptResult result,
                                  std::string checkpoint, TimePoint now)
{
    Task *const task = findTask(job, ref);
    if (task == nullptr) {
        return {};
    }
    const auto step = static_cast<std::size_t>(ref.step);
    const StepSpec &spec = job.submission.spec.steps[step];
    const Attempt *const attempt = findAttempt(*task, run);
    if (attempt == nullptr && !isLateSuccess(job, spec, *task, run, result)
        && !isLateFailure(job, spec, *task, run, result)) {
        return {};
    }
    std::erase(task->lapsedRuns, run);
    const std::optional<WorkerIncarnation> worker =
            attempt == nullptr ? std::nullopt : std::optional(attempt->worker);
    std::erase_if(task->attempts, [run](const Attempt &each) { return each.run == run; });
    job.isDirty = true;
    if (!checkpoint.empty()) {
        task->checkpoint = std::move(checkpoint);
    }
    CompletionEffect effect{.isKnown = true};
    if (isFinal(job.state) || task->isDone) {
        return effect;
    }
    Occurrence &occurrence = job.occurrences.at(ref.occurrence);
    if (result == AttemptResult::Done && !spec.longRunning) {
        recordDone(job, occurrence, ref, *task, now);
    } else if (result == AttemptResult::Failed) {
        if (worker) {
            task->failedOn.push_back(*worker);
        }
        recordFailure(job, spec, *task, now);
    }
    effect.stepDone = occurrence.remaining[step] == 0;
    effect.jobEnded = isFinal(job.state);
    return effect;
}

bool dropAttempt(Job &job, const TaskRef &ref, int run)
{
    Task *const task = findTask(job, ref);
    if (task == nullptr || findAttempt(*task, run) == nullptr) {
        return false;
    }
    std::erase_if(task->attempts, [run](const Attempt &attempt) { return attempt.run == run; });
    job.isDirty = true;
    return true;
}

CrashEffect recordCrash(Job &job, const TaskRef &ref, const CrashEvidence &evidence, TimePoint now)
{
    Task *const task = findTask(job, ref);
    if (task == nullptr || task->isDone) {
        return CrashEffect::None;
    }
    task->suspicion = std::max(task->suspicion, evidence.suspicion);
    job.isDirty = true;
    if (!evidence.mayHaveCaused) {
        return CrashEffect::None;
    }
    task->crashes += evidence.suspicion >= minSuspicion ? 1 : 0;
    if (isFinal(job.state) || !isAtCrashLimit(*task, evidence.jobSuspicion)) {
        return CrashEffect::None;
    }
    if (servesBeside(job, ref, evidence.worker)) {
        task->isGivenUp = true;
        return CrashEffect::TaskGivenUp;
    }
    finishJob(job, JobState::Failed, now);
    return CrashEffect::JobEnded;
}

void rememberLapsed(Job &job, const TaskRef &ref, int run)
{
    Task *const task = findTask(job, ref);
    if (task == nullptr || task->isDone) {
        return;
    }
    if (task->lapsedRuns.size() >= maxLapsedRuns) {
        task->lapsedRuns.erase(task->lapsedRuns.begin());
    }
    task->lapsedRuns.push_back(run);
    job.isDirty = true;
}

bool cancelJob(Job &job, TimePoint now)
{
    if (isFinal(job.state)) {
        return false;
    }
    finishJob(job, JobState::Cancelled, now);
    return true;
}

bool failJob(Job &job, TimePoint now)
{
    if (isFinal(job.state)) {
        return false;
    }
    finishJob(job, JobState::Failed, now);
    return true;
}

}  // namespace poplarstream::jobs
