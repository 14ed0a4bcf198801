#include "duty_holder_cases.hpp"

#include <fmt/format.h>  // for format

#include <algorithm>  // for max
#include <functional>  // for function
#include <memory>  // for make_shared
#include <optional>  // for optional
#include <utility>  // for move

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/maintenance/leader_lease.hpp"  // for decideLeaderLease, holdsLease
#include "poplarstream/membership/peer_queries.hpp"  // for livePeers, rendezvousRank
#include "poplarstream/membership/peer_table.hpp"  // for PeerTable

namespace poplarstream::bench {
namespace {

using maintenance::LeasePolicy;
using maintenance::LeaseView;
using membership::Heartbeat;
using membership::KnownPeer;
using membership::PeerTable;
using std::chrono::seconds;

constexpr std::size_t hostCount = 8;
constexpr int length = 3'600;

// Which hosts run and hear each other in a second.
struct Scenario
{
    std::string name;
    std::function<bool(std::size_t host, std::size_t holder, int second)> isUp =
            [](auto, auto, auto) { return true; };
    std::function<bool(std::size_t from, std::size_t to)> isCut = [](auto, auto) { return false; };
    bool losesMemory = false;  // a host that comes back is a new process
};

struct Outcome
{
    int records = 0;
    int secondsWithout = 0;  // nobody acts
    int longestWithout = 0;
    int changes = 0;  // of the host that acts
    int staleActs = 0;  // by a host that is not the holder in the log
};

// What the log says: the holder, with an expiry for leases and a term for the alternative.
struct Duty
{
    LeaseView lease;
    std::uint64_t term = 0;
};

struct Proposal
{
    std::size_t host = 0;
    Milliseconds duration{0};
    std::uint64_t term = 0;
};

struct Process
{
    PeerTable peers;
    Duty seen;
    bool isInFlight = false;
    bool wasUp = true;
};

class World
{
public:
    World(const Scenario &scenario, bool hasLease)
        : scenario_(scenario)
        , hasLease_(hasLease)
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            known_.push_back({EntryHostId(fmt::format("entry-{}", i)), ZoneId("a")});
        }
        for (std::size_t i = 0; i < hostCount; ++i) {
            Process process;
            process.peers = membership::makePeerTable({}, known_[i], 1, known_, now_);
            processes_.push_back(std::move(process));
        }
    }

    Outcome run()
    {
        for (int second = 0; second < length; ++second) {
            now_ += seconds(1);
            land();
            exchange(second);
            act(second);
        }
        return outcome_;
    }

private:
    bool isUp(std::size_t host, int second) const { return scenario_.isUp(host, holder(), second); }

    // The position of the holder in the log, or hostCount.
    std::size_t holder() const
    {
        std::size_t index = 0;
        while (index < hostCount && known_[index].id != log_.lease.holder) {
            ++index;
        }
        return index;
    }

    void land()
    {
        for (const Proposal &proposal : proposals_) {
            processes_[proposal.host].isInFlight = false;
            ++outcome_.records;
            const EntryHostId &id = known_[proposal.host].id;
            if (!hasLease_) {
                if (proposal.term == log_.term + 1) {
                    log_ = {{id, now_}, proposal.term};
                }
            } else if (log_.lease.holder == id || now_ >= log_.lease.until) {
                log_.lease = {id, now_ + proposal.duration};
            }
        }
        proposals_.clear();
    }

    void exchange(int second)
    {
        for (std::size_t from = 0; from < hostCount; ++from) {
            if (!isUp(from, second)) {
                continue;
            }
            membership::advance(processes_[from].peers, now_);
            const Heartbeat heartbeat =
                    membership::nextHeartbeat(processes_[from].peers, now_, false, true);
            for (std::size_t to = 0; to < hostCount; ++to) {
                if (to != from && isUp(to, second) && !scenario_.isCut(from, to)) {
                    membership::receive(processes_[to].peers, heartbeat, now_);
                }
            }
        }
    }

    void act(int second)
    {
        int acting = 0;
        for (std::size_t i = 0; i < hostCount; ++i) {
            Process &process = processes_[i];
            const bool up = isUp(i, second);
            if (!up) {
                process.wasUp = false;
                continue;
            }
            if (!process.wasUp && scenario_.losesMemory) {
                process.seen = log_;
            }
            process.wasUp = true;
            // A process that was paused acts on what it saw before it has read on.
            if (holdsLease(process, i)) {
                if (log_.lease.holder == known_[i].id) {
                    ++acting;
                    outcome_.changes += lastActing_ && *lastActing_ != i ? 1 : 0;
                    lastActing_ = i;
                } else {
                    ++outcome_.staleActs;
                }
            }
            process.seen = log_;
            if (!process.isInFlight) {
                propose(process, i);
            }
        }
        without_ = acting == 0 ? without_ + 1 : 0;
        outcome_.secondsWithout += acting == 0 ? 1 : 0;
        outcome_.longestWithout = std::max(outcome_.longestWithout, without_);
    }

