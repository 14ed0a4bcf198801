#pragma once

#include <cstdint>  // for int64_t
#include <limits>  // for numeric_limits
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <unordered_map>  // for unordered_map
#include <vector>  // for vector

#include "poplarstream/engine/decision.hpp"  // for Decision
#include "poplarstream/engine/worker_commands.hpp"  // for Command, MachineCommand
#include "poplarstream/jobs/model.hpp"  // for Job, JobId, WorkerIncarnation, Resources, TaskRef

namespace poplarstream::engine {

using jobs::JobId;
using jobs::QueueId;
using jobs::TaskRef;
using jobs::WorkerId;
using jobs::WorkerIncarnation;

// Time limits of the deployment that bind decisions.
struct EngineLimits
{
    Milliseconds lease{5000};  // how long a worker runs on without hearing from its owner
    Milliseconds stopTimeout{900};  // a stop takes no longer
    Milliseconds statusRetention{120'000};  // an completed job can be asked for this long
    Milliseconds machineLease{3000};  // commands for one machine change hands no faster
    Milliseconds migration{1500};  // a moved machine is away this long
    Milliseconds maintenance{2000};  // a machine in upkeep is away this long
};

// A worker as the registry describes it.
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
    Milliseconds leavesIn{0};  // while draining: the least time that is left
    std::int64_t clockMs = 0;  // the worker's clock when it reported

    friend bool operator==(const WorkerEntry &, const WorkerEntry &) = default;
};

// Where the conversation with a worker stands.
enum class Reachability {
    Unconfirmed,  // has not answered this owner yet, so nothing may start there
    Reachable,
    Unreachable,  // the last look was not answered
};

struct AttemptRef
{
    TaskRef task;
    int run = 0;

    friend auto operator<=>(const AttemptRef &, const AttemptRef &) = default;
    friend bool operator==(const AttemptRef &, const AttemptRef &) = default;
};

// What is known of one incarnation of a worker.
// Why a long-running task does not leave its worker yet.
struct EvacuationHold
{
    jobs::TaskRef task;
    int missing = 0;  // other tasks of its step that are not at work, as many as may be
    bool hasCandidate = true;  // whether another worker could take it
};

struct Worker
{
    WorkerEntry entry;
    TimePoint knownSince{};  // to this owner, from the registry or from a record
    bool isListed = false;  // in the registry
    bool isGone = false;  // its incarnation is known to be over
    Reachability reachability = Reachability::Unconfirmed;
    bool isCordoned = false;  // to be emptied for upkeep or a move
    bool isDueForMaintenance = false;  // will be emptied soon, so other workers are filled first
    std::optional<EvacuationHold> heldBy;  // of the first task that does not leave yet
    jobs::Resources used;  // by attempts that run or may run
    std::map<AttemptRef, std::int64_t> attempts;  // to the first look that settles their absence
    std::set<AttemptRef> unexpectedAttempts;  // runs that no job accounts for; being stopped

    std::int64_t tokenBump = 0;  // raised to void commands without an answer
    bool wantsPromptLook = false;  // the next look must not wait for an end
    std::int64_t lookNumber = 0;  // of the last look that was sent
    bool isLooking = false;
    TimePoint lookSentAt{};
    TimePoint nextLookAt{};
    TimePoint leaseUntil{};  // everything there has lapsed by then, whatever was lost
    TimePoint openedAt{};  // the first look that was answered: no order of an earlier owner counts
    TimePoint answeredAt{};  // the last look that was answered
    std::int64_t clockMs = 0;
    TimePoint clockSeenAt{};
    std::int64_t completionsSeen = 0;  // highest number of an end that was processed
    std::int64_t completionsStored = 0;  // and whose effect is durable
    TimePoint idleSince{};
    std::set<JobId> failedJobs;  // jobs with a run that failed there since another was done
    TimePoint suspectUntil{};  // gets no task until then
    int suspicions = 0;  // doubles the time
};

struct Queue
{
    jobs::QueuePolicy policy;
};

// Work that was handed in for a service, to be done at once.
struct Arrival
{
    ServiceId service;
    TimePoint at{};
    double cpuMilliMs = 0;  // declared processor time, in thousandths of a core times milliseconds
    double memoryMbMs = 0;
    Milliseconds length{0};  // of the longest chain of steps
};

// A service as the configuration describes it.
struct Service
{
    ServiceId id;
    bool isStandby = false;  // its machines are off
};

struct OwnerToken
{
    std::int64_t epoch = 0;  // rises with each owner
    // Shared by all workers, so that a worker that comes back never meets a lower token.
    std::int64_t lastBump = 0;
    // Bumps stay below this, so that a new owner's tokens are always higher.
    static constexpr std::int64_t bumpsPerEpoch = std::int64_t{1} << 32;
};

// One record for the store. Without a value the key is dropped.
struct ProgressRecord
{
    std::string key;
    std::optional<std::string> value;
};

// Changes that are written together; their effects follow when the store has them.
struct Batch
{
    std::vector<ProgressRecord> records;
    std::vector<AttemptRef> starts;
    std::vector<std::pair<JobId, jobs::JobState>> states;
    std::vector<std::pair<WorkerIncarnation, std::int64_t>> ends;

    bool isEmpty() const { return records.empty() && ends.empty(); }
};

// All that the owner of the jobs knows. Changed by the functions of job_events, worker_events,
// planning and batches; `commands` collects what the caller has to send.
struct Engine
{
    EngineLimits limits;
    OwnerToken token;
    std::map<QueueId, Queue> queues;
    std::map<ServiceId, Service> services;
    std::unordered_map<JobId, jobs::Job> jobs;
    std::set<JobId> active;  // not final, or with attempts left
    std::set<JobId> dirty;
    std::set<JobId> cancelledEarly;  // cancelled before their submission was seen
    std::map<WorkerIncarnation, Worker> workers;
    std::map<WorkerId, WorkerIncarnation> newestIncarnations;  // the newest incarnation of each id
    std::vector<Command> commands;
    std::vector<Decision> decisions;  // to be logged
    std::vector<JobId> forgotten;  // jobs whose submission can go from the store
    std::vector<ProgressRecord> pendingRecords;  // other records that the next batch carries
    std::vector<Arrival> arrivals;  // since they were last taken for the forecast
    bool needsPlan = false;
    // An owner that cannot confirm its ownership extends leases but starts nothing.
    bool mayStart = true;
};

}  // namespace poplarstream::engine
