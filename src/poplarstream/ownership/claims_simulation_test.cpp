#include <functional>  // for function
#include <vector>  // for vector

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_LE

#include "poplarstream/ownership/leadership.hpp"
#include "poplarstream/ownership/log_contact.hpp"  // for LogContact, recordRead

namespace poplarstream::ownership {
namespace {

constexpr Milliseconds stepLength{10};
constexpr Milliseconds tickPeriod{50};  // between two looks at the next step of a process
constexpr Milliseconds callTime{10};  // of a call that the log answers
constexpr Milliseconds longPoll{1000};  // how long the log holds a read without records
constexpr Milliseconds readTimeout{2500};
constexpr Milliseconds writeTimeout{1200};
constexpr Milliseconds readRetryDelay{100};
constexpr double largeShare = 0.5;
constexpr double smallShare = 0.12;
constexpr int largeHosts = 15;
constexpr int smallHosts = 132;
constexpr Milliseconds maxGap{2500};

enum class Access { Served, Busy, Silent };

// The longest time between the ends of two successful reads.
Milliseconds longestReadInterval(const Leadership &leadership)
{
    return longPoll + readInterval(leadership);
}

struct Host
{
    Leadership leadership;
    Access access = Access::Served;
    LogContact contact;
    TimePoint ticksAt{};
    bool isReading = false;
    TimePoint readSentAt{};
    TimePoint readsAt{};  // after the pause
    std::optional<OwnershipRecord> write;
    TimePoint writeSentAt{};
    std::int64_t writeAtOffset = 0;
};

// The processes of a deployment and the log by which they agree on the owner, on one clock.
struct Deployment
{
    std::vector<Host> hosts;
    std::vector<OwnershipRecord> records;
    TimePoint now = timePoint(100'000);

    Deployment()
    {
        for (int i = 0; i < largeHosts + smallHosts; ++i) {
            Host host;
            host.leadership.self = EntryHostId(fmt::format("edge-{}", i));
            host.leadership.incarnation = "1";
            host.leadership.processorShare = i < largeHosts ? largeShare : smallShare;
            // The processes neither start nor look at their next step at the same time.
            host.readsAt = now + Milliseconds{i * 2};
            host.ticksAt = now + Milliseconds{i * 7 % tickPeriod.count()};
            hosts.push_back(std::move(host));
        }
    }

    std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }

    void finishRead(Host &host, bool isSuccess)
    {
        Leadership &leadership = host.leadership;
        host.isReading = false;
        recordRead(host.contact, isSuccess, now, longestReadInterval(leadership));
        if (!isSuccess) {
            host.readsAt = now + readRetryDelay;
            return;
        }
        observe(leadership, records.empty() ? std::nullopt : std::optional(records.back()), end(),
                now);
        host.readsAt = now + readInterval(leadership);
    }

    void read(Host &host)
    {
        if (!host.isReading) {
            if (now >= host.readsAt) {
                host.isReading = true;
                host.readSentAt = now;
            }
            return;
        }
        const Milliseconds age = now - host.readSentAt;
        if (host.access == Access::Silent) {
            if (age >= readTimeout) {
                finishRead(host, false);
            }
        } else if (age >= callTime) {
            const bool hasNews = !host.leadership.hasRead || end() > host.leadership.endOffset;
            if (host.access == Access::Busy) {
                finishRead(host, false);
            } else if (hasNews || age >= longPoll) {
                finishRead(host, true);
            }
        }
    }

    void finishWrite(Host &host)
    {
        const OwnershipRecord record = *host.write;
        host.write.reset();
        if (host.access != Access::Served || host.writeAtOffset != end()) {
            failWrite(host.leadership, record, host.access == Access::Silent);
            return;
        }
        records.push_back(record);
        confirmWrite(host.leadership, record, end(), now);
    }

    void write(Host &host)
    {
        if (host.write) {
            const Milliseconds duration = host.access == Access::Silent ? writeTimeout : callTime;
            if (now >= host.writeSentAt + duration) {
                finishWrite(host);
            }
            return;
        }
        if (now < host.ticksAt) {
            return;
        }
        host.ticksAt = now + tickPeriod;
        host.leadership.inContactSince = host.contact.reachableSince;
        host.leadership.isInContact =
                isReachable(host.contact, now, longestReadInterval(host.leadership));
        const LeadershipStep step = nextStep(host.leadership, now);
        if (step != LeadershipStep::None) {
            host.write = beginWrite(host.leadership, step, now);
            host.writeSentAt = now;
            host.writeAtOffset = host.leadership.endOffset;
        }
    }

    int owners() const
    {
        int count = 0;
        for (const Host &host : hosts) {
            count += mayIssueCommands(host.leadership, now) ? 1 : 0;
        }
        return count;
    }

    // The process that may issue commands, or nullptr.
    const Host *owner() const
    {
        for (const Host &host : hosts) {
            if (mayIssueCommands(host.leadership, now)) {
                return &host;
            }
        }
        return nullptr;
    }

    int ownerIndex() const { return static_cast<int>(owner() - hosts.data()); }

    // Sets how the log treats the processes for which `isMeant` is true.
    void setAccess(Access access, const std::function<bool(int)> &isMeant)
    {
        for (int i = 0; i < static_cast<int>(hosts.size()); ++i) {
            if (isMeant(i)) {
                hosts[static_cast<std::size_t>(i)].access = access;
            }
        }
    }

