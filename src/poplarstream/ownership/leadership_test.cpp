#include "poplarstream/ownership/leadership.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::ownership {
namespace {

using Kind = OwnershipRecord::Kind;

// Processes that share a log whose writes need its end as they read it.
struct Log
{
    std::vector<OwnershipRecord> records;

    std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }

    void show(Leadership &process, TimePoint now) const
    {
        observe(process, records.empty() ? std::nullopt : std::optional(records.back()), end(),
                now);
    }

    // Lets a process take its next step; returns whether it wrote.
    bool step(Leadership &process, TimePoint now)
    {
        const LeadershipStep wanted = nextStep(process, now);
        if (wanted == LeadershipStep::None) {
            return false;
        }
        const OwnershipRecord record = beginWrite(process, wanted, now);
        if (process.endOffset != end()) {
            failWrite(process, record);
            return false;
        }
        records.push_back(record);
        confirmWrite(process, record, end(), now);
        return true;
    }
};

Leadership process(const std::string &name)
{
    Leadership leadership;
    leadership.self = EntryHostId(name);
    leadership.incarnation = "1";
    return leadership;
}

// Guards against two owners: both see a free log, one may win.
TEST(Leadership, OneClaimWins)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    log.show(a, now);
    log.show(b, now);
    now += Milliseconds{200};
    EXPECT_TRUE(log.step(a, now));
    EXPECT_FALSE(log.step(b, now));
    EXPECT_TRUE(mayIssueCommands(a, now));
    log.show(b, now);
    EXPECT_FALSE(isOwner(b));
}

// Guards against orders of an owner that was silent while another one took over.
TEST(Leadership, SilentOwnerStopsBeforeTheNextClaims)
{
    SCOPED_TRACE("given an owner whose renewals no longer reach the log");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    log.show(a, now);
    now += Milliseconds{200};
    ASSERT_TRUE(log.step(a, now));
    log.show(b, now);
    const TimePoint lastConfirmed = now;
    {
        SCOPED_TRACE("when the other waits for its silence");
        while (nextStep(b, now) == LeadershipStep::None) {
            now += Milliseconds{10};
        }
        {
            SCOPED_TRACE("then the first has stopped some time before");
            EXPECT_GE(now - lastConfirmed, a.settings.ownerTimeout);
            EXPECT_FALSE(mayIssueCommands(a, now - Milliseconds{400}));
            ASSERT_TRUE(log.step(b, now));
            EXPECT_EQ(log.records.back().epoch, 2);
            log.show(a, now);
            EXPECT_FALSE(isOwner(a));
        }
    }
}

// Guards against a handover that takes as long as a failure.
TEST(Leadership, ResignationIsFollowedAtOnce)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    log.show(a, now);
    now += Milliseconds{200};
    ASSERT_TRUE(log.step(a, now));
    log.show(b, now);
    now += Milliseconds{50};
    a.isLeaving = true;
    EXPECT_FALSE(mayIssueCommands(a, now)) << "it hands over, so it orders nothing more";
    ASSERT_TRUE(log.step(a, now));
    EXPECT_EQ(log.records.back().kind, Kind::Resignation);
    log.show(b, now);
    now += b.settings.claimSpread;
    EXPECT_TRUE(log.step(b, now));
    EXPECT_EQ(nextStep(a, now + Milliseconds{9000}), LeadershipStep::None);
}

// Guards against a restarted process that waits for its own earlier life.
TEST(Leadership, RestartedOwnerClaimsAgainWithAHigherEpoch)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    now += Milliseconds{200};
    ASSERT_TRUE(log.step(a, now));
    Leadership again = process("a");
    again.incarnation = "2";
    log.show(again, now);
    EXPECT_FALSE(isOwner(again));
    EXPECT_TRUE(log.step(again, now + Milliseconds{500}));
    EXPECT_EQ(log.records.back().epoch, 2);
}

