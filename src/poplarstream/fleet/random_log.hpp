#pragma once

#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/fleet/reference_fleet.hpp"  // for reference::Fleet

namespace poplarstream {

// A fleet of three pools in two zones and four racks. It is small, so that records of a random log
// often concern the same host. `q` is the spare pool.
inline std::vector<ConfigEdit> smallFleet()
{
    std::vector<ConfigEdit> edits = {
            {"fleet", "name", "small"},     {"zone a", "region", "r"},
            {"zone b", "region", "r"},      {"pool p", "max_away", "2"},
            {"pool q", "max_away", "1"},    {"pool q", "spare", "yes"},
            {"pool o", "max_away", "1"},    {"wave w", "pools", "p,o"},
            {"wave w", "action", "move"},   {"wave w", "target", "q"},
            {"wave w", "state", "running"}, {"wave v", "pools", "p"},
            {"wave v", "action", "reboot"}, {"wave v", "state", "stopped"},
    };
    const char *pools[] = {"p", "p", "p", "p", "o", "o", "q", "q"};
    for (int i = 0; i < 8; ++i) {
        const std::string section = "host h" + std::to_string(i);
        const std::string rack = std::to_string(i / 2);
        edits.push_back({section, "zone", i < 4 ? "a" : "b"});
        edits.push_back({section, "rack", "k" + rack});
        edits.push_back({section, "pool", pools[i]});
        edits.push_back({section, "cpus", "4"});
        edits.push_back({section, "memory_mb", "64"});
        edits.push_back({section, "worker", "127.0.1." + std::to_string(i + 1) + ":7000"});
    }
    return edits;
}

// Generates a random log, whose records are often, but not always, valid in the state at that
// point.
class RandomLog
{
public:
    explicit RandomLog(std::uint64_t seed)
        : random_(seed)
    {}

    std::vector<Logged<ControlRecord>> write(std::size_t length)
    {
        append(ConfigChange{0, "ann", smallFleet()});
        while (log_.size() < length) {
            if (chance(10)) {
                log_.push_back(log_[random_.below(log_.size())]);  // a retried append
                log_.back().offset = log_.size() - 1;
                fleet_.apply(log_.back());
            } else {
                append(randomBody());
            }
        }
        return log_;
    }

private:
    bool chance(std::uint64_t percent) { return random_.below(100) < percent; }

    template <std::size_t Count>
    std::string pick(const char *const (&words)[Count])
    {
        return words[random_.below(Count)];
    }

    HostId randomHost() { return HostId("h" + std::to_string(random_.below(9))); }

    void append(ControlBody body)
    {
        // The log clock may jump ahead or back.
        time_ += chance(5) ? (chance(50) ? -400 : 86'400'000)
                           : static_cast<std::int64_t>(random_.below(100));
        const RecordHeader header{RecordId("r" + std::to_string(log_.size())),
                                  EntryHostId(pick({"e1", "e2"}))};
        log_.push_back({log_.size(), timePoint(time_), {header, std::move(body)}});
        fleet_.apply(log_.back());
    }

    AbsenceProgress randomProgress()
    {
        AbsenceProgress progress{randomHost(), random_.below(log_.size() + 1),
                                 static_cast<AbsencePhase>(random_.below(5))};
        // Mostly the next step of a granted absence.
        for (const auto &[id, host] : fleet_.hosts) {
            if (host.hasAbsence && chance(50)) {
                progress.host = HostId(id);
                progress.grant = chance(90) ? host.grant : progress.grant;
                if (chance(80)) {
                    progress.phase = host.state == "draining" ? AbsencePhase::Drained
                                     : host.state == "away"   ? AbsencePhase::Returning
                                                              : AbsencePhase::Returned;
                }
            }
        }
        return progress;
    }

    HostMove randomMove()
    {
        HostMove move{randomHost(), PoolId(pick({"p", "q", "o"})), PoolId(pick({"p", "q", "o"}))};
        for (const auto &[id, host] : fleet_.hosts) {
            if (reference::Fleet::isMovePending(host) && chance(80)) {
                move = {HostId(id), fleet_.configOf(id).pool, PoolId(host.target)};
            }
        }
        return move;
    }

    // Failures are rarer than recoveries; otherwise nothing could be granted after a while.
    HostHealth randomHealth()
    {
        for (const auto &[id, host] : fleet_.hosts) {
            if (host.state == "failed" && chance(50)) {
                return {HostId(id), false, "test"};
            }
        }
        return {randomHost(), chance(40), "test"};
    }

    ZoneReachability randomZone()
    {
        if (!fleet_.lostZones.empty() && chance(80)) {
            return {ZoneId(*fleet_.lostZones.begin()), false};
        }
        return {ZoneId(pick({"a", "b", "c"})), chance(30)};
    }

    ConfigChange randomChange()
    {
        const std::string host = "host " + randomHost().text();
        std::vector<ConfigEdit> edits;
        switch (random_.below(7)) {
        case 0:
            edits = {
                    {"pool " + pick({"p", "q", "o"}), "max_away", pick({"0", "1", "2", "2", "3"})}};
            break;
        case 1:
            edits = {{host, std::nullopt, std::nullopt}};
            break;
        case 2:
            edits = {{host, "pool", pick({"p", "q", "o"})}};
            break;
        case 3:
            edits = {{"fleet", "rack_headroom", pick({"yes", "no", "no"})}};
            break;
        case 4:
            edits = {{"wave " + pick({"w", "v"}), "state", pick({"running", "withdrawn"})}};
            break;
        case 5:
            edits = {{"pool " + pick({"p", "q", "o"}), std::nullopt, std::nullopt}};
            break;
        default:
            edits = smallFleet();
            edits.erase(edits.begin(), edits.begin() + 14);
            edits.erase(edits.begin(), edits.begin() + 6 * random_.below(7));
            edits.resize(6);
        }
        return {chance(85) ? fleet_.version : random_.below(5), "ann", edits};
    }

    ControlBody randomBody()
    {
        const std::uint64_t kind = random_.below(100);
        if (kind < 25) {
            const bool isMove = chance(50);
            return AbsenceRequest{randomHost(),
                                  isMove ? AbsenceKind::RebootAndMove : AbsenceKind::Reboot,
                                  PoolId(isMove ? pick({"p", "q", "o"}) : pick({"", "", "", "q"})),
                                  WaveId(pick({"w", "w", "w", "", "", "", "v", "u"})), "test"};
        }
        if (kind < 62) {
            return randomProgress();
        }
        if (kind < 74) {
            return randomMove();
        }
        if (kind < 82) {
            return randomChange();
        }
        if (kind < 90) {
            return randomHealth();
        }
        if (kind < 94) {
            return randomZone();
        }
        if (kind < 97) {
            return WorkerQuarantine{randomHost(), chance(50), "test"};
        }
        return LeaderLease{DutyId(pick({"plan", "snapshot"})), EntryHostId(pick({"e1", "e2"})),
                           Milliseconds{random_.below(3) * 150}};
    }

    Random random_;
    reference::Fleet fleet_;
    std::int64_t time_ = 1000;
    std::vector<Logged<ControlRecord>> log_;
};

}  // namespace poplarstream