    void run(Milliseconds duration)
    {
        for (const TimePoint end = now + duration; now < end; now += stepLength) {
            for (Host &host : hosts) {
                read(host);
                write(host);
            }
            ASSERT_LE(owners(), 1);
        }
    }
};

// Runs a deployment until a large process holds the ownership.
Deployment startedDeployment()
{
    Deployment deployment;
    deployment.run(Milliseconds{12'000});
    return deployment;
}

bool isLarge(const Host *host)
{
    return host != nullptr && host->leadership.processorShare == largeShare;
}

// Guards against a change of owner, often to a small process, at the end of an outage of the log:
// processes that went on claiming through the outage won against the owner's next renewal, and jobs
// waited until the new owner had loaded them.
TEST(ClaimsSimulation, OutageOfTheLogKeepsTheOwner)
{
    for (const Access outage : {Access::Busy, Access::Silent}) {
        SCOPED_TRACE("given a deployment whose owner is a large process");
        Deployment deployment = startedDeployment();
        const Host *const owner = deployment.owner();
        ASSERT_TRUE(isLarge(owner));
        const std::int64_t epoch = owner->leadership.last->epoch;
        {
            SCOPED_TRACE("when the log rejects all processes for 5 s");
            deployment.setAccess(outage, [](int) { return true; });
            deployment.run(Milliseconds{5100});
            EXPECT_EQ(deployment.owner(), nullptr);
            deployment.setAccess(Access::Served, [](int) { return true; });
            {
                SCOPED_TRACE("then the owner is confirmed at its next renewal");
                deployment.run(writeTimeout + Milliseconds{500});
                ASSERT_EQ(deployment.owner(), owner);
                deployment.run(Milliseconds{5000});
                EXPECT_EQ(deployment.owner(), owner);
                EXPECT_EQ(owner->leadership.last->epoch, epoch);
            }
        }
    }
}

// Guards against an outage of the log after which the ended owner is replaced by a small process.
TEST(ClaimsSimulation, LargeProcessFollowsAnOwnerThatEndsInAnOutage)
{
    SCOPED_TRACE("given an outage of the log for all processes, in which the owner ends");
    Deployment deployment = startedDeployment();
    const int owner = deployment.ownerIndex();
    deployment.setAccess(Access::Busy, [](int) { return true; });
    deployment.run(Milliseconds{6000});
    {
        SCOPED_TRACE("when the log serves all others again");
        deployment.setAccess(Access::Served, [owner](int i) { return i != owner; });
        {
            SCOPED_TRACE("then a large process claims first, within the limit");
            const TimePoint end = deployment.now + maxGap;
            while (deployment.owner() == nullptr && deployment.now < end) {
                deployment.run(stepLength);
            }
            EXPECT_TRUE(isLarge(deployment.owner()));
        }
    }
}

// Guards against jobs without an owner, or with a weak one, while the log rejects a part of the
// processes, the owner among them, and serves the others.
TEST(ClaimsSimulation, LogThatRejectsAPartOfTheProcesses)
{
    for (const Access outage : {Access::Busy, Access::Silent}) {
        SCOPED_TRACE("given a deployment whose owner is a large process");
        Deployment deployment = startedDeployment();
        const int owner = deployment.ownerIndex();
        ASSERT_TRUE(isLarge(deployment.owner()));
        {
            SCOPED_TRACE("when the log rejects the owner and a third of the others for 9 s");
            deployment.setAccess(outage, [owner](int i) { return i == owner || i % 3 == 0; });
            deployment.run(maxGap);
            {
                SCOPED_TRACE("then a large process is the owner within the limit and stays it");
                ASSERT_TRUE(isLarge(deployment.owner()));
                const Host *const successor = deployment.owner();
                deployment.run(Milliseconds{9000} - maxGap);
                EXPECT_EQ(deployment.owner(), successor);
                deployment.setAccess(Access::Served, [](int) { return true; });
                deployment.run(Milliseconds{6000});
                EXPECT_EQ(deployment.owner(), successor);
            }
        }
    }
}

// Guards against a small process that keeps the ownership beside larger ones that reach the log
// again, and against jobs without an owner until then.
TEST(ClaimsSimulation, SmallOwnerIsReplacedWhenLargeOnesReturn)
{
    SCOPED_TRACE("given a log that rejects all large processes");
    Deployment deployment = startedDeployment();
    deployment.setAccess(Access::Busy, [](int i) { return i < largeHosts; });
    // The small ones leave the large ones time to claim first.
    deployment.run(maxGap + Milliseconds{1000});
    ASSERT_NE(deployment.owner(), nullptr);
    EXPECT_FALSE(isLarge(deployment.owner()));
    deployment.run(Milliseconds{5000});
    {
        SCOPED_TRACE("when the log serves them again");
        deployment.setAccess(Access::Served, [](int) { return true; });
        {
            SCOPED_TRACE("then one of them takes over after the takeover delay");
            const LeadershipSettings settings;
            deployment.run(settings.takeoverDelay + Milliseconds{500});
            EXPECT_TRUE(isLarge(deployment.owner()));
        }
    }
}

}  // namespace
}  // namespace poplarstream::ownership
