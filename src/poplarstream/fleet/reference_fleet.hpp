#pragma once

#include <algorithm>  // for any_of, max
#include <map>  // for map
#include <set>  // for set

#include "poplarstream/config/edits.hpp"  // for applyEdits
#include "poplarstream/config/validation.hpp"  // for readConfiguration
#include "poplarstream/records/control_record.hpp"  // for ControlRecord
#include "poplarstream/records/record.hpp"  // for Logged

namespace poplarstream::reference {

// A reference model for property tests, written independently from the design page. It is simple
// instead of fast: it has no counters or tables and computes everything anew for every record.
struct Host
{
    std::string state = "in service";
    bool hasAbsence = false;  // a granted absence has not ended
    Offset grant = 0;
    AbsenceKind kind = AbsenceKind::Reboot;
    std::string target;
    bool moved = false;
    bool quarantined = false;
    std::string origin;  // the pool at the time of the grant
    std::string wave;
    bool departed = false;
    std::string loanWave;  // the wave that a granted move lends the host to
    std::vector<std::string> loan;  // from, to and wave while the host is on loan
};

struct Fleet
{
    TimePoint time;
    TimePoint logTime;
    std::uint64_t version = 0;
    ConfigDocument document;
    Configuration config;
    std::map<std::string, Host> hosts;
    std::set<std::string> lostZones;
    std::map<std::string, std::set<std::string>> done;  // by wave
    std::map<std::string, std::pair<std::string, TimePoint>> leases;
    std::set<std::string> seenIds;

    const HostConfig &configOf(const std::string &id) const
    {
        return *config.hosts.find(HostId(id));
    }

    bool isAway(const std::string &id, const Host &host) const
    {
        return host.state != "in service" || lostZones.contains(configOf(id).zone.text());
    }

    static bool isMovePending(const Host &host)
    {
        return host.hasAbsence && host.kind != AbsenceKind::Reboot && !host.moved
               && (host.state == "draining" || host.state == "away");
    }

    // Returns the hosts that count against the budget of a pool; with `grantedOnly`, just those
    // that have a granted absence.
    std::set<std::string> countedHosts(const std::string &pool, bool grantedOnly) const
    {
        std::set<std::string> counted;
        for (const auto &[id, host] : hosts) {
            const bool counts = grantedOnly ? host.hasAbsence : isAway(id, host);
            if ((configOf(id).pool.text() == pool && counts)
                || (isMovePending(host) && host.target == pool)) {
                counted.insert(id);
            }
        }
        return counted;
    }

    bool fitsBudget(const std::string &pool, const std::string &leaving) const
    {
        std::set<std::string> counted = countedHosts(pool, false);
        counted.insert(leaving);
        std::size_t worst = counted.size();
        for (const auto &[other, host] : hosts) {
            std::set<std::string> withRackLoss = counted;
            for (const auto &[id, member] : hosts) {
                if (config.fleet.rackHeadroom && configOf(id).pool.text() == pool
                    && (id == other
                        || (!configOf(id).rack.isEmpty()
                            && configOf(id).rack == configOf(other).rack))) {
                    withRackLoss.insert(id);
                }
            }
            worst = std::max(worst, withRackLoss.size());
        }
        return worst <= config.pools.find(PoolId(pool))->maxAway;
    }

