#pragma once

#include <cstdint>  // for int64_t
#include <deque>  // for deque
#include <functional>  // for less
#include <limits>  // for numeric_limits
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <unordered_map>  // for unordered_map
#include <vector>  // for vector

#include "poplarstream/accounts/client_account.hpp"  // for ClientAccounts
#include "poplarstream/accounts/shares.hpp"  // for ArrivalBucket, PoolClaim
#include "poplarstream/engine/decision.hpp"  // for Decision, ReleaseCounts
#include "poplarstream/engine/job_set.hpp"  // for JobSet
#include "poplarstream/engine/worker_commands.hpp"  // for Command
#include "poplarstream/interference/pace.hpp"  // for PaceControl
#include "poplarstream/interference/pair_table.hpp"  // for PairTable
#include "poplarstream/jobs/model.hpp"  // for Job, JobId, WorkerIncarnation, Resources, TaskRef
#include "poplarstream/jobs/progress_records.hpp"  // for ProgressRecord

namespace poplarstream::engine {

using jobs::JobId;
using jobs::ProgressRecord;
using jobs::QueueId;
using jobs::TaskRef;
using jobs::WorkerId;
using jobs::WorkerIncarnation;

// Limits of the deployment.
struct EngineLimits
{
    Milliseconds lease{5000};  // a worker without renewal stops its tasks after this
    Milliseconds longestLease{5000};  // that a worker grants, whatever a command asks for
    Milliseconds reportInterval{1500};  // at which a worker renews its entry in the registry
    Milliseconds stopTimeout{900};  // upper bound for stopping a task
    Milliseconds statusRetention{120'000};  // callers can query a finished job for this long
    Milliseconds machineLease{3000};  // minimum time before another owner may command a machine
    Milliseconds migration{1500};  // duration of a machine move
    Milliseconds maintenance{2000};  // duration of a machine's maintenance
    std::size_t maxRecordBytes = 262'144;  // that the store takes, key and value
    Milliseconds paceDelay{0};  // until a new pace of a task takes effect; 0: there are no paces
    Milliseconds disruption{4000};  // a target may be missed this long because of filling tasks
    double capOvershoot = 0;  // share by which what an account has running may pass its cap
};

// A worker's entry in the registry.
struct WorkerEntry
{
    WorkerIncarnation incarnation;
    ServiceId service;
    std::string address;  // ip:port
    ZoneId zone;
    RackId rack;
    std::vector<std::string> labels;
    jobs::Resources capacity;
    bool isDraining = false;
    Milliseconds leavesIn{0};  // while draining: time left, at least
    std::int64_t clockMs = 0;  // the worker's clock at its last report

    friend bool operator==(const WorkerEntry &, const WorkerEntry &) = default;
};

// Whether a worker responds to this owner.
enum class Reachability {
    Unconfirmed,  // hasn't responded to this owner yet; nothing may start there
    Reachable,
    Unreachable,  // didn't respond to the last command
};

struct AttemptRef
{
    TaskRef task;
    int run = 0;

    friend auto operator<=>(const AttemptRef &, const AttemptRef &) = default;
    friend bool operator==(const AttemptRef &, const AttemptRef &) = default;
};

// Why a long-running task can't be moved off its worker yet.
struct EvacuationHold
{
    jobs::TaskRef task;
    int missing = 0;  // other tasks of its step that aren't ready
    bool hasCandidate = true;  // whether another worker has free capacity for it
};

// The number of attempts of each kind on a worker.
struct TaskMix
{
    int longRunning = 0;
    int serving = 0;  // with a latency target
    int filling = 0;
    std::map<std::string, int> images;  // of tasks that serve or fill
};

// A run that was or may have been on a worker, and how long it is known to have been alive there.
struct ExposedRun
{
    AttemptRef ref;
    TimePoint sentAt{};
    TimePoint confirmedAt{};
    TimePoint aliveAt{};
    TimePoint recordedAt{};
    Milliseconds aliveFor{0};
    int percent = -1;
    // When the worker confirmed the start, listed the run, or ended the connection with the start
    // on it; unset: the start may not have reached it.
    TimePoint reachedAt{};
};

// The end of a run, for the failure rate of its kind.
struct RunOutcome
{
    WorkerIncarnation worker;
    TimePoint endedAt{};
    bool isFailed = false;
};

// The runs of one job that failed in a streak.
struct FailedJob
{
    std::string kind;
    int runs = 0;
};

// What has failed on a worker since its last success or the beginning of its last quarantine.
struct FailureStreak
{
    std::map<JobId, FailedJob> jobs;
    TimePoint firstStartedAt{};  // when the earliest of the runs was planned
    Milliseconds longestRun{0};  // from its planned start until its end was known
    AttemptRef last;
    TimePoint lastStartedAt{};
    bool isReviewed = true;
};

// A worker that stopped responding.
struct RackSilence
{
    WorkerId worker;
    RackId rack;
    TimePoint at{};
};

// What a run counts for in the use of its account.
struct AccountNeed
{
    AccountId account;  // empty: counted for none
    jobs::Resources need;
    bool isLongRunning = false;
};

// An account of which something may not start because of its cap.
struct CapHold
{
    TimePoint since{};
    TimePoint heldAt{};  // of the last plan that held something back
    std::optional<TimePoint> halfFreeSince;  // less than half of its limits has been used since
    bool isRoomForGangsKept = true;  // see AccountGate::reserved
};

// One step of one occurrence of a job.
struct StepPlace
{
    JobId job;
    int occurrence = 0;
    int step = 0;

