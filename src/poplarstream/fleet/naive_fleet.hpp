#pragma once

#include <algorithm>  // for any_of, max
#include <map>  // for map
#include <set>  // for set

#include "poplarstream/config/edits.hpp"  // for applyEdits
#include "poplarstream/config/validation.hpp"  // for readConfiguration
#include "poplarstream/records/control_record.hpp"  // for ControlRecord
#include "poplarstream/records/record.hpp"  // for Logged

namespace poplarstream::naive {

// A second reading of the design page, written for plainness: no counters, no tables, everything is
// computed again for every record. Replay is compared with it.
struct Host
{
    std::string state = "in service";
    bool open = false;  // an absence is granted and has not ended
    Offset grant = 0;
    AbsenceKind kind = AbsenceKind::Reboot;
    std::string target;
    bool moved = false;
    bool quarantined = false;
    std::string origin;  // the pool at the grant
    std::string wave;
    bool departed = false;
    std::string loanWave;  // the wave of a granted move that lends the host
    std::vector<std::string> loan;  // from, to and wave while the host is lent
};

struct Fleet
{
    TimePoint time;
    TimePoint logTime;
    std::uint64_t version = 0;
    ConfigDocument document;
    Configuration config;
    std::map<std::string, Host> hosts;
    std::set<std::string> lost;
    std::map<std::string, std::set<std::string>> done;  // by wave
    std::map<std::string, std::pair<std::string, TimePoint>> leases;
    std::set<std::string> seen;

    const HostConfig &row(const std::string &id) const { return *config.hosts.find(HostId(id)); }

    bool away(const std::string &id, const Host &host) const
    {
        return host.state != "in service" || lost.contains(row(id).zone.text());
    }

    static bool moving(const Host &host)
    {
        return host.open && host.kind != AbsenceKind::Reboot && !host.moved
               && (host.state == "draining" || host.state == "away");
    }

    // The hosts that count against a pool; only those with a granted absence if `grantedOnly`.
    std::set<std::string> against(const std::string &pool, bool grantedOnly) const
    {
        std::set<std::string> counted;
        for (const auto &[id, host] : hosts) {
            const bool isAway = grantedOnly ? host.open : away(id, host);
            if ((row(id).pool.text() == pool && isAway) || (moving(host) && host.target == pool)) {
                counted.insert(id);
            }
        }
        return counted;
    }

    bool fits(const std::string &pool, const std::string &leaving) const
    {
        std::set<std::string> counted = against(pool, false);
        counted.insert(leaving);
        std::size_t worst = counted.size();
        for (const auto &[other, host] : hosts) {
            std::set<std::string> lossToo = counted;
            for (const auto &[id, member] : hosts) {
                if (config.fleet.rackHeadroom && row(id).pool.text() == pool
                    && (id == other
                        || (!row(id).rack.isEmpty() && row(id).rack == row(other).rack))) {
                    lossToo.insert(id);
                }
            }
            worst = std::max(worst, lossToo.size());
        }
        return worst <= config.pools.find(PoolId(pool))->maxAway;
    }

    bool operator()(const ConfigChange &change, Offset /*offset*/)
    {
        const ParsedDocument edited = applyEdits(document, change.edits);
        if (change.baseVersion != version || !edited.faults.empty()
            || edited.document == document) {
            return false;
        }
        const ReadConfiguration after = readConfiguration(edited.document);
        const ConfigFaults standing = readConfiguration(document).faults;
        for (const ConfigFault &fault : after.faults) {
            if (std::none_of(standing.begin(), standing.end(), [&](const ConfigFault &old) {
                    return !old.key.empty() && old.section == fault.section && old.key == fault.key
                           && old.found == fault.found;
                })) {
                return false;
            }
        }
        Fleet next = *this;
        next.document = edited.document;
        next.config = after.configuration;
        std::map<std::string, std::size_t> removed;
        for (const auto &[id, host] : hosts) {
            const HostConfig *kept = next.config.hosts.find(HostId(id));
            if (!kept && host.open && host.state != "failed") {
                return false;
            }
            if (kept && kept->pool != row(id).pool) {
                return false;
            }
            if (!kept) {
                removed[row(id).pool.text()] += away(id, host) ? 0 : 1;
                next.hosts.erase(id);
            } else if (moving(host) && !next.config.pools.contains(PoolId(host.target))) {
                return false;
            }
        }
        for (const HostConfig &host : next.config.hosts) {
            next.hosts.try_emplace(host.id.text());
        }
        std::erase_if(next.lost, [&](const std::string &zone) {
            return !next.config.zones.contains(ZoneId(zone));
        });
        // The zones of the hosts that stay are compared as they were before the change.
        for (const PoolConfig &pool : next.config.pools) {
            const std::string &id = pool.id.text();
            std::size_t awayBefore = 0;
            for (const std::string &host : against(id, false)) {
                awayBefore += next.hosts.contains(host) ? 1 : 0;
            }
            if (next.against(id, true).size() > pool.maxAway
                || (removed[id] > 0 && awayBefore + removed[id] > pool.maxAway)) {
                return false;
            }
        }
        for (auto &[id, host] : next.hosts) {
            if (!host.loan.empty() && !next.config.pools.contains(PoolId(host.loan[0]))) {
                host.loan.clear();
            }
        }
        for (auto &[wave, members] : next.done) {
            std::erase_if(members, [&](const std::string &id) { return !next.hosts.contains(id); });
        }
        next.version = version + 1;
        *this = std::move(next);
        return true;
    }

