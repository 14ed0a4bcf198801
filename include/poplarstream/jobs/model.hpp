#pragma once

#include <cstdint>  // for int64_t
#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for Id
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::jobs {

using JobId = Id<struct JobTag>;
using QueueId = Id<struct QueueTag>;
using WorkerId = Id<struct WorkerTag>;

// One incarnation of a worker: its id and the Unix millisecond of its start, which tells a restart
// under the same id apart.
struct WorkerIncarnation
{
    WorkerId id;
    std::int64_t startedUnixMs = 0;

    friend auto operator<=>(const WorkerIncarnation &, const WorkerIncarnation &) = default;
    friend bool operator==(const WorkerIncarnation &, const WorkerIncarnation &) = default;
};

struct Resources
{
    std::int64_t cpuMilli = 0;  // thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    bool fits(const Resources &room) const;
    friend bool operator==(const Resources &, const Resources &) = default;
};

struct StepSpec
{
    int count = 1;  // tasks
    Resources need;  // of one task
    Milliseconds estimate{0};  // of one task, as the caller guessed it
    std::vector<int> after;  // earlier steps that have to be done first
    bool checkpointing = false;
    bool gang = false;  // the tasks work only while all of them are present
    bool sameRack = false;
    bool speculative = false;  // copies of a task may run in parallel
    bool longRunning = false;  // runs until the job is cancelled
    bool fills = false;  // uses the processor time that others leave, beside its memory
    std::string requiredLabel;
    std::string affinityRack;
    int antiAffinity = 0;  // most tasks of an occurrence on one worker; 0: any number
    std::string image;
    Milliseconds target{0};  // tail latency that a long-running task has to keep; 0: none
    int mayMiss = 0;  // tasks that planned work may take away at the same time
};

// What a queue promised when the job was accepted.
struct QueuePolicy
{
    QueueId queue;
    ServiceId service;
    int priority = 0;  // 0 is the most urgent
    int maxAttempts = 1;
    double stretch = 1.0;  // objective: stretch x critical path + completionTarget
    Milliseconds completionTarget{0};
};

struct JobSpec
{
    std::string payload;  // handed to the workers unchanged
    std::vector<StepSpec> steps;
    int repeatCount = 0;  // 0: once, at once
    std::int64_t firstRunUnixMs = 0;
    std::int64_t intervalMs = 0;
};

// A job as it was accepted.
struct Submission
{
    JobId id;
    QueuePolicy policy;
    JobSpec spec;
    std::int64_t acceptedUnixMs = 0;
};

enum class AttemptPhase {
    Planned,  // decided; not yet durable, so not ordered
    Ordered,  // the start was sent; whether it took effect is not known
    Running,  // seen in an answer of the worker
    Stopping,  // a stop is under way
};

// One start of a task on one worker.
struct Attempt
{
    int run = 0;  // rises with each start of the task
    WorkerIncarnation worker;
    AttemptPhase phase = AttemptPhase::Planned;
    bool mayRun = false;  // the order may have left this or an earlier owner
    bool isInherited = false;  // started by an earlier owner
    std::string ticket;  // of the advisor, where the queue needs one
    TimePoint startedAt{};
    int percent = -1;  // progress as last reported; -1: not reported
    TimePoint progressedAt{};  // when the percentage last changed
    bool isStraggler = false;  // stands still although its worker reports
    int pacePercent = 100;
    std::int64_t load = 0;  // tail latency in ms of a serving task, else thousandths of a core
};

struct Task
{
    bool isDone = false;
    int lastRun = 0;
    int failures = 0;  // ends by its own fault
    std::string checkpoint;
    std::vector<Attempt> attempts;  // several only for speculative steps
    std::vector<WorkerIncarnation> failedOn;  // workers on which it failed
    TimePoint notBefore{};  // delays a restart after a failure
};

// One execution of all steps. A job that does not repeat has only number 0.
struct Occurrence
{
    TimePoint dueAt{};
    std::vector<std::vector<Task>> steps;
    std::vector<int> remaining;  // tasks of each step that are not done
    bool isDone = false;
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

struct Job
{
    Submission submission;
    Milliseconds criticalPath{0};  // longest chain of declared durations
    bool isLongRunning = false;  // has tasks that run until it is cancelled
    JobState state = JobState::Queued;
    JobState durableState = JobState::Queued;  // what callers may be told
    bool hasBegun = false;  // a worker is known to have started a task
    std::map<int, Occurrence> occurrences;
    int finishedOccurrences = 0;
    TimePoint acceptedAt{};
    TimePoint endedAt{};
    bool isDirty = false;  // differs from what the store holds
};

// The place of a task in a job.
struct TaskRef
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
    friend bool operator==(const TaskRef &, const TaskRef &) = default;
};

// How a run completed, as its worker reports it.
enum class AttemptResult {
    Done,
    Failed,  // by the fault of the task or of the worker
    Stopped,  // on order
    Lapsed,  // its lease ran out
    Broken,  // another member of the gang completed
    Alone,  // waited too long for the rest of the gang
};

}  // namespace poplarstream::jobs