    bool holdsLease(const Process &process, std::size_t host) const
    {
        return hasLease_
                       ? maintenance::holdsLease(process.seen.lease, known_[host].id, now_, policy_)
                       : process.seen.lease.holder == known_[host].id;
    }

    void propose(Process &process, std::size_t host)
    {
        const EntryHostId &self = known_[host].id;
        const auto live = membership::livePeers(process.peers, ZoneId(), now_);
        if (!hasLease_) {
            if (live.front() == self && process.seen.lease.holder != self) {
                proposals_.push_back({host, {}, process.seen.term + 1});
                process.isInFlight = true;
            }
            return;
        }
        const auto record = maintenance::decideLeaderLease(
                {DutyId("waves"), self, process.seen.lease,
                 membership::rendezvousRank("waves", live, self), false, false, now_,
                 membership::hasPausedRecently(process.peers, now_)},
                policy_);
        if (record) {
            proposals_.push_back({host, record->duration, 0});
            process.isInFlight = true;
        }
    }

    Scenario scenario_;
    bool hasLease_;
    LeasePolicy policy_;
    std::vector<KnownPeer> known_;
    std::vector<Process> processes_;
    std::vector<Proposal> proposals_;
    Duty log_;
    TimePoint now_ = timePoint(1'000'000);
    Outcome outcome_;
    std::optional<std::size_t> lastActing_;
    int without_ = 0;
};

std::vector<Scenario> scenarios(std::uint64_t seed)
{
    Random random(seed);
    const int offset = static_cast<int>(random.below(60));
    std::vector<Scenario> list(6);
    list[0].name = "calm";
    list[1].name = "holder-dies";  // whoever holds it, every 10 minutes for 2 minutes
    // The victim is fixed at the start of its two minutes.
    list[1].isUp = [offset, victim = std::make_shared<std::size_t>(hostCount)](
                           std::size_t host, std::size_t holder, int second) {
        const int phase = (second + offset) % 600;
        if (phase == 480) {
            *victim = holder;
        }
        return phase < 480 || host != *victim;
    };
    list[1].losesMemory = true;
    list[2].name = "lowest-flaps";  // 8 s up, 8 s down
    list[2].isUp = [offset](std::size_t host, std::size_t, int second) {
        return host != 0 || (second + offset) / 8 % 2 == 0;
    };
    list[3].name = "holder-pauses";  // 30 s, every 2 minutes
    list[3].isUp = [offset, victim = std::make_shared<std::size_t>(hostCount)](
                           std::size_t host, std::size_t holder, int second) {
        const int phase = (second + offset) % 120;
        if (phase == 90) {
            *victim = holder;
        }
        return phase < 90 || host != *victim;
    };
    list[4].name = "split-views";  // two halves hear only themselves; both reach the log
    list[4].isCut = [](std::size_t from, std::size_t to) { return from / 4 != to / 4; };
    list[5].name = "intersecting-views";  // each hears its neighbours in a chain
    list[5].isCut = [](std::size_t from, std::size_t to) {
        return from > to ? from - to > 1 : to - from > 1;
    };
    return list;
}

}  // namespace

std::vector<MeasureLine> measureDutyHolder(std::uint64_t seed)
{
    std::vector<MeasureLine> lines;
    for (std::size_t i = 0; i < scenarios(seed).size(); ++i) {
        // A fresh list for each way, since a scenario remembers its victim.
        const Scenario forLease = scenarios(seed)[i];
        const Scenario forLowest = scenarios(seed)[i];
        const Outcome lease = World(forLease, true).run();
        const Outcome lowest = World(forLowest, false).run();
        const auto add = [&](const std::string &quantity, const std::string &unit, int naive,
                             int now) {
            MeasureLine line;
            line.caseName = "duty-holder-" + forLease.name;
            line.quantity = quantity;
            line.unit = unit;
            line.better = "lower";
            line.naive = naive;
            line.now = now;
            line.seed = seed;
            lines.push_back(line);
        };
        add("records-an-hour", "records", lowest.records, lease.records);
        add("longest-without-holder", "s", lowest.longestWithout, lease.longestWithout);
        add("without-holder", "s", lowest.secondsWithout, lease.secondsWithout);
        add("changes-of-holder", "changes", lowest.changes, lease.changes);
        add("stale-acts", "acts", lowest.staleActs, lease.staleActs);
    }
    return lines;
}

}  // namespace poplarstream::bench
