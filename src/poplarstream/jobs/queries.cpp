#include "poplarstream/jobs/queries.hpp"

#include <algorithm>  // for all_of, any_of, count_if, max, find_if

#include <boost/container/small_vector.hpp>  // for small_vector

namespace poplarstream::jobs {

namespace {

// The longest chain of estimated durations, counting the steps for which `counts` returns true.
template <class Counts>
Milliseconds longestChain(const JobSpec &spec, Counts counts)
{
    boost::container::small_vector<Milliseconds, 8> finish(spec.steps.size(), Milliseconds{0});
    Milliseconds longest{0};
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        Milliseconds begin{0};
        for (const int before : spec.steps[i].after) {
            begin = std::max(begin, finish[static_cast<std::size_t>(before)]);
        }
        finish[i] = begin + (counts(i) ? spec.steps[i].estimate : Milliseconds{0});
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

}  // namespace

Resources &Resources::operator+=(const Resources &other)
{
    cpuMilli += other.cpuMilli;
    memoryMb += other.memoryMb;
    gpus += other.gpus;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    cpuMilli -= other.cpuMilli;
    memoryMb -= other.memoryMb;
    gpus -= other.gpus;
    return *this;
}

bool Resources::fits(const Resources &available) const
{
    return cpuMilli <= available.cpuMilli && memoryMb <= available.memoryMb
           && gpus <= available.gpus;
}

bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed
           || state == JobState::Cancelled;
}

bool isWaiting(const Task &task)
{
    return !task.isDone && !task.isGivenUp && task.attempts.empty();
}

int countDue(std::span<const Task> tasks, TimePoint now)
{
    return static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [now](const Task &task) {
        return isWaiting(task) && task.notBefore <= now;
    }));
}

bool isStepReady(const Job &job, const Occurrence &occurrence, int step)
{
    const auto &after = job.submission.spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int before) {
        return occurrence.remaining[static_cast<std::size_t>(before)] == 0;
    });
}

Milliseconds criticalPath(const JobSpec &spec)
{
    return longestChain(spec, [](std::size_t) { return true; });
}

Milliseconds remainingPath(const JobSpec &spec, const Occurrence &occurrence)
{
    return longestChain(spec, [&](std::size_t i) { return occurrence.remaining[i] > 0; });
}

TimePoint objective(const Job &job, const Occurrence &occurrence)
{
    const QueuePolicy &policy = job.submission.policy;
    const auto path = static_cast<double>(job.criticalPath.count());
    return occurrence.dueAt + Milliseconds(static_cast<std::int64_t>(path * policy.stretch))
           + policy.completionTarget;
}

bool hasLongRunning(const JobSpec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(),
                       [](const StepSpec &step) { return step.longRunning; });
}

bool endsByItself(const JobSpec &spec)
{
    return spec.repeatCount == 0 && !hasLongRunning(spec);
}

bool hasSpeculative(const JobSpec &spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(),
                       [](const StepSpec &step) { return step.speculative; });
}

Task *findTask(Job &job, const TaskRef &ref)
{
    const auto occurrence = job.occurrences.find(ref.occurrence);
    if (occurrence == job.occurrences.end() || ref.step < 0 || ref.index < 0) {
        return nullptr;
    }
    auto &steps = occurrence->second.steps;
    const auto step = static_cast<std::size_t>(ref.step);
    const auto index = static_cast<std::size_t>(ref.index);
    if (step >= steps.size() || index >= steps[step].size()) {
        return nullptr;
    }
    return &steps[step][index];
}

Attempt *findAttempt(Task &task, int run)
{
    const auto found = std::find_if(task.attempts.begin(), task.attempts.end(),
                                    [run](const Attempt &attempt) { return attempt.run == run; });
    return found == task.attempts.end() ? nullptr : &*found;
}

}  // namespace poplarstream::jobs
