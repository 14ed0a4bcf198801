#pragma once

#include <map>  // for map
#include <memory>  // for unique_ptr
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/fleet/replay.hpp"  // for apply, FleetState
#include "poplarstream/node/outbox.hpp"  // for Outbox
#include "poplarstream/runs/fakes/timeline.hpp"  // for Timeline

namespace poplarstream::bench {

// How entry hosts use the log. The naive way: each edit is a record of its own that takes effect
// whatever was before it, an append without answer is repeated under a new id, and the log is read
// every few seconds with a time-out of half a minute.
struct AgreementSettings
{
    std::size_t replicas = 24;
    bool isNaive = false;
    std::uint64_t longestDelay = 60;  // one way, in milliseconds
    double loseAppend = 0;  // before it takes effect
    double loseAnswer = 0;  // after it took effect
    double loseRead = 0;
};

// Two tenants whose weights every change sets to the same value, so that a half-applied change
// shows.
struct PairChange
{
    std::size_t pair = 0;
    std::string value;
    TimePoint madeAt;
};

struct WorldRecord
{
    TimePoint at;
    std::string text;
    std::size_t change = 0;
    std::size_t applied = 0;  // replicas that have applied it
    bool isGranted = false;  // by the fold that the replicas are compared with
    std::uint64_t version = 0;  // after it, by that fold
};

struct AgreementFigures
{
    std::uint64_t granted = 0;
    std::uint64_t checked = 0;
    std::uint64_t reverts = 0;
    std::uint64_t halfApplied = 0;
    std::vector<double> inForceSeconds;  // from the log's time to the last replica
};

// Replicas of the control stream in virtual time: the real outbox, codec and replay over a log that
// loses messages and goes away. The grants are compared with a fold of the same log that is written
// here: a change is granted if its id is new and its base version is the version in force.
class AgreementWorld
{
public:
    AgreementWorld(std::uint64_t seed, const AgreementSettings &settings);

    // Changes at this mean rate per second; a share of them meets a rival change of the same keys.
    void startOperators(double rate, double rivals);
    void stopOperators() { isOperating_ = false; }

    void setLogDown(bool isDown) { isLogDown_ = isDown; }
    void setCut(std::size_t replica, bool isCut) { replicas_[replica]->isCut = isCut; }
    void runFor(Milliseconds duration) { timeline_.runUntil(timeline_.now() + duration); }

    // Runs until every replica has had an answer from now on and has applied the whole log; the
    // seconds it took, or `most` if that is not enough.
    double secondsToAgree(Milliseconds most);

    const AgreementFigures &figures() const { return figures_; }

private:
    struct Replica
    {
        FleetState state;
        Outbox outbox;
        std::uint64_t readNumber = 0;
        bool isNextReadPrompt = false;
        bool isCut = false;
        TimePoint lastAnswer;
        Offset next = 0;
        std::map<std::size_t, std::string> naive;  // weight of each tenant
        std::map<std::size_t, std::size_t> naiveChange;  // newest change applied to each tenant
    };
    struct Append
    {
        RecordId id;
        std::string text;
        std::size_t change = 0;
        std::uint32_t tries = 1;
    };

    bool chance(double probability) { return random_.unit() < probability; }
    Milliseconds delay();
    bool isReachable(const Replica &replica) const { return !isLogDown_ && !replica.isCut; }
    void operate();
    void change(std::size_t pair);
    void propose(Replica &replica, const PairChange &made, std::size_t number);
    void send(Replica &replica, const Append &append);
    void onUnknown(Replica &replica, const Append &append);
    void resend(Replica &replica);
    void store(const Append &append);
    void fold(WorldRecord &record);
    void read(Replica &replica);
    void answer(Replica &replica, std::uint64_t number);
    void takePage(Replica &replica, std::size_t end);
    void applyPresent(Replica &replica, Offset offset);
    void applyNaive(Replica &replica, Offset offset);
    void noteApplied(WorldRecord &record);

    AgreementSettings settings_;
    Random random_;
    fakes::Timeline timeline_;
    std::vector<std::unique_ptr<Replica>> replicas_;
    std::vector<WorldRecord> log_;
    std::vector<PairChange> changes_;
    std::map<std::string, std::size_t> changeOfRecord_;
    std::vector<std::pair<std::size_t, std::uint64_t>> waiting_;  // replica and read number
    std::set<std::string> foldedIds_;
    std::uint64_t foldedVersion_ = 0;
    std::set<std::size_t> seenHalf_;
    std::set<std::size_t> seenReverted_;
    AgreementFigures figures_;
    double rate_ = 0;
    double rivals_ = 0;
    bool isLogDown_ = false;
    bool isOperating_ = false;
};

}  // namespace poplarstream::bench