    friend auto operator<=>(const StepPlace &, const StepPlace &) = default;
};

// A step with tasks that wait although workers have room for them.
struct UnplacedStep
{
    TimePoint since{};
    int tasks = 0;  // that were reported; 0: the wait was too short yet
    ServiceId service;
    std::string cause;  // what keeps them off most of the workers with room, as line 784 names it
};

// What accounts have got lately. A new owner begins with what runs then.
struct AccountShares
{
    std::map<AccountId, accounts::ArrivalBucket> arrivals;
    // By pool, with the processor time of the last seconds in millicores.
    std::map<ServiceId, std::map<AccountId, accounts::PoolClaim>> pools;
    TimePoint sampledAt{};
};

// The owner's view of one incarnation of a worker.
struct Worker
{
    WorkerEntry entry;
    TimePoint knownSince{};  // when this owner learned of it, from the registry or a record
    MachineId machine;  // on which it runs, from a list of machines or a record; empty if unknown
    bool isListed = false;  // present in the registry
    bool isGone = false;  // the incarnation has ended
    std::int64_t endedClockMs = 0;  // its clock when it was taken for ended; 0 if unknown
    Reachability reachability = Reachability::Unconfirmed;
    bool isCordoned = false;  // being emptied for maintenance or a move
    bool isDueForMaintenance = false;  // will be emptied soon; other workers are preferred
    std::optional<EvacuationHold> heldBy;  // of the first task that can't be moved yet
    jobs::Resources used;  // reserved by attempts that run or may run
    // Each with the number of its decisive poll: the first whose response must list the attempt if
    // it runs.
    std::map<AttemptRef, std::int64_t> attempts;
    // Running but in no job; being stopped.
    std::map<AttemptRef, AccountNeed> unexpectedAttempts;
    TaskMix mix;  // of `attempts`
    TimePoint observedAt{};  // when its figures were last taken note of
    interference::PaceControl paceControl;  // of its filling tasks
    TimePoint targetMissedSince{};  // unset: no serving task there is over its target

    std::int64_t tokenBump = 0;  // raised to fence commands that got no response
    bool wantsPromptPoll = false;  // the next poll must not wait for a completion
    std::int64_t pollNumber = 0;  // of the last poll sent
    bool isPolling = false;
    TimePoint pollSentAt{};
    std::string polledAddress;  // where the last poll was sent
    std::string answeredAddress;  // where the worker has responded; the same for its whole life
    TimePoint nextPollAt{};
    TimePoint leaseUntil{};  // no lease there outlives this, whatever commands were lost
    TimePoint firstAnsweredAt{};  // the worker rejects commands of previous owners from then on
    TimePoint answeredAt{};  // last response to a poll
    TimePoint registeredAt{};  // when its last entry of the registry was read
    std::int64_t clockMs = 0;  // a reading of its clock, at `clockSeenAt` or before
    TimePoint clockSeenAt{};
    std::int64_t completionsSeen = 0;  // highest processed completion number
    std::int64_t completionsStored = 0;  // highest one whose effect is durable
    TimePoint idleSince{};
    FailureStreak failures;
    TimePoint provenSince{};  // when the newest run that has succeeded there was planned
    TimePoint quarantinedAt{};  // when the last quarantine began
    TimePoint quarantinedUntil{};  // gets no tasks before, but as the last resort
    // Quarantines since the last success. Each doubles the next one, up to a limit.
    int quarantineCount = 0;
    TimePoint triedAt{};  // when it last got a task while it was not trusted fully
    TimePoint silentSince{};  // when it last stopped responding
    std::vector<ExposedRun> lapsedRuns;  // there when its leases expired, until it responds
};

struct Queue
{
    jobs::QueuePolicy policy;
    bool isPublic = true;  // callers need no key
};

// Who cancels a job.
struct Canceller
{
    AccountId account;  // empty if the caller had none
    QueueId queue;  // that was called; empty if it is not known, or does not matter

