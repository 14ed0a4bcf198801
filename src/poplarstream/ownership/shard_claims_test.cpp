#include "poplarstream/ownership/shard_claims.hpp"

#include <map>  // for map
#include <set>  // for set

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/ownership/leadership.hpp"  // for Leadership

namespace poplarstream::ownership {
namespace {

constexpr int shards = 4;
constexpr double largeShare = 0.5;
constexpr double smallShare = 0.12;
constexpr Milliseconds stepTime{50};

// A log that accepts a write only from a process that has read it to its end.
struct Log
{
    std::optional<OwnershipRecord> newest;
    std::int64_t end = 0;
};

// An entry host, with its view of each shard.
struct Process
{
    double share = 0;
    bool isRunning = true;
    std::vector<Leadership> views;
    std::vector<TimePoint> nextReads;
};

// Entry hosts that compete for the shards.
struct Deployment
{
    std::vector<Log> logs{shards};
    std::vector<Process> processes;
    TimePoint now = timePoint(10'000);

    void add(const std::string &name, double share)
    {
        Process process;
        process.share = share;
        for (int shard = 0; shard < shards; ++shard) {
            Leadership view;
            view.self = EntryHostId(name);
            view.incarnation = "1";
            view.shard = shard;
            view.processorShare = share;
            view.inContactSince = now;
            process.views.push_back(view);
            process.nextReads.push_back(now);
        }
        processes.push_back(std::move(process));
    }

    void step(Process &process)
    {
        for (std::size_t shard = 0; shard < logs.size(); ++shard) {
            Log &log = logs[shard];
            Leadership &view = process.views[shard];
            if (now >= process.nextReads[shard]) {
                observe(view, log.newest, log.end, now);
                process.nextReads[shard] = now + readInterval(view);
            }
            std::vector<bool> held;
            for (const Leadership &each : process.views) {
                held.push_back(isHolding(each));
            }
            view.processorShare = shareForShard(process.share, held, static_cast<int>(shard));
            const LeadershipStep next = nextStep(view, now);
            if (next == LeadershipStep::None) {
                continue;
            }
            const OwnershipRecord record = beginWrite(view, next, now);
            if (view.endOffset == log.end) {
                log.newest = record;
                ++log.end;
                confirmWrite(view, record, log.end, now);
            } else {
                failWrite(view, record, true);
            }
        }
    }

    void run(Milliseconds time)
    {
        for (const TimePoint end = now + time; now < end; now += stepTime) {
            for (Process &process : processes) {
                if (process.isRunning) {
                    step(process);
                }
            }
        }
    }

    std::map<EntryHostId, int> shardsOfOwners() const
    {
        std::map<EntryHostId, int> owners;
        for (const Log &log : logs) {
            ++owners[log.newest ? log.newest->owner : EntryHostId("none")];
        }
        return owners;
    }

    std::int64_t epochs() const
    {
        std::int64_t sum = 0;
        for (const Log &log : logs) {
            sum += log.newest ? log.newest->epoch : 0;
        }
        return sum;
    }

    Process &ownerOf(std::size_t shard)
    {
        for (Process &process : processes) {
            if (logs[shard].newest && process.views[0].self == logs[shard].newest->owner) {
                return process;
            }
        }
        return processes.front();
    }
};

Deployment deployment(int large, int small)
{
    Deployment made;
    for (int i = 0; i < large; ++i) {
        made.add(fmt::format("large-{}", i), largeShare);
    }
    for (int i = 0; i < small; ++i) {
        made.add(fmt::format("small-{}", i), smallShare);
    }
    return made;
}

bool allLarge(const std::map<EntryHostId, int> &owners)
{
    for (const auto &[owner, number] : owners) {
        if (!owner.text().starts_with("large")) {
            return false;
        }
    }
    return true;
}

// Guards against a process that owns several shards while others of its size have none, and against
// small processes that own one.
TEST(ShardClaims, ShardsGoToDistinctLargeProcesses)
{
    SCOPED_TRACE("given 15 large entry hosts and many small ones");
    Deployment made = deployment(15, 30);
    {
        SCOPED_TRACE("when they start together");
        made.run(Milliseconds{3000});
        {
            SCOPED_TRACE("then each shard has a large owner of its own");
            EXPECT_EQ(made.shardsOfOwners().size(), static_cast<std::size_t>(shards));
            EXPECT_TRUE(allLarge(made.shardsOfOwners()));
        }
    }
    const std::int64_t epochs = made.epochs();
    {
        SCOPED_TRACE("and nothing changes hands while all run");
        made.run(Milliseconds{30'000});
        EXPECT_EQ(made.epochs(), epochs);
    }
}

// Guards against a dead owner whose shard goes to a process that has one already, or to a small
// one.
TEST(ShardClaims, IdleProcessReplacesADeadOwner)
{
    Deployment made = deployment(6, 20);
    made.run(Milliseconds{6000});
    ASSERT_EQ(made.shardsOfOwners().size(), static_cast<std::size_t>(shards));
    made.ownerOf(2).isRunning = false;
    const EntryHostId dead = made.ownerOf(2).views[0].self;
    made.run(Milliseconds{8000});
    const std::map<EntryHostId, int> owners = made.shardsOfOwners();
    EXPECT_FALSE(owners.contains(dead));
    EXPECT_EQ(owners.size(), static_cast<std::size_t>(shards));
    EXPECT_TRUE(allLarge(owners));
}

// Guards against a shard without an owner when there are fewer large processes than shards, and
// against ownership that moves from process to process for ever.
TEST(ShardClaims, FewProcessesOwnAllShards)
{
    SCOPED_TRACE("given two processes");
    Deployment made = deployment(2, 0);
    made.run(Milliseconds{15'000});
    const std::map<EntryHostId, int> owners = made.shardsOfOwners();
    EXPECT_FALSE(owners.contains(EntryHostId("none")));
    EXPECT_EQ(owners.size(), 2U);
    const std::int64_t epochs = made.epochs();
    made.run(Milliseconds{30'000});
    EXPECT_EQ(made.epochs(), epochs);
    {
        SCOPED_TRACE("when more of them join");
        made.add("large-2", largeShare);
        made.add("large-3", largeShare);
        made.run(Milliseconds{30'000});
        {
            SCOPED_TRACE("then they take over what a process has beyond its first shard");
            EXPECT_EQ(made.shardsOfOwners().size(), static_cast<std::size_t>(shards));
        }
    }
}

// Guards against a deployment with one shard that behaves differently from before the division.
TEST(ShardClaims, OneShardHasTheWholeShare)
{
    EXPECT_EQ(shareForShard(largeShare, {false}, 0), largeShare);
    EXPECT_EQ(shareForShard(largeShare, {true}, 0), largeShare);
    EXPECT_EQ(shareForShard(largeShare, {true, false}, 1), largeShare / 2);
    EXPECT_EQ(shareForShard(largeShare, {true, true}, 0), largeShare);
    EXPECT_EQ(shareForShard(largeShare, {true, true}, 1), largeShare / 2);
}

}  // namespace
}  // namespace poplarstream::ownership