// Guards against the smallest machine doing the largest work.
TEST(Leadership, SmallerCandidatesWaitLonger)
{
    Leadership large = process("large");
    large.processorShare = 0.5;
    Leadership small = process("small");
    small.processorShare = 0.125;
    EXPECT_GE(claimDelay(small), claimDelay(large) + Milliseconds{1000});
    OwnershipRecord last;
    last.owner = EntryHostId("gone");
    last.processorShare = 0.5;
    last.largestShare = 0.5;
    observe(large, last, 1, timePoint(1));
    observe(small, last, 1, timePoint(1));
    EXPECT_LE(claimDelay(large), large.settings.claimSpread);
    EXPECT_GE(claimDelay(small), claimDelay(large) + Milliseconds{1000});
}

// Guards against a small machine that once won the ownership and then keeps it: it has not the
// processor time for the work of the whole deployment.
TEST(Leadership, LargerProcessTakesOverFromASmallerOne)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership small = process("small");
    small.processorShare = 0.125;
    log.show(small, now);
    now += claimDelay(small);
    ASSERT_TRUE(log.step(small, now));
    Leadership large = process("large");
    large.processorShare = 0.5;
    Leadership equal = process("equal");
    equal.processorShare = 0.125;
    const TimePoint seenAt = now;
    log.show(large, now);
    log.show(equal, now);
    bool hasTakenOver = false;
    while (!hasTakenOver && now < seenAt + Milliseconds{10'000}) {
        SCOPED_TRACE("while the small one goes on renewing");
        now += Milliseconds{50};
        log.step(small, now);
        log.show(large, now);
        log.show(equal, now);
        ASSERT_FALSE(log.step(equal, now)) << "no process takes over from its equal";
        hasTakenOver = log.step(large, now);
    }
    ASSERT_TRUE(hasTakenOver);
    EXPECT_GE(now - seenAt, large.settings.takeoverDelay);
    log.show(small, now);
    EXPECT_FALSE(isOwner(small));
    EXPECT_TRUE(mayIssueCommands(large, now));
}

// Guards against a small machine that claims again at once because the last owner was itself.
TEST(Leadership, RestartedSmallOwnerWaitsForLargerOnes)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership large = process("large");
    large.processorShare = 0.5;
    log.show(large, now);
    now += claimDelay(large);
    ASSERT_TRUE(log.step(large, now));
    Leadership small = process("small");
    small.processorShare = 0.125;
    log.show(small, now);
    now += small.settings.ownerTimeout + claimDelay(small);
    ASSERT_TRUE(log.step(small, now));
    Leadership again = process("small");
    again.processorShare = 0.125;
    again.incarnation = "2";
    log.show(again, now);
    EXPECT_GE(claimDelay(again), Milliseconds{1000});
    EXPECT_FALSE(log.step(again, now + Milliseconds{1000}));
}

// Guards against a change of owners after each outage of the store: when it comes back, everyone
// has heard nothing for long, the owner's renewals among it.
TEST(Leadership, OutageOfTheLogLeavesTheOwnerTimeToRenew)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    log.show(a, now);
    now += Milliseconds{200};
    ASSERT_TRUE(log.step(a, now));
    log.show(b, now);
    now += Milliseconds{5000};
    b.inContactSince = now;
    EXPECT_EQ(nextStep(b, now), LeadershipStep::None);
    EXPECT_EQ(nextStep(b, now + b.settings.renewalInterval), LeadershipStep::None);
    EXPECT_TRUE(log.step(a, now + a.settings.renewalInterval));
    log.show(b, now + a.settings.renewalInterval);
    EXPECT_EQ(nextStep(b, now + Milliseconds{1000}), LeadershipStep::None);
    EXPECT_EQ(nextStep(b, now + Milliseconds{4000}), LeadershipStep::Claim);
}

// Guards against an owner that orders nothing while its renewals are in the log and keep others
// from claiming: the answers are lost, or come after their deadline.
TEST(Leadership, OwnRecordInTheLogConfirmsItsWrite)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    now += claimDelay(a);
    ASSERT_TRUE(log.step(a, now));
    for (int i = 0; i < 20; ++i) {
        now += Milliseconds{300};
        ASSERT_EQ(nextStep(a, now), LeadershipStep::Renew);
        const OwnershipRecord renewal = beginWrite(a, LeadershipStep::Renew, now);
        log.records.push_back(renewal);
        now += Milliseconds{600};
        log.show(a, now);
        ASSERT_TRUE(mayIssueCommands(a, now));
        ASSERT_EQ(nextStep(a, now), LeadershipStep::Renew) << "the write is over";
        {
            SCOPED_TRACE("and a late failure does not end the write after it");
            const OwnershipRecord next = beginWrite(a, LeadershipStep::Renew, now);
            failWrite(a, renewal);
            ASSERT_EQ(nextStep(a, now + Milliseconds{1000}), LeadershipStep::None);
            failWrite(a, next);
        }
    }
}

