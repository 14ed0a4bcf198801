#include "poplarstream/edge/entry_process.hpp"

#include <algorithm>  // for any_of
#include <functional>  // for function

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient
#include "poplarstream/edge/store_fixture.hpp"  // for Store
#include "poplarstream/edge/stored_jobs.hpp"  // for submissionRecord
#include "poplarstream/ownership/leadership.hpp"  // for encodeOwnership

namespace poplarstream::edge {
namespace {

using test::pollTime;
using test::Store;

constexpr int partitions = 4;
// Only a fault lets a test wait this long, however busy the machine is.
constexpr Milliseconds maxClaimTime{30'000};

// One entry host, alone in a deployment with that many machines.
struct Host
{
    Host(int jobPartitions, int machineCount)
        : runtime{io, {}, store.port(), {}, {}, {}, {}}
    {
        runtime.settings.name = EntryHostId("edge-1");
        runtime.settings.jobPartitions = jobPartitions;
        runtime.settings.machines.port = 1;
        runtime.machines.list = [this, machineCount](const std::string &, auto done) {
            store.respond<MachinePage>(std::move(done), [machineCount] {
                MachinePage page;
                page.isRead = true;
                for (int i = 0; i < machineCount; ++i) {
                    page.machines.emplace_back().id = pools::MachineId(fmt::format("m-{}", i));
                }
                return page;
            });
        };
        process.emplace(runtime, peers);
    }

    // Adds a worker that does not respond, so that it is polled often.
    void addWorker()
    {
        store.logs[{Log::Registry, 0}].push_back({"w1", "entry", 0});
        runtime.decode.workerEntry = [](const std::string &key, const std::string &) {
            engine::WorkerEntry entry;
            entry.incarnation = {engine::WorkerId(key), 1};
            entry.address = "10.0.0.1:80";
            return Result<engine::WorkerEntry>(std::move(entry));
        };
        runtime.workers.poll = [this](const engine::PollCommand &, auto done) {
            ++polls;
            const auto timer = std::make_shared<boost::asio::steady_timer>(io, pollTime);
            timer->async_wait([timer, done](const auto &) { done({}); });
        };
    }

    // Reads configurations of the form VERSION:KEY, of a queue and an account with that key.
    void useVersions()
    {
        runtime.decode.isConfiguration = [](const std::string &key) { return key == "config"; };
        runtime.decode.configuration = [](const std::string &text) -> Result<Configuration> {
            if (text == "unusable") {
                return Failure{"version 9: account a: weight: not a number", {}};
            }
            Configuration configuration;
            configuration.version = std::stoll(text);
            configuration.routes.push_back({"shop.example", "/proofs/", {}, false});
            configuration.keys =
                    accounts::KeyRing::create(
                            std::vector<accounts::AccountKeys>{
                                    {AccountId("a"), {text.substr(text.find(':') + 1)}}})
                            .value();
            return configuration;
        };
    }

    void storeConfiguration(const std::string &text)
    {
        std::vector<StoredRecord> &log = store.logs[{Log::Operator, 0}];
        log.push_back({"config", text, static_cast<std::int64_t>(log.size())});
    }

    // The answer to a lookup of a malformed job id: BadRequest if the call is accepted.
    ResponseKind lookUp(const std::string &key, const std::string &path = "/proofs/none")
    {
        ResponseKind kind = ResponseKind::Unavailable;
        process->handleCall({CallKind::Lookup, "shop.example", path, key},
                            [&kind](const Response &response) { kind = response.kind; });
        return kind;
    }

    bool hasResigned()
    {
        const std::vector<StoredRecord> &log = store.logs[{Log::Ownership, 0}];
        return std::any_of(log.begin(), log.end(), [](const StoredRecord &record) {
            return record.value.value_or("").find("resignation") != std::string::npos;
        });
    }

    // Runs the process until `isReached`; false if that takes too long.
    bool runUntil(const std::function<bool()> &isReached)
    {
        for (const TimePoint end = steadyNow() + maxClaimTime; steadyNow() < end;) {
            io.run_for(std::chrono::milliseconds(pollTime.count()));
            io.restart();
            if (isReached()) {
                return true;
            }
        }
        return false;
    }

    // The number of shards for which the process serves the metrics of a session.
    int ownedShards() const
    {
        int owned = 0;
        for (int shard = 0; shard < partitions; ++shard) {
            const std::string metric = fmt::format("poplar_workers{{shard=\"{}\"}}", shard);
            owned += process->metrics().find(metric) != std::string::npos ? 1 : 0;
        }
        return owned;
    }

    bool ownsInTime(int shards)
    {
        return runUntil([this, shards] { return ownedShards() == shards; });
    }

    boost::asio::io_context io;
    Store store{io, {}};
    Runtime runtime;
    HttpClient peers{io};
    std::optional<EntryProcess> process;
    int polls = 0;
};

// Guards against a shard that nobody owns because the only process that is left has another one.
TEST(EntryProcess, OneProcessOwnsAllShards)
{
    Host host(partitions, 1100);
    EXPECT_TRUE(host.ownsInTime(partitions));
    for (int shard = 0; shard < partitions; ++shard) {
        const std::pair<Log, int> log{Log::Ownership, shard};
        EXPECT_FALSE(host.store.logs[log].empty()) << shard;
    }
}

// Guards against a small deployment without an owner, or with the cost of several.
TEST(EntryProcess, SmallDeploymentHasOneShard)
{
    SCOPED_TRACE("given a job log with one partition, which cannot be divided");
    Host single(1, 1100);
    EXPECT_TRUE(single.ownsInTime(1));
    {
        SCOPED_TRACE("and a job log with several partitions, but few machines");
        Host small(partitions, 30);
        EXPECT_TRUE(small.ownsInTime(1));
        const std::pair<Log, int> second{Log::Ownership, 1};
        EXPECT_TRUE(small.store.logs[second].empty());
    }
}

// Guards against operators who can't learn from the owner why a job doesn't run.
TEST(EntryProcess, OwnerExplainsJobs)
{
    SCOPED_TRACE("given an owner of a job that has no workers");
    Host host(1, 30);
    jobs::Submission submission;
    submission.id = jobs::JobId("00000000000000a1");
    submission.policy.queue = jobs::QueueId("proofs");
    submission.policy.service = ServiceId("shop");
    submission.spec.steps = {{.count = 2}};
    host.store.logs[{Log::Jobs, 0}].push_back(submissionRecord(submission));
    const auto ask = [&host](const std::string &target) {
        return host.process->respondToOperator({.target = target});
    };
    ASSERT_TRUE(host.ownsInTime(1));
    ASSERT_TRUE(host.runUntil([&] { return ask("/explain/00000000000000a1").status == 200; }));
    {
        SCOPED_TRACE("then it says what the job waits for");
        EXPECT_EQ(ask("/explain/00000000000000a1").body,
                  "Job 00000000000000a1 of queue proofs is queued.\n"
                  "Occurrence 0, step 0: 2 tasks, 0 done, 0 with a run, 0 given up, 2 due for a "
                  "start. Service shop has 0 workers, 0 of them with room.\n");
    }
    {
        SCOPED_TRACE("and names no job that it does not know, also for a malformed path");
        for (const char *const target :
             {"/explain/00000000000000b2", "/explain/", "/explain/../metrics"}) {
            EXPECT_EQ(ask(target).status, 404U) << target;
        }
        EXPECT_NE(ask("/metrics").body.find("poplar_tasks_unplaced_total"), std::string::npos);
    }
}

// Guards against a takeover after which the log does not tell which process the owner has followed.
TEST(EntryProcess, TakeoverNamesThePredecessor)
{
    SCOPED_TRACE("given the claim of an owner that writes no more");
    Host host(1, 30);
    host.addWorker();
    ownership::OwnershipRecord claim;
    claim.epoch = 4;
    claim.owner = EntryHostId("edge-0");
    claim.address = "10.0.0.1:80";
    claim.incarnation = "abc";
    host.store.logs[{Log::Ownership, 0}].push_back({"owner", ownership::encodeOwnership(claim), 0});
    {
        SCOPED_TRACE("when another process takes over");
        ::testing::internal::CaptureStdout();
        const bool hasBegun = host.runUntil([&host] { return host.polls > 0; });
        const std::string text = ::testing::internal::GetCapturedStdout();
        ASSERT_TRUE(hasBegun);
        {
            SCOPED_TRACE("then 700 and 747 tell the processes apart");
            EXPECT_NE(text.find(" 700 ownership-seen owner=edge-0 epoch=4 resigned=no shard=0 "
                                "incarnation=abc\n"),
                      std::string::npos)
                    << text;
            EXPECT_NE(text.find(" 700 ownership-seen owner=edge-1 epoch=5 resigned=no shard=0 "
                                "incarnation="),
                      std::string::npos)
                    << text;
            EXPECT_NE(text.find(" 747 takeover-begun epoch=5 shard=0 predecessor=edge-0 "
                                "predecessor_epoch=4 predecessor_incarnation=abc resigned=no "
                                "wait_ms=8000\n"),
                      std::string::npos)
                    << text;
        }
    }
}

// Guards against a deployment whose owner goes on renewing its ownership although the store has
// refused its progress, so that nobody runs the jobs.
TEST(EntryProcess, OwnerWhoseProgressIsRefusedResigns)
{
    SCOPED_TRACE("given a process whose first write of progress is refused without a later owner");
    Host host(1, 30);
    host.store.refusedWrites = 1;
    {
        SCOPED_TRACE("when it becomes the owner, then it resigns, claims anew and runs the jobs");
        EXPECT_TRUE(host.runUntil([&host] { return host.hasResigned(); }));
        EXPECT_TRUE(host.ownsInTime(1));
    }
}

// Guards against a withdrawn key that is accepted again because an old version, or one that cannot
// be used, is read after the one that withdrew it.
TEST(EntryProcess, ConfigurationNeverGoesBack)
{
    SCOPED_TRACE("given a process whose configurations are VERSION:KEY");
    Host host(1, 30);
    host.useVersions();
    const auto accepts = [&host](const std::string &key) {
        return host.lookUp(key) == ResponseKind::BadRequest;
    };
    ::testing::internal::CaptureStdout();
    for (const char *text : {"4:s3cr3t-1", "6:s3cr3t-2", "5:s3cr3t-1", "unusable"}) {
        host.storeConfiguration(text);
        const std::vector<StoredRecord> &log = host.store.logs[{Log::Operator, 0}];
        int turns = 0;
        EXPECT_TRUE(host.runUntil([&] {
            return accepts(log.size() == 1 ? "s3cr3t-1" : "s3cr3t-2") && ++turns > 20;
        }));
    }
    EXPECT_FALSE(accepts("s3cr3t-1"));
    const std::string text = ::testing::internal::GetCapturedStdout();
    EXPECT_EQ(text.find("s3cr3t"), std::string::npos) << text;
    EXPECT_NE(
            text.find(
                    " 761 configuration-unusable in_force=6 offset=3 fault=\"version 9: account a: "
                    "weight: not a number\"\n"),
            std::string::npos)
            << text;
}

// Guards against a final answer to callers whose key or queue is in a version that this process
// cannot read.
TEST(EntryProcess, UnusableConfigurationMakesNoAnswerFinal)
{
    Host host(1, 30);
    host.useVersions();
    const auto isReached = [&host](ResponseKind forOtherKey, ResponseKind forOtherQueue) {
        return host.runUntil([&] {
            return host.lookUp("s3cr3t-2") == forOtherKey
                   && host.lookUp("s3cr3t-1", "/plates/none") == forOtherQueue;
        });
    };
    host.storeConfiguration("4:s3cr3t-1");
    EXPECT_TRUE(isReached(ResponseKind::Unauthorized, ResponseKind::NoSuchQueue));
    host.storeConfiguration("unusable");
    EXPECT_TRUE(isReached(ResponseKind::Unavailable, ResponseKind::Unavailable));
    EXPECT_EQ(host.lookUp("s3cr3t-1"), ResponseKind::BadRequest) << "known keys are served on";
    {
        SCOPED_TRACE("until a version can be read, or the one in force is stored again");
        host.storeConfiguration("5:s3cr3t-1");
        EXPECT_TRUE(isReached(ResponseKind::Unauthorized, ResponseKind::NoSuchQueue));
        host.storeConfiguration("unusable");
        EXPECT_TRUE(isReached(ResponseKind::Unavailable, ResponseKind::Unavailable));
        host.storeConfiguration("5:s3cr3t-1");
        EXPECT_TRUE(isReached(ResponseKind::Unauthorized, ResponseKind::NoSuchQueue));
    }
}

// Guards against tasks that run twice beside each other (review/3): a stopped owner whose
// resignation is stored, but not answered, must not renew the leases of the workers any more.
TEST(EntryProcess, ResignedOwnerRenewsNoLeases)
{
    SCOPED_TRACE("given an owner that polls a worker");
    Host host(1, 30);
    host.addWorker();
    ASSERT_TRUE(host.ownsInTime(1));
    ASSERT_TRUE(host.runUntil([&host] { return host.polls > 3; }));
    {
        SCOPED_TRACE("when it is stopped, and the responses of the store are lost");
        host.store.isMute = true;
        host.process->leave(steadyNow() + Milliseconds{5000});
        ASSERT_TRUE(host.runUntil([&host] { return host.hasResigned(); }));
        {
            SCOPED_TRACE("then it polls no more, although it has not read that it has resigned");
            const int before = host.polls;
            int turns = 0;
            host.runUntil([&turns] { return ++turns > 50; });
            EXPECT_EQ(host.polls, before);
        }
    }
}

}  // namespace
}  // namespace poplarstream::edge
