#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <deque>  // for deque
#include <functional>  // for function
#include <memory>  // for unique_ptr
#include <queue>  // for priority_queue
#include <unordered_map>  // for unordered_map
#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/traffic/messages.hpp"  // for Response, LoadReport, Reason
#include "poplarstream/traffic/settings.hpp"  // for TrafficSettings

namespace poplarstream::bench {

// A virtual network of callers, entry hosts and minions for the traffic cases. Times are
// microseconds; the entry hosts see milliseconds.
using Micros = std::int64_t;

inline constexpr Micros oneSecond = 1'000'000;

struct KindOfWork
{
    std::size_t service = 0;
    std::uint8_t urgency = 0;
    std::size_t firstTenant = 0;  // tenants are drawn from [firstTenant, firstTenant + tenants)
    std::size_t tenants = 1;
    Micros deadline = oneSecond;
    bool flood = false;
    std::function<double(Micros)> rate;  // requests per second over all entry hosts
    std::vector<std::size_t> entries;  // entry hosts that get it; empty means all
};

struct WorldSetup
{
    std::vector<ZoneId> zones;
    std::vector<std::vector<Micros>> roundTrip;  // by zone and zone
    std::vector<std::size_t> entryZones;  // one entry host each
    traffic::TrafficSettings settings;  // without entry host, own zone and distances
    std::vector<Micros> serviceTime;  // mean, by service
    std::vector<std::uint32_t> realSlots;  // by minion
    std::vector<double> slowness;  // factor of the service time, by minion; empty means 1
    std::vector<KindOfWork> work;
    Micros end = 30 * oneSecond;
};

enum class Outcome : std::uint8_t { Open, Answered, Failed, NotRun, MayHaveRun };

struct CallerRequest
{
    std::size_t kind = 0;
    std::size_t tenant = 0;
    std::size_t entry = 0;
    Micros arrival = 0;
    Micros deadline = 0;
    Micros ended = 0;
    std::uint32_t started = 0;  // how often a minion started it
    std::uint32_t ends = 0;
    bool wrongAnswer = false;
    Outcome outcome = Outcome::Open;
};

class World;

// How an entry host of either version is driven.
struct EntryHost
{
    std::function<void(std::size_t request)> admit;
    std::function<void(std::uint64_t connection)> connected;
    std::function<void(std::uint64_t connection)> connectionFailed;
    std::function<void(std::uint64_t connection, const std::string &id, std::size_t request,
                       traffic::ResponseKind kind, const traffic::LoadReport &load)>
            answered;
    std::function<void(std::uint64_t connection, const traffic::LoadReport &load)> probed;
    std::function<void()> tick;
};

using EntryFactory = std::function<EntryHost(World &, std::size_t entry)>;

class World
{
public:
    World(WorldSetup setup, const EntryFactory &factory, std::uint64_t seed);

    // Runs arrivals and events to the end and a deadline beyond.
    void run();

    // What an entry host does.
    void open(std::size_t entry, std::uint64_t connection, std::size_t minion);
    void send(std::size_t entry, std::uint64_t connection, const std::string &id,
              std::size_t request);
    void probe(std::size_t entry, std::uint64_t connection);
    void close(std::size_t entry, std::uint64_t connection);
    void finish(std::size_t request, Outcome outcome, std::size_t answerOf);

    // Faults. A scheduled action runs at `time`; a cut drops what is sent from one zone to another.
    void at(Micros time, std::function<void()> action);
    void silenceOpenConnections();
    void setCut(std::size_t fromZone, std::size_t toZone, bool cut);
    // A failing minion answers everything at once with a failure. A leaving one finishes its work
    // and marks its answers; the work that it starts 2 s or more after the mark is counted.
    void setFailing(std::size_t minion, bool failing);
    void setLeaving(std::size_t minion);
    std::uint64_t startedWhileLeaving() const { return startedWhileLeaving_; }

    TimePoint now() const { return timePoint(now_ / 1000); }
    Micros nowMicros() const { return now_; }
    const WorldSetup &setup() const { return setup_; }
    const std::vector<CallerRequest> &requests() const { return requests_; }
    const CallerRequest &request(std::size_t index) const { return requests_[index]; }

private:
    struct Event
    {
        Micros time;
        std::uint64_t order;
        std::function<void()> action;
        friend bool operator>(const Event &a, const Event &b)
        {
            return a.time != b.time ? a.time > b.time : a.order > b.order;
        }
    };
    struct Link
    {
        std::size_t minion = 0;
        bool silent = false;
    };
    struct Job
    {
        std::size_t entry = 0;
        std::uint64_t connection = 0;
        std::string id;
        std::size_t request = 0;
    };
    struct MinionModel
    {
        std::uint32_t busy = 0;
        std::deque<Job> waiting;
        bool failing = false;
        Micros leavingSince = 0;
    };

    void scheduleArrival(std::size_t kind, Micros from);
    void arrive(std::size_t kind);
    void startJobs(std::size_t minion);
    void endJob(std::size_t minion, const Job &job);
    void answer(std::size_t minion, const Job &job, traffic::ResponseKind kind);
    bool passes(std::size_t entry, std::uint64_t connection, bool toMinion) const;
    Micros oneWay(std::size_t entry, std::size_t minion) const;
    std::size_t zoneOf(std::size_t minion) const { return minionZones_[minion]; }
    traffic::LoadReport load(std::size_t minion) const;

    WorldSetup setup_;
    Random random_;
    Micros now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<EntryHost> entries_;
    std::vector<std::unordered_map<std::uint64_t, Link>> links_;  // by entry host
    std::vector<MinionModel> minions_;
    std::vector<std::size_t> minionZones_;
    std::vector<std::vector<bool>> cut_;
    std::vector<CallerRequest> requests_;
    std::uint64_t startedWhileLeaving_ = 0;
};

// The present version, driven through the module's commands, and the naive one: a first-come queue,
// random routing over all minions, three retries, each after a third of the deadline.
EntryHost presentEntryHost(World &world, std::size_t entry);
EntryHost naiveEntryHost(World &world, std::size_t entry);

}  // namespace poplarstream::bench
