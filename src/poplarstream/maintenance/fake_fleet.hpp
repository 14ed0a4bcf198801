#pragma once

#include <algorithm>  // for find, count_if
#include <map>  // for map
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView
#include "poplarstream/maintenance/wave_step.hpp"  // for HostCommand, HostObservation

// Fakes for tests and benchmarks only.
namespace poplarstream::maintenance::fake {

// A host that executes commands unless their grant is fenced. It performs none of the checks that
// stepWaves() is responsible for, such as being drained before a reboot.
struct Machine
{
    enum class State { Serving, Draining, Rebooting, Booted, Dead };

    State state = State::Serving;
    Milliseconds drainTime{0};
    Milliseconds rebootTime{0};
    TimePoint until;  // end of the drain or the reboot
    TimePoint bootedAt;
    Offset newestGrant = 0;
    Offset undrainedGrant = 0;
    bool staysAwayOnReboot = false;
    std::optional<TimePoint> unansweredSince;
};

// The machines and the control stream, with a reference check that recounts everything for each
// record.
class Fleet
{
public:
    FleetView view;
    std::vector<Machine> machines;  // in the order of view.hosts
    TimePoint now = timePoint(0);
    std::vector<std::string> violations;
    std::uint64_t checks = 0;
    std::uint32_t moves = 0;
    std::uint32_t loans = 0;

    std::size_t indexOf(const HostId &host) const
    {
        const auto it = std::lower_bound(
                view.hosts.begin(), view.hosts.end(), host,
                [](const HostView &entry, const HostId &id) { return entry.id < id; });
        return static_cast<std::size_t>(it - view.hosts.begin());
    }

    // Applies a record and returns whether it was granted.
    bool apply(const ControlBody &body)
    {
        ++offset_;
        const auto visitor = [this](const auto &record) { return applyOne(record); };
        return std::visit(visitor, body);
    }

    void execute(const HostCommand &command)
    {
        Machine &machine = machines[indexOf(command.host)];
        using State = Machine::State;
        const bool isUp = machine.state != State::Dead && machine.state != State::Rebooting;
        if (!isUp || command.kind == CommandKind::Probe || command.grant < machine.newestGrant) {
            return;
        }
        const bool isFenced = command.grant <= machine.undrainedGrant;
        if (command.kind == CommandKind::Drain && !isFenced) {
            if (machine.state != State::Draining) {
                machine.until = machine.state == State::Serving ? now + machine.drainTime : now;
                machine.state = State::Draining;
            }
        } else if (command.kind == CommandKind::Reboot && !isFenced) {
            ++checks;
            if (hasWork(machine)) {
                violations.push_back("a reboot cut off work on " + command.host.text());
            }
            machine.state = machine.staysAwayOnReboot ? State::Dead : State::Rebooting;
            machine.until = now + machine.rebootTime;
        } else if (command.kind == CommandKind::Undrain) {
            machine.undrainedGrant = std::max(machine.undrainedGrant, command.grant);
            if (machine.state == State::Draining || machine.state == State::Booted) {
                machine.state = State::Serving;
            }
        }
        machine.newestGrant = std::max(machine.newestGrant, command.grant);
    }

    bool hasWork(const Machine &machine) const
    {
        return machine.state == Machine::State::Serving
               || (machine.state == Machine::State::Draining && now < machine.until);
    }

    // The machine loses everything that it had in memory.
    void crash(std::size_t host)
    {
        machines[host].state = Machine::State::Dead;
        machines[host].newestGrant = 0;
        machines[host].undrainedGrant = 0;
    }

    void boot(std::size_t host)
    {
        machines[host].state = Machine::State::Booted;
        machines[host].bootedAt = now;
        machines[host].newestGrant = 0;
        machines[host].undrainedGrant = 0;
    }

