#include "wave_world.hpp"

#include <algorithm>  // for min, max
#include <map>  // for map

#include "poplarstream/maintenance/wave_step.hpp"  // for stepWaves

namespace poplarstream::bench {
namespace {

using namespace maintenance;
using Machine = fake::Machine;

// Pools whose hosts move to another pool share its queue: the target serves the services of both,
// or the source would have nobody left.
class UrgentQueues
{
public:
    UrgentQueues(const UrgentLoad &load, const FleetView &view)
        : load_(load)
        , group_(view.pools.size())
        , backlog_(view.pools.size())
        , full_(view.pools.size())
    {
        const auto indexOf = [&](const PoolId &id) {
            std::size_t index = 0;
            while (view.pools[index].id != id) {
                ++index;
            }
            return index;
        };
        for (std::size_t p = 0; p < view.pools.size(); ++p) {
            group_[p] = p;
            served_ += view.pools[p].isSpare ? 0 : 1;
        }
        for (const WaveView &wave : view.waves) {
            for (const PoolId &pool : wave.pools) {
                if (hasMove(wave.action)) {
                    group_[indexOf(pool)] = indexOf(wave.target);
                }
            }
        }
        for (const HostView &host : view.hosts) {
            full_[indexOf(host.pool)] += host.capacity;
        }
        for (std::size_t p = 0; p < full_.size(); ++p) {
            offered_.push_back(view.pools[p].isSpare ? 0 : full_[p] * load.meanShare);
        }
    }

    // Requests a second of a pool at `second`. With a peak of five times the mean and a twentieth
    // between them, 19% of the time is peak: the pools take turns.
    double demand(std::size_t pool, int second) const
    {
        const int period = load_.peakSeconds * static_cast<int>(std::max<std::size_t>(5, served_));
        const int phase = (second + static_cast<int>(pool) * load_.peakSeconds) % period;
        return offered_[pool] * (phase < load_.peakSeconds ? 5 : 0.05);
    }

    void second(const std::vector<double> &capacity, int second, WaveRun &run)
    {
        std::vector<double> arriving(full_.size());
        std::vector<double> serving(full_.size());
        for (std::size_t p = 0; p < full_.size(); ++p) {
            arriving[group_[p]] += demand(p, second);
            serving[group_[p]] += capacity[p];
        }
        for (std::size_t g = 0; g < full_.size(); ++g) {
            const double room =
                    std::max(0.0, serving[g] * load_.deadlineSeconds - backlog_[g]) + serving[g];
            const double taken = std::min(arriving[g], room);
            backlog_[g] = std::max(0.0, backlog_[g] + taken - serving[g]);
            run.offered += arriving[g];
            run.onTime += taken;
        }
    }

    const std::vector<double> &fullCapacity() const { return full_; }
    // The mean demand of each pool.
    const std::vector<double> &meanDemand() const { return offered_; }

private:
    UrgentLoad load_;
    std::vector<std::size_t> group_;
    std::vector<double> backlog_;
    std::vector<double> full_;
    std::vector<double> offered_;
    std::size_t served_ = 0;
};

std::vector<double> servingCapacity(const fake::Fleet &fleet)
{
    std::vector<double> capacity(fleet.view.pools.size());
    for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
        if (fleet.machines[i].state != Machine::State::Serving) {
            continue;
        }
        for (std::size_t p = 0; p < capacity.size(); ++p) {
            if (fleet.view.pools[p].id == fleet.view.hosts[i].pool) {
                capacity[p] += fleet.view.hosts[i].capacity;
            }
        }
    }
    return capacity;
}

class Disturber
{
public:
    Disturber(const Disturbance &disturbance, std::uint64_t seed)
        : disturbance_(disturbance)
        , random_(seed)
    {}

    void tick(fake::Fleet &fleet, int second, int tick)
    {
        for (auto it = backAt_.begin(); it != backAt_.end();) {
            if (it->second > second) {
                ++it;
                continue;
            }
            fleet.boot(it->first);
            it = backAt_.erase(it);
        }
        if (disturbance_.rackLostAt && !isRackLost_ && second >= *disturbance_.rackLostAt) {
            isRackLost_ = true;
            const RackId rack = fleet.view.hosts[random_.below(fleet.machines.size())].rack;
            for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
                if (fleet.view.hosts[i].rack == rack) {
                    fleet.crash(i);
                    backAt_[i] = second + disturbance_.rackBackAfter;
                }
            }
        }
        if (random_.unit() < disturbance_.failuresPerDay * tick / 86'400) {
            const std::size_t host = random_.below(fleet.machines.size());
            fleet.crash(host);
            backAt_[host] = second + disturbance_.failedFor;
        }
    }

    bool isLogAway(int second) const
    {
        return disturbance_.logAwayAt && second >= *disturbance_.logAwayAt
               && second < *disturbance_.logAwayAt + disturbance_.logAwayFor;
    }