// Guards against an order that rests on a renewal of half a second ago: the network may have been
// cut since, and would deliver the order after the successor's.
TEST(Leadership, RenewalOnRequest)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    a.wantsRenewal = true;
    ASSERT_TRUE(log.step(a, now));
    EXPECT_EQ(log.records.back().kind, Kind::Claim);
    EXPECT_EQ(nextStep(a, now + Milliseconds{1}), LeadershipStep::None);
    a.wantsRenewal = true;
    a.machinesToCommand = {"m-1"};
    EXPECT_EQ(nextStep(a, now + Milliseconds{1}), LeadershipStep::Renew);
    ASSERT_TRUE(log.step(a, now + Milliseconds{1}));
    const std::map<std::string, Milliseconds> ordered{{"m-1", Milliseconds{0}}};
    EXPECT_EQ(log.records.back().recentMachineCommands, ordered);
    EXPECT_TRUE(a.machinesToCommand.empty()) << "ordered once, after this renewal";
}

// Guards against two owners that order one machine in turns: a successor that has just started
// knows no more than the newest record says.
TEST(Leadership, RecordsPassOnWhichMachinesWereOrdered)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    ASSERT_TRUE(log.step(a, now + claimDelay(a)));
    now += Milliseconds{1000};
    const TimePoint orderedAt = now;
    a.machinesToCommand = {"m-1"};
    ASSERT_TRUE(log.step(a, now));
    now += Milliseconds{1000};
    ASSERT_TRUE(log.step(a, now));
    Leadership b = process("b");
    log.show(b, now + Milliseconds{20});
    ASSERT_TRUE(b.recentMachineCommands.contains("m-1"));
    EXPECT_GE(b.recentMachineCommands.at("m-1"), orderedAt);
    EXPECT_LE(b.recentMachineCommands.at("m-1"), orderedAt + Milliseconds{20});
    {
        SCOPED_TRACE("and a third one from the claim of the second");
        now += Milliseconds{2500};
        ASSERT_TRUE(log.step(b, now));
        EXPECT_EQ(log.records.back().kind, Kind::Claim);
        EXPECT_GE(log.records.back().recentMachineCommands.at("m-1"), Milliseconds{3480});
    }
    {
        SCOPED_TRACE("until they bind nobody any more");
        now += b.settings.machineCommandRetention;
        ASSERT_TRUE(log.step(b, now));
        EXPECT_TRUE(log.records.back().recentMachineCommands.empty());
    }
}

TEST(Leadership, RecordRoundTrip)
{
    OwnershipRecord record;
    record.kind = Kind::Renewal;
    record.epoch = 12;
    record.owner = EntryHostId("a-1");
    record.address = "10.0.0.1:7";
    record.incarnation = "18f";
    record.sequence = 9;
    record.processorShare = 0.25;
    record.largestShare = 0.5;
    record.recentMachineCommands = {{"m-1", Milliseconds{7}}};
    const auto read = decodeOwnership(encodeOwnership(record));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->kind, record.kind);
    EXPECT_EQ(read->epoch, record.epoch);
    EXPECT_EQ(read->owner, record.owner);
    EXPECT_EQ(read->address, record.address);
    EXPECT_EQ(read->incarnation, record.incarnation);
    EXPECT_EQ(read->sequence, record.sequence);
    EXPECT_EQ(read->largestShare, record.largestShare);
    EXPECT_EQ(read->recentMachineCommands, record.recentMachineCommands);
    EXPECT_FALSE(decodeOwnership("{\"kind\":\"other\"}"));
    EXPECT_FALSE(decodeOwnership("not JSON"));
}

}  // namespace
}  // namespace poplarstream::ownership
