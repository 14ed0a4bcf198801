#pragma once

#include <array>  // for array
#include <cstdint>  // for uint8_t, uint32_t, uint64_t
#include <queue>  // for priority_queue
#include <string>  // for string
#include <unordered_map>  // for unordered_map
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId, ZoneId, PoolId
#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/traffic/connection_cycle.hpp"  // for ConnectionState
#include "poplarstream/traffic/estimates.hpp"  // for TimeEstimate, TokenBucket
#include "poplarstream/traffic/fair_queue.hpp"  // for FairQueue, FlowKey
#include "poplarstream/traffic/messages.hpp"  // for RequestNumber, AttemptNumber, LoadReport
#include "poplarstream/traffic/settings.hpp"  // for TrafficSettings
#include "poplarstream/traffic/slab.hpp"  // for Slab

namespace poplarstream::traffic {

// Indices into the vectors of TrafficState. They are stable for the lifetime of the process, so
// that pending requests survive a configuration change.
using ServiceIndex = std::uint32_t;
using TenantIndex = std::uint32_t;
using PoolIndex = std::uint32_t;
using MinionIndex = std::uint32_t;

// Per request, including hedges and attempts that were not sent.
inline constexpr std::uint8_t maxAttempts = 4;
using AttemptList = std::array<AttemptNumber, maxAttempts>;

struct PendingRequest
{
    ServiceIndex service = 0;
    FlowKey key;
    std::uint64_t bytes = 0;
    TimePoint admittedAt{};
    TimePoint deadline{};
    bool queued = true;
    bool mayHaveRun = false;  // an attempt was sent and got neither a response nor a refusal
    bool hedged = false;
    std::uint8_t liveAttempts = 0;
    std::uint8_t attemptCount = 0;
    AttemptList attemptNumbers{};
    MinionIndex lastMinion = ~0U;
    Reason lastReason = Reason::DeadlinePassed;
};

// One attempt to run a request on a minion. If `request` has already ended, the response is
// dropped.
struct Attempt
{
    RequestNumber request{};
    ServiceIndex service = 0;
    FlowKey key;
    MinionIndex minion = 0;
    ConnectionNumber connection{};  // 0 after another response arrived on the connection
    TimePoint sentAt{};
    bool sent = false;  // false while the connection is opening
    bool overdue = false;
    double charged = 0;  // cost charged in the fair queue
};

struct Connection
{
    MinionIndex minion = 0;
    ConnectionState state = ConnectionState::Connecting;
    AttemptNumber attempt{};  // in flight, or waiting for the connection to open
    bool probeInFlight = false;
    TimePoint stateSince{};
    TimePoint lastReceivedAt{};
    TimePoint openedAt{};
};

// State of a minion as seen by this entry host. Kept after the minion is removed from the settings.
struct Minion
{
    MinionSettings settings;
    PoolIndex pool = 0;
    Milliseconds roundTripTime{0};
    bool inOwnZone = false;
    bool configured = true;
    bool leaving = false;  // reported by the minion or by membership
    bool leavingByMembership = false;
    TimePoint leavingReportedAt{};  // last report of the minion itself

    std::vector<ConnectionNumber> connections;  // all open or opening connections
    std::vector<ConnectionNumber> idle;  // usable connections, most recently active last
    std::uint32_t overdueConnections = 0;  // with an overdue request
    bool isCandidate = false;  // of at least one service
    bool reachable = false;  // some connection was active since `revalidationStartedAt`
    TimePoint revalidationStartedAt{};  // older connections need a probe before they are reused
    TimePoint reopenAt{};
    std::uint32_t connectFailures = 0;

    std::uint32_t inFlight = 0;  // without overdue attempts
    double limit = 1;  // adaptive limit of requests in flight
    LoadReport report;
    TimePoint reportedAt{};
    std::uint32_t sentSinceReport = 0;
    TimeEstimate latencyRatio{1, 0.5, 0};  // service time over the mean of the service
    TimePoint limitDecreasedAt{};

    TimePoint backoffUntil{};  // after a refusal or a failure
    double failureRate = 0;
    std::uint32_t consecutiveFailures = 0;
    bool ejected = false;
    bool halfOpen = false;  // readmitted after a probe; the next request decides
    TimePoint ejectedUntil{};
    std::uint32_t ejections = 0;
};

struct Service
{
    ServiceSettings settings;
    bool configured = true;
    FairQueue queue;
    TimeEstimate serviceTime;
    std::vector<PoolIndex> pools;
    std::vector<MinionIndex> ownZoneMinions;  // candidates of the own zone
    std::vector<MinionIndex> remoteMinions;  // candidates of other zones, nearest first
    double capacity = 0;  // allowed requests in flight; see refreshCapacity()
    bool usable = false;  // some candidate accepts requests
    TimePoint lastUsableAt{};
    std::vector<TokenBucket> retryBudgets;  // by tenant index
    std::uint32_t inFlight = 0;
};

struct Pool
{
    PoolId id;
    std::vector<ServiceIndex> services;
    double virtualTime = 0;
};

struct Tenant
{
    TenantSettings settings;
    bool configured = true;
    TokenBucket quota;
};

enum class TimerKind : std::uint8_t { Deadline, Hedge, Overdue, Connect };

struct Timer
{
    TimePoint at;
    TimerKind kind;
    std::uint64_t number = 0;  // request, attempt or connection number

    friend bool operator>(const Timer &a, const Timer &b)
    {
        return a.at != b.at ? a.at > b.at : a.number > b.number;
    }
};

// Counters since the start of the process.
struct TrafficCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;  // attempts sent, including retries and hedges
    std::uint64_t retried = 0;
    std::uint64_t hedged = 0;
    std::uint64_t delivered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lateResponses = 0;
    std::uint64_t silentConnections = 0;
    std::uint64_t ejections = 0;
};

struct TrafficState
{
    // `incarnationId` is part of every request id and must be unique per process start. `seed`
    // initializes the random generator.
    TrafficState(std::uint64_t incarnationId, std::uint64_t seed)
        : incarnation(incarnationId)
        , random(seed)
    {}

    std::uint64_t incarnation;
    Random random;
    PolicySettings policy;
    EntryHostId entryHost;
    ZoneId ownZone;
    std::uint32_t livePeers = 1;
    bool stopping = false;

    std::unordered_map<std::string, ServiceIndex> serviceIndex;
    std::unordered_map<std::string, TenantIndex> tenantIndex;
    std::unordered_map<std::string, MinionIndex> minionIndex;
    std::unordered_map<std::string, PoolIndex> poolIndex;
    std::vector<Service> services;
    std::vector<Tenant> tenants;
    std::vector<double> tenantWeights;
    std::vector<Minion> minions;
    std::vector<Pool> pools;

    Slab<RequestNumber, PendingRequest> requests;
    Slab<AttemptNumber, Attempt> attempts;
    Slab<ConnectionNumber, Connection> connections;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;

    std::uint32_t queued = 0;
    std::uint64_t queuedBytes = 0;
    TimePoint refreshedAt{};
    TrafficCounters counters;
};

}  // namespace poplarstream::traffic