    // The holder cannot renew its lease of 15 s, with a margin of 1 s.
    bool holdsLease(int second) const
    {
        constexpr int leaseSeconds = 14;
        return !isLogAway(second) || second < *disturbance_.logAwayAt + leaseSeconds;
    }

private:
    Disturbance disturbance_;
    Random random_;
    std::map<std::size_t, int> backAt_;
    bool isRackLost_ = false;
};

InFlight inFlightOf(const ControlBody &body)
{
    if (const auto *request = std::get_if<AbsenceRequest>(&body)) {
        return {request->host, request->target};
    }
    if (const auto *progress = std::get_if<AbsenceProgress>(&body)) {
        return {progress->host, {}};
    }
    if (const auto *health = std::get_if<HostHealth>(&body)) {
        return {health->host, {}};
    }
    if (const auto *move = std::get_if<HostMove>(&body)) {
        return {move->host, {}};
    }
    return {};
}

}  // namespace

WaveRun runWaves(fake::Fleet fleet, const UrgentLoad &load, const Disturbance &disturbance,
                 int tick, int bound, std::uint64_t seed)
{
    WaveRun run;
    UrgentQueues queues(load, fleet.view);
    Disturber disturber(disturbance, seed);
    std::vector<ControlBody> records;
    std::vector<HostCommand> commands;
    for (int second = 0; second < bound; second += tick) {
        fleet.advance(std::chrono::seconds(tick));
        disturber.tick(fleet, second, tick);
        // What was sent in the last tick arrives: an append and its read-back take less than one.
        std::vector<InFlight> inFlight;
        if (disturber.isLogAway(second)) {
            for (const ControlBody &body : records) {
                inFlight.push_back(inFlightOf(body));
            }
        } else {
            for (const ControlBody &body : records) {
                const bool isGranted = fleet.apply(body);
                const bool isRequest = std::holds_alternative<AbsenceRequest>(body);
                run.refusedRequests += isRequest && !isGranted ? 1 : 0;
            }
            run.records += records.size();
            records.clear();
        }
        for (const HostCommand &command : commands) {
            fleet.execute(command);
        }
        if (load.meanShare > 0) {
            queues.second(servingCapacity(fleet), second, run);
        }
        if (fleet.isComplete()) {
            run.isComplete = true;
            run.rollout = second;
            break;
        }
        for (std::size_t p = 0; p < fleet.view.pools.size(); ++p) {
            fleet.view.pools[p].sustainedDemand = queues.meanDemand()[p];
            fleet.view.pools[p].demand = fleet.view.pools[p].sustainedDemand;
        }
        const auto observations = fleet.observe(fleet.view);
        StepOutput output =
                stepWaves({fleet.view, observations, inFlight, disturber.holdsLease(second),
                           !disturber.isLogAway(second), fleet.now});
        records.insert(records.end(), output.proposals.begin(), output.proposals.end());
        commands = std::move(output.commands);
    }
    run.moves = fleet.moves;
    run.checks = fleet.checks;
    run.violations = fleet.violations.size();
    return run;
}

WaveRun runNaively(const fake::Fleet &fleet, const UrgentLoad &load)
{
    WaveRun run;
    UrgentQueues queues(load, fleet.view);
    int second = 0;
    for (const WaveView &wave : fleet.view.waves) {
        for (std::size_t i = 0; i < fleet.machines.size(); ++i) {
            const HostView &host = fleet.view.hosts[i];
            if (std::find(wave.pools.begin(), wave.pools.end(), host.pool) == wave.pools.end()) {
                continue;
            }
            Milliseconds length = fleet.machines[i].drainTime;
            length += hasReboot(wave.action) ? fleet.machines[i].rebootTime : Milliseconds{0};
            length += hasMove(wave.action) ? fleet.view.policy.moveTime : Milliseconds{0};
            run.moves += hasMove(wave.action) ? 1 : 0;
            std::vector<double> capacity = queues.fullCapacity();
            for (std::size_t p = 0; p < capacity.size(); ++p) {
                capacity[p] -= fleet.view.pools[p].id == host.pool ? host.capacity : 0;
            }
            for (int end = second + static_cast<int>(length.count() / 1000); second < end;
                 ++second) {
                if (load.meanShare > 0) {
                    queues.second(capacity, second, run);
                }
            }
        }
    }
    run.rollout = second;
    run.isComplete = true;
    return run;
}

WaveRun runWithoutWaves(const fake::Fleet &fleet, const UrgentLoad &load, int length)
{
    WaveRun run;
    UrgentQueues queues(load, fleet.view);
    for (int second = 0; second < length; ++second) {
        queues.second(queues.fullCapacity(), second, run);
    }
    return run;
}

}  // namespace poplarstream::bench