    void advance(Milliseconds by)
    {
        now += by;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            Machine &machine = machines[i];
            if (machine.state == Machine::State::Rebooting && now >= machine.until) {
                boot(i);
            }
            if (machine.state == Machine::State::Booted
                && view.hosts[i].state == HostState::InService) {
                machine.state = Machine::State::Serving;
            }
            const bool isUp = machine.state != Machine::State::Dead
                              && machine.state != Machine::State::Rebooting;
            if (isUp) {
                machine.unansweredSince.reset();
            } else if (!machine.unansweredSince) {
                machine.unansweredSince = now;
            }
            // A machine that was drained or rebooted by a command must be counted as away.
            ++checks;
            const bool isSentAway = machine.state == Machine::State::Draining
                                    || machine.state == Machine::State::Rebooting;
            if (isSentAway && view.hosts[i].state == HostState::InService) {
                violations.push_back("an uncounted absence of " + view.hosts[i].id.text());
            }
        }
    }

    // What a process that has replayed the stream up to `replayed` would observe of the machines.
    std::vector<HostObservation> observe(const FleetView &replayed) const
    {
        std::vector<HostObservation> observations;
        for (std::size_t i = 0; i < machines.size(); ++i) {
            const Machine &machine = machines[i];
            const auto &grant = replayed.hosts[i].grant;
            HostObservation entry;
            entry.host = replayed.hosts[i].id;
            entry.grant = grant ? grant->offset : 0;
            entry.unansweredSince = machine.unansweredSince;
            if (!entry.unansweredSince) {
                entry.hostGrant = machine.newestGrant;
                entry.undrainedGrant = machine.undrainedGrant;
                entry.isDraining = machine.state == Machine::State::Draining;
                entry.isDrained = entry.isDraining && now >= machine.until;
                entry.hasRebooted = grant && machine.bootedAt > grant->since;
                entry.hasProbeSucceeded = !entry.isDraining;
            }
            observations.push_back(entry);
        }
        return observations;
    }

    // The number of hosts of the pool that are not in service, and of those that will move into it.
    std::uint32_t awayFrom(const PoolId &pool) const
    {
        std::uint32_t away = 0;
        for (const HostView &host : view.hosts) {
            const bool isAway = host.state != HostState::InService || host.isZoneLost;
            const bool isJoining =
                    host.grant && hasMove(host.grant->kind) && host.grant->target == pool;
            away += isAway && (host.pool == pool || isJoining) ? 1 : 0;
        }
        return away;
    }

    // Whether all running waves are complete: every host that can be processed has been, no host is
    // away except failed ones, and no loan is open.
    bool isComplete() const
    {
        for (const HostView &host : view.hosts) {
            if (host.state != HostState::InService && host.state != HostState::Failed) {
                return false;
            }
        }
        for (const WaveView &wave : view.waves) {
            if (!wave.loans.empty()) {
                return false;
            }
            if (wave.state != WaveState::Running) {
                continue;
            }
            for (const HostView &host : view.hosts) {
                const bool isOpen = host.state == HostState::InService
                                    && includesPool(wave, host.pool)
                                    && ((hasReboot(wave.action) && !isDone(wave, host.id))
                                        || (hasMove(wave.action) && host.pool != wave.target));
                if (isOpen) {
                    return false;
                }
            }
        }
        return true;
    }

private:
    static bool includesPool(const WaveView &wave, const PoolId &pool)
    {
        return std::find(wave.pools.begin(), wave.pools.end(), pool) != wave.pools.end();
    }

    static bool isDone(const WaveView &wave, const HostId &host)
    {
        return std::binary_search(wave.done.begin(), wave.done.end(), host);
    }

    const PoolView *poolOf(const PoolId &pool) const
    {
        for (const PoolView &entry : view.pools) {
            if (entry.id == pool) {
                return &entry;
            }
        }
        return nullptr;
    }

    // Recounts all racks as if `leaving` were already away.
    bool hasBudgetFor(const PoolId &pool, const HostView &leaving) const
    {
        const PoolView *entry = poolOf(pool);
        const std::uint32_t away = awayFrom(pool) + 1;
        if (entry == nullptr || away > entry->maxAway) {
            return false;
        }
        std::map<RackId, std::uint32_t> racks;
        for (const HostView &host : view.hosts) {
            if (host.pool == pool && host.state == HostState::InService && !host.isZoneLost
                && host.id != leaving.id) {
                const RackId rack = host.rack.isEmpty() ? RackId(host.id.text()) : host.rack;
                if (++racks[rack] + away > entry->maxAway && view.hasRackHeadroom) {
                    return false;
                }
            }
        }
        return true;
    }

