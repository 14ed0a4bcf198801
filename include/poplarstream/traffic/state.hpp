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

// Indices into the vectors of TrafficState. They stay the same while the process lives, so that
// requests in progress survive a change of the configuration.
using ServiceIndex = std::uint32_t;
using TenantIndex = std::uint32_t;
using PoolIndex = std::uint32_t;
using MinionIndex = std::uint32_t;

// Attempts of one request, whatever ended them, hedges included.
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
    bool mayHaveRun = false;  // an attempt was sent and neither answered nor refused
    bool hedged = false;
    std::uint8_t liveAttempts = 0;
    std::uint8_t attemptCount = 0;
    AttemptList attemptNumbers{};
    MinionIndex lastMinion = ~0U;
    Reason lastReason = Reason::DeadlinePassed;
};

// One try of a request at a minion. `request` may have ended already; the answer is then dropped.
struct Attempt
{
    RequestNumber request{};
    ServiceIndex service = 0;
    FlowKey key;
    MinionIndex minion = 0;
    ConnectionNumber connection{};  // none once the pairing of answers on it is in doubt
    TimePoint sentAt{};
    bool sent = false;  // false while the connection is being opened
    bool overdue = false;
    double charged = 0;
};

struct Connection
{
    MinionIndex minion = 0;
    ConnectionState state = ConnectionState::Connecting;
    AttemptNumber attempt{};  // in flight, or bound and waiting for the connection to open
    bool probeInFlight = false;
    TimePoint stateSince{};
    TimePoint lastReceivedAt{};
    TimePoint openedAt{};
};

// What this entry host knows of a minion. Lives on when the minion is removed from the settings.
struct Minion
{
    MinionSettings settings;
    PoolIndex pool = 0;
    Milliseconds roundTripTime{0};
    bool inOwnZone = false;
    bool configured = true;
    bool leaving = false;  // marked by the minion or listed as leaving by membership
    bool leavingByMembership = false;
    TimePoint leavingReportedAt{};  // when the minion's leaving mark was last seen

    std::vector<ConnectionNumber> connections;  // all that are not closed
    std::vector<ConnectionNumber> idle;  // usable ones; the last one was heard most recently
    std::uint32_t overdueConnections = 0;  // connections whose request is overdue
    bool isCandidate = false;  // a candidate of some service
    bool reachable = false;  // some connection was heard since `suspectSince`
    TimePoint revalidationStartedAt{};  // connections not heard since then are not used before a
                                        // probe
    TimePoint reopenAt{};
    std::uint32_t connectFailures = 0;

    std::uint32_t inFlight = 0;  // overdue attempts are not counted
    double limit = 1;
    LoadReport report;
    TimePoint reportedAt{};
    std::uint32_t sentSinceReport = 0;
    TimeEstimate latencyRatio{1, 0.5, 0};  // measured time over the mean of the service
    TimePoint limitDecreasedAt{};

    TimePoint backoffUntil{};  // after a refusal or a failure
    double failureRate = 0;
    std::uint32_t consecutiveFailures = 0;
    bool ejected = false;
    bool halfOpen = false;  // readmitted by a probe, not yet by a request
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
    std::vector<MinionIndex> ownZoneMinions;  // usable candidates of the own zone
    std::vector<MinionIndex> remoteMinions;  // of other zones, nearest first
    double capacity = 0;  // requests in flight that this service may hold; see refreshCapacity
    bool usable = false;  // some candidate can take requests
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
    std::uint64_t number = 0;  // of the request, attempt or connection

    friend bool operator>(const Timer &a, const Timer &b)
    {
        return a.at != b.at ? a.at > b.at : a.number > b.number;
    }
};

// Counts since the process started.
struct TrafficCounters
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;  // all attempts with bytes sent
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
    // `incarnation` must differ between processes and between starts of the same entry host; it is
    // part of every request id. `seed` drives the random choices.
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
