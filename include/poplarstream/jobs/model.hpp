#pragma once

#include <array>  // for array
#include <cstddef>  // for size_t
#include <cstdint>  // for int64_t
#include <limits>  // for numeric_limits
#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for AccountId, Id, MachineId
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::jobs {

using JobId = Id<struct JobTag>;
using QueueId = Id<struct QueueTag>;
using WorkerId = Id<struct WorkerTag>;

// Identifies one incarnation of a worker. The start time distinguishes restarts under the same id.
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
    bool fits(const Resources &available) const;
    friend bool operator==(const Resources &, const Resources &) = default;
};

struct StepSpec
{
    int count = 1;  // tasks
    Resources need;  // of one task
    Milliseconds estimate{0};  // of one task, from the caller
    std::vector<int> after;  // steps that must be done before
    bool checkpointing = false;
    bool gang = false;  // the tasks must all run at the same time
    bool sameRack = false;
    bool speculative = false;  // a task may run as several copies
    bool longRunning = false;  // runs until the job is cancelled
    bool fills = false;  // reserves memory only and uses processor time that is left over
    std::string requiredLabel;
    std::string affinityRack;
    int antiAffinity = 0;  // maximum tasks of an occurrence per worker; 0: unlimited
    std::string image;
    Milliseconds target{0};  // tail latency target of a long-running task; 0: none
    int mayMiss = 0;  // maximum tasks missing at a time due to planned work
};

// The policy of the queue when the job was accepted.
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
    std::string payload;  // passed to the workers unchanged
    std::vector<StepSpec> steps;
    int repeatCount = 0;  // 0: runs once, immediately
    std::int64_t firstRunUnixMs = 0;
    std::int64_t intervalMs = 0;
};

// A job as it was accepted.
struct Submission
{
    JobId id;
    QueuePolicy policy;
    AccountId account;  // whose key the caller had; empty on a public queue
    JobSpec spec;
    std::int64_t acceptedUnixMs = 0;
};

// What decides who may see a job.
struct SubmissionOrigin
{
    QueueId queue;
    AccountId account;  // empty on a public queue
};

enum class AttemptPhase {
    Planned,  // decided but not yet durable, so not sent
    StartSent,  // the start command was sent; its outcome is unknown
    Running,  // confirmed by the worker
    Stopping,  // the stop command was sent
};

// The progress from which on a task that lasts serves its users.
inline constexpr int readyPercent = 100;
// The pace of a filling task at its start.
inline constexpr int fullPacePercent = 100;
inline constexpr int unknownPace = -1;  // as a percentage

// One start of a task on one worker.
struct Attempt
{
    int run = 0;  // increases with each start of the task
    WorkerIncarnation worker;
    MachineId machine;  // of the worker; empty if unknown
    AttemptPhase phase = AttemptPhase::Planned;
    bool mayRun = false;  // this or a previous owner may have sent the start command
    bool isFromPreviousOwner = false;  // started by a previous owner
    std::string ticket;  // of the advisor, if the queue needs one
    TimePoint startedAt{};
    int percent = -1;  // last reported progress; -1: none
    TimePoint progressedAt{};  // when the percentage last changed
    bool isStraggler = false;  // makes no progress although its worker responds
    TimePoint brokenOffAt{};  // when the connection ended on which its start was sent
    TimePoint confirmedAt{};  // when a worker first confirmed to this owner that it runs
    std::int64_t confirmedClockMs = 0;  // the worker's clock then
    TimePoint aliveAt{};  // send time of the last poll whose response listed it
    std::int64_t load = 0;  // tail latency in ms if the step has a target, else millicores
    int pacePercent = fullPacePercent;  // at which a filling task works; or unknownPace
    TimePoint pacedSince{};  // since when it is to work below full pace; unset: it isn't
};

struct Task
{
    bool isDone = false;
    int lastRun = 0;
    int failures = 0;  // runs with the result Failed
    int crashes = 0;  // unplanned ends of workers that a run of this task may have caused
    int suspicion = 0;  // likelihood that it caused the last of them, in thousandths
    bool isGivenUp = false;  // is not started any more, though its job goes on
    std::vector<int> lapsedRuns;  // dropped as their leases had expired; their ends are not known
    std::string checkpoint;
    std::vector<Attempt> attempts;  // more than one only for speculative steps
    std::vector<WorkerIncarnation> failedOn;  // workers on which it failed
    TimePoint notBefore{};  // earliest restart after a failure
    // Since when it has been waiting beside workers that are not trusted; unset: it hasn't.
    TimePoint heldSince{};
};

// One execution of all steps. A job that doesn't repeat has only occurrence 0.
struct Occurrence
{
    TimePoint dueAt{};
    std::vector<std::vector<Task>> steps;
    std::vector<int> remaining;  // unfinished tasks of each step
    bool isDone = false;
};

// The sets of jobs that the engine keeps.
enum class JobIndex {
    Active,  // not final, or with remaining attempts
    Waiting,  // may have tasks that wait for a start
    Unstored,  // changed since the last write
};
inline constexpr std::size_t jobIndexes = 3;
inline constexpr std::size_t notInIndex = std::numeric_limits<std::size_t>::max();

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

struct Job
{
    Submission submission;
    Milliseconds criticalPath{0};  // longest chain of estimated durations
    bool isLongRunning = false;  // has tasks that run until the job is cancelled
    bool hasSpeculative = false;  // has tasks that may run as several copies
    JobState state = JobState::Queued;
    JobState durableState = JobState::Queued;  // the state in the store, which callers may see
    bool hasBegun = false;  // a worker confirmed the start of a task
    std::map<int, Occurrence> occurrences;
    int finishedOccurrences = 0;
    TimePoint acceptedAt{};
    TimePoint endedAt{};
    bool isDirty = false;  // differs from the stored progress
    // Its stored progress could not be read in full. Nothing of it starts, since it is not known
    // what has been done.
    bool isHeld = false;
    bool isBeyondRate = false;  // its account submitted more than it is owed when it arrived
    // Hashes of the stored records of its progress, but for the one under its id.
    std::map<std::string, std::uint64_t> storedParts;
    std::array<std::size_t, jobIndexes> places{notInIndex, notInIndex, notInIndex};  // by JobIndex
};

// Identifies a task within a job.
struct TaskRef
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
    friend bool operator==(const TaskRef &, const TaskRef &) = default;
};

// The result of a run, as reported by its worker.
enum class AttemptResult {
    Done,
    Failed,  // an error of the task or the worker
    Stopped,  // by a stop command
    Lapsed,  // its lease expired
    Broken,  // another member of its gang stopped running
    Alone,  // timed out waiting for the rest of its gang
};

}  // namespace poplarstream::jobs