    friend auto operator<=>(const Canceller &, const Canceller &) = default;
};

// A submitted job that is to run at once, as input for the demand forecast.
struct Arrival
{
    ServiceId service;
    TimePoint at{};
    double cpuMilliMs = 0;  // declared processor time, in millicores x milliseconds
    double memoryMbMs = 0;
    Milliseconds length{0};  // of the longest chain of steps
};

// A configured service.
struct Service
{
    ServiceId id;
    bool isStandby = false;  // its machines are powered off
};

struct OwnerToken
{
    std::int64_t epoch = 0;  // increases with each owner
    // Shared by all workers, so that a worker that reappears never gets a lower token than before.
    std::int64_t lastBump = 0;
    // Upper bound of bumps per owner, so that the next owner's tokens are always higher.
    static constexpr std::int64_t bumpsPerEpoch = std::int64_t{1} << 32;
};

// Changes that are written together. They take effect when the write is durable.
struct Batch
{
    std::vector<ProgressRecord> records;
    std::vector<AttemptRef> starts;
    std::vector<std::pair<JobId, jobs::JobState>> states;
    std::vector<std::pair<WorkerIncarnation, std::int64_t>> completions;
    std::int64_t collection = 0;  // of the pending records in it; 0 if there are none

    bool isEmpty() const { return records.empty() && completions.empty(); }
};

// The state of the owner of the jobs. Changed by the functions of this directory; the caller sends
// what they add to `commands`.
struct Engine
{
    EngineLimits limits;
    OwnerToken token;
    std::map<QueueId, Queue> queues;
    std::map<ServiceId, Service> services;
    accounts::ClientAccounts accounts;
    // What the runs of each account reserve on this owner's workers, from their planned start until
    // they are known to have ended.
    std::map<AccountId, jobs::Resources> accountUse;
    std::map<AccountId, jobs::Resources> longRunningUse;  // the part of tasks that last
    // What each account may have running on this owner's workers: its part of the cap, as
    // accounts::limitsOf gives it. An account without an entry may start nothing.
    std::map<AccountId, jobs::Resources> accountLimits;
    std::map<AccountId, CapHold> capHolds;  // of the accounts that are held by their caps now
    AccountShares shares;
    double jobShare = 1;  // part of the deployment's jobs that this owner gets
    std::unordered_map<JobId, jobs::Job> jobs;
    JobSet active{jobs::JobIndex::Active};
    JobSet waiting{jobs::JobIndex::Waiting};
    JobSet dirty{jobs::JobIndex::Unstored};
    std::deque<JobId> settled;  // no longer active, in this order
    // Cancelled, as cancelJob() was called, before their submission was read.
    std::set<std::pair<JobId, std::optional<Canceller>>> cancelledEarly;
    std::map<WorkerIncarnation, Worker> workers;
    std::map<WorkerId, WorkerIncarnation> newestIncarnations;
    std::vector<Command> commands;
    std::vector<Decision> decisions;  // for the decision log
    // Of the most frequent kinds, so many may be queued at a time.
    std::size_t decisionAllowance = std::numeric_limits<std::size_t>::max();
    std::size_t decisionsOmitted = 0;  // not queued for that reason
    // The last runs of each kind, oldest first. See run_outcomes.hpp.
    std::map<std::string, std::deque<RunOutcome>, std::less<>> outcomes;
    std::set<TaskRef> suspects;  // tasks that may have taken a worker down
    std::deque<RackSilence> silences;  // of the last seconds, oldest first
    TimePoint takenOverAt{};  // when this owner shut out its predecessor
    ReleaseCounts released{};  // runs by cause, for the metrics
    std::size_t runsAdopted = 0;  // runs of earlier owners that were taken over
    std::size_t workersAdopted = 0;  // workers that first became known by such a run
    std::size_t jobsHeld = 0;  // their stored progress could not be read in full
    std::uint64_t tasksLost = 0;  // runs that were lost with their workers, for the metrics
    std::map<StepPlace, UnplacedStep> unplaced;  // as of the last review
    TimePoint unplacedReviewedAt{};
    std::uint64_t tasksUnplaced = 0;  // that were reported, for the metrics
    std::vector<JobId> forgotten;  // jobs to delete from the store
    std::set<JobId> beingDeleted;  // forgotten; their deletion has not been read from the job log
    std::vector<ProgressRecord> pendingRecords;  // other records for the next batch
    std::int64_t collections = 0;  // how often pending records were taken into a batch
    std::int64_t collectionsStored = 0;  // the newest whose batch is stored
    std::set<std::string> refusedRecords;  // keys of other records that the store has refused
    interference::PairTable interference;  // images that slow each other down
    TimePoint separatedAt{};  // when a filling task was last moved away from serving ones
    std::uint64_t tasksSeparated = 0;  // for the metrics, as the next
    std::uint64_t paceCommands = 0;
    std::vector<Arrival> arrivals;  // since the forecast last consumed them
    bool needsPlan = false;
    // False while the ownership is unconfirmed: leases are renewed but nothing starts.
    bool mayStart = true;
};

}  // namespace poplarstream::engine