    bool operator()(const AbsenceRequest &request, Offset offset)
    {
        const auto at = hosts.find(request.host.text());
        if (at == hosts.end() || away(at->first, at->second)) {
            return false;
        }
        const WaveConfig *wave = config.waves.find(request.wave);
        if (!request.wave.isEmpty() && (!wave || wave->state != WaveState::Running)) {
            return false;
        }
        const bool isMove = request.kind != AbsenceKind::Reboot;
        if (isMove ? !config.pools.contains(request.target) || request.target == row(at->first).pool
                             || !fits(request.target.text(), at->first)
                   : !request.target.isEmpty()) {
            return false;
        }
        if (!fits(row(at->first).pool.text(), at->first)) {
            return false;
        }
        const bool isOfWave =
                wave && wave->action != AbsenceKind::Reboot && wave->target == request.target;
        const bool isLoan =
                isMove && wave && !isOfWave && config.pools.find(row(at->first).pool)->spare;
        at->second = {"draining",
                      true,
                      offset,
                      request.kind,
                      request.target.text(),
                      false,
                      at->second.quarantined,
                      row(at->first).pool.text(),
                      request.wave.text(),
                      false,
                      isLoan ? request.wave.text() : "",
                      at->second.loan};
        return true;
    }

    void end(const std::string &id, Host &host)
    {
        for (const WaveConfig &wave : config.waves) {
            const bool isOwn = wave.id.text() == host.wave;
            bool isNamed = false;
            for (const PoolId &pool : wave.pools) {
                isNamed = isNamed || pool.text() == host.origin || pool == row(id).pool;
            }
            const bool isRebooted = host.departed && host.kind != AbsenceKind::Move;
            const bool isCounted =
                    isOwn || (!host.wave.empty() && isNamed && wave.state == WaveState::Running);
            if (wave.action == AbsenceKind::Move
                        ? isOwn && host.moved && wave.target == row(id).pool
                        : isRebooted && isCounted) {
                done[wave.id.text()].insert(id);
            }
        }
        host.state = "in service";
        host.open = false;
    }

    bool operator()(const AbsenceProgress &progress, Offset /*offset*/)
    {
        const auto at = hosts.find(progress.host.text());
        if (at == hosts.end() || !at->second.open || at->second.grant != progress.grant) {
            return false;
        }
        std::string &state = at->second.state;
        const bool isOut = state == "draining" || state == "away";
        switch (progress.phase) {
        case AbsencePhase::Drained:
            return state == "draining" && (state = "away", true);
        case AbsencePhase::Away:
            return isOut && (state = "away", at->second.departed = true);
        case AbsencePhase::Returning:
            return state == "away" && (state = "returning", true);
        case AbsencePhase::Abandoned:
            return isOut && (state = "returning", true);
        case AbsencePhase::Returned:
            return state == "returning" && (end(at->first, at->second), true);
        }
        return false;
    }

    bool operator()(const HostMove &move, Offset /*offset*/)
    {
        const auto at = hosts.find(move.host.text());
        if (at == hosts.end() || at->second.state != "away" || !moving(at->second)
            || row(at->first).pool != move.from || at->second.target != move.to.text()) {
            return false;
        }
        const ConfigEdit edit{"host " + at->first, "pool", move.to.text()};
        document = applyEdits(document, std::span(&edit, 1)).document;
        config = readConfiguration(document).configuration;
        at->second.moved = true;
        at->second.departed = true;
        at->second.loan.clear();
        if (!at->second.loanWave.empty()) {
            at->second.loan = {move.from.text(), move.to.text(), at->second.loanWave};
        }
        return true;
    }

    bool operator()(const HostHealth &health, Offset /*offset*/)
    {
        const auto at = hosts.find(health.host.text());
        if (at == hosts.end() || (at->second.state == "failed") == health.failed) {
            return false;
        }
        at->second.state = health.failed ? "failed" : at->second.open ? "returning" : "in service";
        return true;
    }

    bool operator()(const ZoneReachability &zone, Offset /*offset*/)
    {
        if (!config.zones.contains(zone.zone) || lost.contains(zone.zone.text()) == zone.lost) {
            return false;
        }
        zone.lost ? (void)lost.insert(zone.zone.text()) : (void)lost.erase(zone.zone.text());
        return true;
    }

    bool operator()(const DutyLease &lease, Offset /*offset*/)
    {
        const auto at = leases.find(lease.duty.text());
        const bool isHeld = at != leases.end() && at->second.second > time;
        if (isHeld ? at->second.first != lease.holder.text() : lease.duration.count() == 0) {
            return false;
        }
        leases[lease.duty.text()] = {lease.holder.text(), time + lease.duration};
        return true;
    }

    bool operator()(const WorkerQuarantine &quarantine, Offset /*offset*/)
    {
        const auto at = hosts.find(quarantine.host.text());
        if (at == hosts.end() || at->second.quarantined == quarantine.quarantined) {
            return false;
        }
        at->second.quarantined = quarantine.quarantined;
        return true;
    }

    bool operator()(const SnapshotPart & /*part*/, Offset /*offset*/) { return true; }

    bool apply(const Logged<ControlRecord> &logged)
    {
        // Offset 0 sets the clock, later records move it by 0 to 10 minutes.
        const Milliseconds step = logged.time - logTime;
        time = logged.offset == 0 ? logged.time
                                  : time + std::clamp(step, Milliseconds{0}, Milliseconds{600'000});
        logTime = logged.time;
        if (!seen.insert(logged.record.header.writer.text() + " " + logged.record.header.id.text())
                     .second) {
            return false;
        }
        return std::visit([&](const auto &body) { return (*this)(body, logged.offset); },
                          logged.record.body);
    }
};

}  // namespace poplarstream::naive