    // A request without a wave is accepted; one for a wave requires the wave to be running.
    bool acceptsRequests(const WaveId &wave) const
    {
        return wave.isEmpty()
               || std::any_of(view.waves.begin(), view.waves.end(), [&](const WaveView &entry) {
                      return entry.id == wave && entry.state == WaveState::Running;
                  });
    }

    void setState(HostView &host, HostState state)
    {
        host.state = state;
        host.stateSince = now;
    }

    bool applyOne(const AbsenceRequest &request)
    {
        HostView &host = view.hosts[indexOf(request.host)];
        if (host.state != HostState::InService || host.isZoneLost || !acceptsRequests(request.wave)
            || !hasBudgetFor(host.pool, host)
            || (hasMove(request.kind) && !hasBudgetFor(request.target, host))) {
            return false;
        }
        host.grant = Grant{offset_, request.kind, request.target, request.wave, now};
        setState(host, HostState::Draining);
        ++checks;
        for (const PoolView &pool : view.pools) {
            const bool isConcerned =
                    pool.id == host.pool || (hasMove(request.kind) && pool.id == request.target);
            if (isConcerned && awayFrom(pool.id) > pool.maxAway) {
                violations.push_back("the budget of " + pool.id.text() + " is exceeded");
            }
        }
        return true;
    }

    bool applyOne(const AbsenceProgress &progress)
    {
        HostView &host = view.hosts[indexOf(progress.host)];
        if (!host.grant || host.grant->offset != progress.grant) {
            return false;
        }
        const HostState state = host.state;
        switch (progress.phase) {
        case AbsencePhase::Drained:
            return state == HostState::Draining && (setState(host, HostState::Drained), true);
        case AbsencePhase::Away:
            return state == HostState::Drained
                   && (setState(host, HostState::Away), departed_.insert(host.id), true);
        case AbsencePhase::Returning:
            return state == HostState::Away && (setState(host, HostState::Returning), true);
        case AbsencePhase::Returned:
            return state == HostState::Returning && (finish(host), true);
        case AbsencePhase::Abandoned:
            break;
        }
        if (state == HostState::Returning || state == HostState::Failed) {
            return false;
        }
        host.lastAbandoned = now;
        setState(host, HostState::Returning);
        return true;
    }

    void finish(HostView &host)
    {
        const bool hasLeft = departed_.contains(host.id);
        for (WaveView &wave : view.waves) {
            if (hasLeft && hasReboot(host.grant->kind) && !isDone(wave, host.id)) {
                wave.done.insert(std::lower_bound(wave.done.begin(), wave.done.end(), host.id),
                                 host.id);
            }
        }
        host.grant.reset();
        departed_.erase(host.id);
        setState(host, HostState::InService);
    }

    bool applyOne(const HostMove &move)
    {
        HostView &host = view.hosts[indexOf(move.host)];
        if (host.state != HostState::Away || host.pool != move.from || !host.grant
            || host.grant->target != move.to) {
            return false;
        }
        host.pool = move.to;
        ++moves;
        for (WaveView &wave : view.waves) {
            const auto isLoanOfHost = [&](const Loan &loan) { return loan.host == move.host; };
            if (std::erase_if(wave.loans, isLoanOfHost) == 0 && wave.id == host.grant->wave
                && poolOf(move.from)->isSpare && move.to != wave.target) {
                wave.loans.push_back({move.host, move.from, move.to});
                ++loans;
            }
        }
        return true;
    }

    bool applyOne(const HostHealth &health)
    {
        HostView &host = view.hosts[indexOf(health.host)];
        if (health.failed == (host.state == HostState::Failed)) {
            return false;
        }
        setState(host, health.failed ? HostState::Failed
                       : host.grant  ? HostState::Returning
                                     : HostState::InService);
        return true;
    }

    template <class Other>
    bool applyOne(const Other &)
    {
        return false;
    }

    Offset offset_ = 0;
    std::set<HostId> departed_;  // reported as away in their current absence
};

}  // namespace poplarstream::maintenance::fake