    bool operator()(const ConfigChange &change, Offset /*offset*/)
    {
        const ParsedDocument edited = applyEdits(document, change.edits);
        if (change.baseVersion != version || !edited.errors.empty()
            || edited.document == document) {
            return false;
        }
        const ConfigurationResult after = readConfiguration(edited.document);
        const ConfigErrors existing = readConfiguration(document).errors;
        for (const ConfigError &fault : after.errors) {
            if (std::none_of(existing.begin(), existing.end(), [&](const ConfigError &known) {
                    return !known.key.empty() && known.section == fault.section
                           && known.key == fault.key && known.found == fault.found;
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
            if (!kept && host.hasAbsence && host.state != "failed") {
                return false;
            }
            if (kept && kept->pool != configOf(id).pool) {
                return false;
            }
            if (!kept) {
                removed[configOf(id).pool.text()] += isAway(id, host) ? 0 : 1;
                next.hosts.erase(id);
            } else if (isMovePending(host) && !next.config.pools.contains(PoolId(host.target))) {
                return false;
            }
        }
        for (const HostConfig &host : next.config.hosts) {
            next.hosts.try_emplace(host.id.text());
        }
        std::erase_if(next.lostZones, [&](const std::string &zone) {
            return !next.config.zones.contains(ZoneId(zone));
        });
        // Remaining hosts are counted with the lost zones from before the change.
        for (const PoolConfig &pool : next.config.pools) {
            const std::string &id = pool.id.text();
            std::size_t awayBefore = 0;
            for (const std::string &host : countedHosts(id, false)) {
                awayBefore += next.hosts.contains(host) ? 1 : 0;
            }
            if (next.countedHosts(id, true).size() > pool.maxAway
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
        const auto it = hosts.find(request.host.text());
        if (it == hosts.end() || isAway(it->first, it->second)) {
            return false;
        }
        const WaveConfig *wave = config.waves.find(request.wave);
        if (!request.wave.isEmpty() && (!wave || wave->state != WaveState::Running)) {
            return false;
        }
        const bool isMove = request.kind != AbsenceKind::Reboot;
        if (isMove ? !config.pools.contains(request.target)
                             || request.target == configOf(it->first).pool
                             || !fitsBudget(request.target.text(), it->first)
                   : !request.target.isEmpty()) {
            return false;
        }
        if (!fitsBudget(configOf(it->first).pool.text(), it->first)) {
            return false;
        }
        const bool isWaveMove =
                wave && wave->action != AbsenceKind::Reboot && wave->target == request.target;
        const bool isLoan =
                isMove && wave && !isWaveMove && config.pools.find(configOf(it->first).pool)->spare;
        it->second = {"draining",
                      true,
                      offset,
                      request.kind,
                      request.target.text(),
                      false,
                      it->second.quarantined,
                      configOf(it->first).pool.text(),
                      request.wave.text(),
                      false,
                      isLoan ? request.wave.text() : "",
                      it->second.loan};
        return true;
    }

    void finishAbsence(const std::string &id, Host &host)
    {
        for (const WaveConfig &wave : config.waves) {
            const bool isOwn = wave.id.text() == host.wave;
            bool isInWavePools = false;
            for (const PoolId &pool : wave.pools) {
                isInWavePools =
                        isInWavePools || pool.text() == host.origin || pool == configOf(id).pool;
            }
            const bool isRebooted = host.departed && host.kind != AbsenceKind::Move;
            const bool countsForWave =
                    isOwn
                    || (!host.wave.empty() && isInWavePools && wave.state == WaveState::Running);
            if (wave.action == AbsenceKind::Move
                        ? isOwn && host.moved && wave.target == configOf(id).pool
                        : isRebooted && countsForWave) {
                done[wave.id.text()].insert(id);
            }
        }
        host.state = "in service";
        host.hasAbsence = false;
    }

    bool operator()(const AbsenceProgress &progress, Offset /*offset*/)
    {
        const auto it = hosts.find(progress.host.text());
        if (it == hosts.end() || !it->second.hasAbsence || it->second.grant != progress.grant) {
            return false;
        }
        std::string &state = it->second.state;
        const bool isLeaving = state == "draining" || state == "away";
        switch (progress.phase) {
        case AbsencePhase::Drained:
            return state == "draining" && (state = "away", true);
        case AbsencePhase::Away:
            return isLeaving && (state = "away", it->second.departed = true);
        case AbsencePhase::Returning:
            return state == "away" && (state = "returning", true);
        case AbsencePhase::Abandoned:
            return isLeaving && (state = "returning", true);
        case AbsencePhase::Returned:
            return state == "returning" && (finishAbsence(it->first, it->second), true);
        }
        return false;
    }

    bool operator()(const HostMove &move, Offset /*offset*/)
    {
        const auto it = hosts.find(move.host.text());
        if (it == hosts.end() || it->second.state != "away" || !isMovePending(it->second)
            || configOf(it->first).pool != move.from || it->second.target != move.to.text()) {
            return false;
        }
        const ConfigEdit edit{"host " + it->first, "pool", move.to.text()};
        document = applyEdits(document, std::span(&edit, 1)).document;
        config = readConfiguration(document).configuration;
        it->second.moved = true;
        it->second.departed = true;
        it->second.loan.clear();
        if (!it->second.loanWave.empty()) {
            it->second.loan = {move.from.text(), move.to.text(), it->second.loanWave};
        }
        return true;
    }

    bool operator()(const HostHealth &health, Offset /*offset*/)
    {
        const auto it = hosts.find(health.host.text());
        if (it == hosts.end() || (it->second.state == "failed") == health.failed) {
            return false;
        }
        it->second.state = health.failed           ? "failed"
                           : it->second.hasAbsence ? "returning"
                                                   : "in service";
        return true;
    }

    bool operator()(const ZoneReachability &zone, Offset /*offset*/)
    {
        if (!config.zones.contains(zone.zone)
            || lostZones.contains(zone.zone.text()) == zone.lost) {
            return false;
        }
        zone.lost ? (void)lostZones.insert(zone.zone.text())
                  : (void)lostZones.erase(zone.zone.text());
        return true;
    }

    bool operator()(const LeaderLease &lease, Offset /*offset*/)
    {
        const auto it = leases.find(lease.duty.text());
        const bool isHeld = it != leases.end() && it->second.second > time;
        if (isHeld ? it->second.first != lease.holder.text() : lease.duration.count() == 0) {
            return false;
        }
        leases[lease.duty.text()] = {lease.holder.text(), time + lease.duration};
        return true;
    }

    bool operator()(const WorkerQuarantine &quarantine, Offset /*offset*/)
    {
        const auto it = hosts.find(quarantine.host.text());
        if (it == hosts.end() || it->second.quarantined == quarantine.quarantined) {
            return false;
        }
        it->second.quarantined = quarantine.quarantined;
        return true;
    }

    bool operator()(const SnapshotPart & /*part*/, Offset /*offset*/) { return true; }

    bool apply(const Logged<ControlRecord> &logged)
    {
        // Offset 0 sets the clock; later records advance it by 0 to 10 minutes.
        const Milliseconds step = logged.time - logTime;
        time = logged.offset == 0 ? logged.time
                                  : time + std::clamp(step, Milliseconds{0}, Milliseconds{600'000});
        logTime = logged.time;
        if (!seenIds.insert(logged.record.header.writer.text() + " "
                            + logged.record.header.id.text())
                     .second) {
            return false;
        }
        return std::visit([&](const auto &body) { return (*this)(body, logged.offset); },
                          logged.record.body);
    }
};

}  // namespace poplarstream::reference
