#include "poplarstream/ownership/leadership.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for check

#include "poplarstream/base/malformed_json.hpp"  // for malformed

namespace poplarstream::ownership {
namespace {

using Kind = OwnershipRecord::Kind;

// A log that accepts a write only from a process that has read it to its end.
struct Log
{
    std::vector<OwnershipRecord> records;

    std::int64_t end() const { return static_cast<std::int64_t>(records.size()); }

    void show(Leadership &process, TimePoint now) const
    {
        observe(process, records.empty() ? std::nullopt : std::optional(records.back()), end(),
                now);
    }

    // Runs the next step of a process; returns whether it wrote a record.
    bool step(Leadership &process, TimePoint now)
    {
        const LeadershipStep next = nextStep(process, now);
        if (next == LeadershipStep::None) {
            return false;
        }
        const OwnershipRecord record = beginWrite(process, next, now);
        if (process.endOffset != end()) {
            failWrite(process, record, true);
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

// Guards against two owners: both processes see an empty log, but only one claim may succeed.
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

// Guards against reads of the log that grow with the number of small processes, and against a small
// process that claims because it has not read for long.
TEST(Leadership, SmallProcessesReadLessOften)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership large = process("large");
    large.processorShare = 0.5;
    Leadership equal = process("equal");
    equal.processorShare = 0.5;
    Leadership small = process("small");
    small.processorShare = 0.12;
    EXPECT_EQ(readInterval(small), small.settings.candidateReadInterval) << "there is no owner yet";
    log.show(large, now);
    now += Milliseconds{400};
    ASSERT_TRUE(log.step(large, now));
    log.show(equal, now);
    log.show(small, now);
    EXPECT_EQ(readInterval(large), large.settings.candidateReadInterval);
    EXPECT_EQ(readInterval(equal), equal.settings.candidateReadInterval);
    EXPECT_EQ(readInterval(small), small.settings.otherReadInterval);
    now += small.settings.otherReadInterval * 2 - Milliseconds{1};
    small.inContactSince = timePoint(0);
    EXPECT_EQ(nextStep(small, now), LeadershipStep::None) << "a renewal is read before it claims";
}

// Guards against calls to the store that cost more than the work of several owners: each of the
// many small processes of a deployment reads the log of each shard.
TEST(Leadership, NoSmallProcessReadsAsOftenAsACandidate)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership large = process("large");
    large.processorShare = 0.5;
    log.show(large, now);
    now += Milliseconds{400};
    ASSERT_TRUE(log.step(large, now));
    for (int i = 0; i < 200; ++i) {
        Leadership small = process("small-" + std::to_string(i));
        small.processorShare = 0.12;
        log.show(small, now);
        EXPECT_EQ(readInterval(small), small.settings.otherReadInterval) << i;
    }
}

// Guards against jobs that nobody runs: an owner whose session has failed must not keep renewing.
TEST(Leadership, AbandonedOwnershipIsResigned)
{
    SCOPED_TRACE("given an owner that gives up its epoch");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    now += Milliseconds{200};
    ASSERT_TRUE(log.step(a, now));
    a.abandonedEpoch = a.last->epoch;
    EXPECT_FALSE(mayIssueCommands(a, now));
    {
        SCOPED_TRACE("when another process has written meanwhile, so that the write fails");
        const OwnershipRecord failed = beginWrite(a, nextStep(a, now), now);
        EXPECT_EQ(failed.kind, Kind::Resignation);
        failWrite(a, failed, true);
    }
    {
        SCOPED_TRACE("then it resigns at the next step and may claim again under a new epoch");
        ASSERT_TRUE(log.step(a, now));
        EXPECT_EQ(log.records.back().kind, Kind::Resignation);
        EXPECT_FALSE(isOwner(a));
        now += Milliseconds{5000};
        ASSERT_TRUE(log.step(a, now));
        EXPECT_EQ(log.records.back().kind, Kind::Claim);
        EXPECT_GT(a.last->epoch, a.abandonedEpoch);
        EXPECT_TRUE(mayIssueCommands(a, now));
    }
}

// Guards against commands of an owner whose renewals failed while another process took over.
TEST(Leadership, UnconfirmedOwnerStopsBeforeTheNextClaims)
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
        SCOPED_TRACE("when the other process waits for the owner timeout");
        while (nextStep(b, now) == LeadershipStep::None) {
            now += Milliseconds{10};
        }
        {
            SCOPED_TRACE("then the first has stopped some time before its claim");
            EXPECT_GE(now - lastConfirmed, a.settings.ownerTimeout);
            EXPECT_FALSE(mayIssueCommands(a, now - Milliseconds{400}));
            ASSERT_TRUE(log.step(b, now));
            EXPECT_EQ(log.records.back().epoch, 2);
            log.show(a, now);
            EXPECT_FALSE(isOwner(a));
        }
    }
}

// Guards against a handover that takes as long as a failover.
TEST(Leadership, ResignationIsFollowedByAnImmediateClaim)
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
    EXPECT_FALSE(mayIssueCommands(a, now)) << "no commands during the handover";
    ASSERT_TRUE(log.step(a, now));
    EXPECT_EQ(log.records.back().kind, Kind::Resignation);
    log.show(b, now);
    now += b.settings.claimSpread;
    EXPECT_TRUE(log.step(b, now));
    EXPECT_EQ(nextStep(a, now + Milliseconds{9000}), LeadershipStep::None);
}

// Guards against tasks that run twice beside each other: a successor that reads a resignation does
// not wait for leases that its writer renews afterwards, because it has no response to it.
TEST(Leadership, NothingIsPermittedOnceAResignationMayBeStored)
{
    SCOPED_TRACE("given an owner that leaves");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    now += Milliseconds{200};
    ASSERT_TRUE(log.step(a, now));
    a.isLeaving = true;
    EXPECT_FALSE(mayHaveResigned(a)) << "its successor waits for what it renews until it resigns";
    ASSERT_EQ(nextStep(a, now), LeadershipStep::Resign);
    const OwnershipRecord first = beginWrite(a, LeadershipStep::Resign, now);
    EXPECT_TRUE(mayHaveResigned(a));
    {
        SCOPED_TRACE("when the store says that nothing was written, it goes on");
        Leadership refused = a;
        failWrite(refused, first, false);
        EXPECT_FALSE(mayHaveResigned(refused));
    }
    failWrite(a, first, true);
    EXPECT_TRUE(mayHaveResigned(a));
    {
        SCOPED_TRACE("when the next one is refused, the first may be stored all the same");
        Leadership refused = a;
        const OwnershipRecord second = beginWrite(refused, LeadershipStep::Resign, now);
        failWrite(refused, second, false);
        EXPECT_TRUE(mayHaveResigned(refused));
    }
    {
        SCOPED_TRACE("when the log does not show it, it may be stored later");
        now += Milliseconds{500};
        log.show(a, now);
        EXPECT_TRUE(mayHaveResigned(a));
    }
    {
        SCOPED_TRACE("when the log shows another record of the owner in its place, it goes on");
        now += a.settings.validity;
        ASSERT_EQ(nextStep(a, now), LeadershipStep::Renew);
        Leadership other = a;
        ASSERT_TRUE(log.step(a, now));
        EXPECT_FALSE(mayHaveResigned(a));
        {
            SCOPED_TRACE("also if it has no response and reads the log");
            const OwnershipRecord renewal = beginWrite(other, LeadershipStep::Renew, now);
            failWrite(other, renewal, true);
            EXPECT_TRUE(mayHaveResigned(other));
            log.show(other, now);
            EXPECT_FALSE(mayHaveResigned(other));
        }
    }
}

// Guards against leases that expire in an outage because their owner leaves: a resignation would
// reach nobody.
TEST(Leadership, LeavingOwnerResignsWhileItIsConfirmed)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    now += Milliseconds{200};
    ASSERT_TRUE(log.step(a, now));
    a.isLeaving = true;
    now += a.settings.validity;
    ASSERT_EQ(nextStep(a, now), LeadershipStep::Renew);
    const OwnershipRecord renewal = beginWrite(a, LeadershipStep::Renew, now);
    failWrite(a, renewal, true);
    EXPECT_FALSE(mayHaveResigned(a));
    EXPECT_FALSE(mayIssueCommands(a, now));
    EXPECT_EQ(nextStep(a, now), LeadershipStep::None) << "not more often than it renews";
    now += a.settings.renewalInterval;
    ASSERT_TRUE(log.step(a, now));
    EXPECT_EQ(nextStep(a, now), LeadershipStep::Resign);
}

// Guards against a restarted process that waits for the timeout of its own previous incarnation.
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

// Guards against two owners that command the same machines: a host that replaces another under its
// name claims at once, while the other one is cut off but still confirmed.
TEST(Leadership, OwnerOfTheSameNameAtAnotherAddressIsWaitedFor)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    a.address = "10.0.0.1:8623";
    log.show(a, now);
    now += Milliseconds{2000};
    ASSERT_TRUE(log.step(a, now));
    Leadership other = process("a");
    other.address = "10.0.0.2:8623";
    other.incarnation = "2";
    log.show(other, now);
    EXPECT_GE(earliestClaim(other), now + a.settings.validity);
    EXPECT_EQ(earliestClaim(other), now + a.settings.ownerTimeout + claimDelay(other));
}

// Guards against the smallest process winning the ownership, which is the largest workload.
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

// Guards against a small process that won the ownership once and then keeps it, although it lacks
// the processor time to manage the whole deployment.
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
        SCOPED_TRACE("while the small process keeps renewing");
        now += Milliseconds{50};
        log.step(small, now);
        log.show(large, now);
        log.show(equal, now);
        ASSERT_FALSE(log.step(equal, now)) << "no takeover from an owner with an equal share";
        hasTakenOver = log.step(large, now);
    }
    ASSERT_TRUE(hasTakenOver);
    EXPECT_GE(now - seenAt, large.settings.takeoverDelay);
    log.show(small, now);
    EXPECT_FALSE(isOwner(small));
    EXPECT_TRUE(mayIssueCommands(large, now));
}

// Guards against a small process that claims again immediately because it was the last owner.
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

// Guards against a change of owner after each outage of the store: when it recovers, no process has
// read a renewal for longer than the owner timeout.
TEST(Leadership, OwnerHasTimeToRenewAfterALogOutage)
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

// Guards against a claim that is the first write after an outage, before the owner's next renewal.
TEST(Leadership, NoClaimWithoutContact)
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
    b.isInContact = false;
    EXPECT_EQ(nextStep(b, now), LeadershipStep::None);
    b.isInContact = true;
    EXPECT_EQ(nextStep(b, now), LeadershipStep::Claim);
}

// Guards against an owner that issues no commands although its renewals are in the log and keep
// others from claiming, because the responses to its writes were lost or late.
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
        ASSERT_EQ(nextStep(a, now), LeadershipStep::Renew) << "the write is finished";
        {
            SCOPED_TRACE("and a late failure does not finish the next write");
            const OwnershipRecord next = beginWrite(a, LeadershipStep::Renew, now);
            failWrite(a, renewal, true);
            ASSERT_EQ(nextStep(a, now + Milliseconds{1000}), LeadershipStep::None);
            failWrite(a, next, true);
        }
    }
}

// Guards against a command that relies on a renewal of half a second ago: in a network partition
// since then, it could be delivered after a command of the successor.
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
    const std::map<std::string, Milliseconds> commanded{{"m-1", Milliseconds{0}}};
    EXPECT_EQ(log.records.back().recentMachineCommands, commanded);
    EXPECT_TRUE(a.machinesToCommand.empty()) << "listed in only one renewal";
}

// Guards against two owners that command the same machine in turn: a successor that has just
// started knows only the newest record.
TEST(Leadership, RecordsPassOnRecentMachineCommands)
{
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    log.show(a, now);
    ASSERT_TRUE(log.step(a, now + claimDelay(a)));
    now += Milliseconds{1000};
    const TimePoint commandedAt = now;
    a.machinesToCommand = {"m-1"};
    ASSERT_TRUE(log.step(a, now));
    now += Milliseconds{1000};
    ASSERT_TRUE(log.step(a, now));
    Leadership b = process("b");
    log.show(b, now + Milliseconds{20});
    ASSERT_TRUE(b.recentMachineCommands.contains("m-1"));
    EXPECT_GE(b.recentMachineCommands.at("m-1"), commandedAt);
    EXPECT_LE(b.recentMachineCommands.at("m-1"), commandedAt + Milliseconds{20});
    {
        SCOPED_TRACE("and a third process learns them from the claim of the second");
        now += Milliseconds{2500};
        ASSERT_TRUE(log.step(b, now));
        EXPECT_EQ(log.records.back().kind, Kind::Claim);
        EXPECT_GE(log.records.back().recentMachineCommands.at("m-1"), Milliseconds{3480});
    }
    {
        SCOPED_TRACE("until their retention time has passed");
        now += b.settings.machineCommandRetention;
        ASSERT_TRUE(log.step(b, now));
        EXPECT_TRUE(log.records.back().recentMachineCommands.empty());
    }
}

// Guards against a second run beside the first: an owner that was superseded goes on renewing
// leases for a while, although its successor has resigned meanwhile.
TEST(Leadership, ResignationSaysNothingOfEarlierOwners)
{
    SCOPED_TRACE("given an owner that is superseded without having resigned");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    Leadership c = process("c");
    log.show(a, now);
    log.show(c, now);
    now += Milliseconds{2000};
    ASSERT_TRUE(log.step(a, now));
    log.show(b, now);
    log.show(c, now);
    now += Milliseconds{10'000};
    log.show(b, now);
    ASSERT_TRUE(log.step(b, now));
    log.show(c, now);
    const TimePoint claimedAt = now;
    {
        SCOPED_TRACE("when its successor resigns");
        now += Milliseconds{4000};
        b.isLeaving = true;
        ASSERT_TRUE(log.step(b, now)) << "its ownership is confirmed first";
        ASSERT_TRUE(log.step(b, now));
        log.show(c, now);
        EXPECT_EQ(log.records.back().kind, Kind::Resignation);
        {
            SCOPED_TRACE(
                    "then the next owner knows until when the first may have had confirmations");
            EXPECT_EQ(c.earlier.unresignedUntil, claimedAt);
        }
    }
}

// Guards against a log that shows no predecessor after a takeover, so that a run that was done
// twice cannot be traced to what its second owner knew of the first.
TEST(Leadership, ClaimKeepsTheRecordThatItFollowed)
{
    SCOPED_TRACE("given two processes that have started in the same millisecond");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    log.show(a, now);
    log.show(b, now);
    now += claimDelay(a);
    {
        SCOPED_TRACE("when one claims in an empty log, then its claim follows no record");
        ASSERT_TRUE(log.step(a, now));
        EXPECT_FALSE(a.earlier.predecessor);
        now += Milliseconds{300};
        ASSERT_TRUE(log.step(a, now)) << "it renews";
        EXPECT_FALSE(a.earlier.predecessor);
    }
    log.show(b, now);
    EXPECT_FALSE(b.earlier.predecessor) << "it has claimed nothing";
    now += b.settings.ownerTimeout + claimDelay(b);
    {
        SCOPED_TRACE("when the other claims, then it follows the renewal, although the "
                     "incarnations are the same");
        ASSERT_TRUE(log.step(b, now));
        ASSERT_TRUE(b.earlier.predecessor);
        EXPECT_EQ(b.earlier.predecessor->owner, a.self);
        EXPECT_EQ(b.earlier.predecessor->epoch, 1);
        EXPECT_EQ(b.earlier.predecessor->kind, Kind::Renewal);
    }
    {
        SCOPED_TRACE("and its renewals and those of others change nothing");
        now += Milliseconds{300};
        ASSERT_TRUE(log.step(b, now));
        log.show(b, now);
        EXPECT_EQ(b.earlier.predecessor->owner, a.self);
    }
    {
        SCOPED_TRACE("when the first resigned and claims anew, then it follows the other's record");
        b.isLeaving = true;
        now += Milliseconds{300};
        ASSERT_TRUE(log.step(b, now));
        log.show(a, now);
        EXPECT_FALSE(a.earlier.predecessor) << "it has not claimed yet";
        now += claimDelay(a);
        ASSERT_TRUE(log.step(a, now));
        ASSERT_TRUE(a.earlier.predecessor);
        EXPECT_EQ(a.earlier.predecessor->owner, b.self);
        EXPECT_EQ(a.earlier.predecessor->epoch, 2);
        EXPECT_EQ(a.earlier.predecessor->kind, Kind::Resignation);
    }
}

// Guards against the same for a claim whose response was lost.
TEST(Leadership, ClaimReadFromTheLogKeepsTheRecordThatItFollowed)
{
    SCOPED_TRACE("given a process that has read the resignation of an owner");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    log.show(a, now);
    now += claimDelay(a);
    ASSERT_TRUE(log.step(a, now));
    a.isLeaving = true;
    now += Milliseconds{300};
    ASSERT_TRUE(log.step(a, now));
    log.show(b, now);
    now += claimDelay(b);
    ASSERT_EQ(nextStep(b, now), LeadershipStep::Claim);
    {
        SCOPED_TRACE("when its claim is stored, but not answered");
        const OwnershipRecord claim = beginWrite(b, LeadershipStep::Claim, now);
        log.records.push_back(claim);
        EXPECT_FALSE(b.earlier.predecessor);
        {
            SCOPED_TRACE("then the log shows the claim, and the record that it followed is kept");
            now += Milliseconds{400};
            log.show(b, now);
            ASSERT_TRUE(isOwner(b));
            ASSERT_TRUE(b.earlier.predecessor);
            EXPECT_EQ(b.earlier.predecessor->owner, a.self);
            EXPECT_EQ(b.earlier.predecessor->kind, Kind::Resignation);
        }
        {
            SCOPED_TRACE("and a late response changes nothing");
            confirmWrite(b, claim, log.end(), now);
            EXPECT_EQ(b.earlier.predecessor->owner, a.self);
        }
    }
}

// Guards against tasks that run twice: an owner that is superseded without having resigned renews
// leases for a while. Its successor waits for that also after it has lost the ownership and won it
// again, when the record before its newest claim is a resignation.
TEST(Leadership, OwnerThatReturnsWaitsForTheOneBeforeItsFirstClaim)
{
    constexpr Milliseconds grace{8000};
    SCOPED_TRACE("given an owner that is cut off, and two other processes");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership cutOff = process("a");
    Leadership b = process("b");
    Leadership c = process("c");
    log.show(cutOff, now);
    log.show(c, now);
    now += Milliseconds{2000};
    ASSERT_TRUE(log.step(cutOff, now));
    log.show(b, now);
    log.show(c, now);
    now += b.settings.ownerTimeout + b.settings.claimSpread;
    ASSERT_TRUE(log.step(b, now));
    const TimePoint claimedAt = now;
    EXPECT_EQ(earlierRenewalsUntil(b.earlier, now, grace), claimedAt + grace);
    const auto resign = [&log, &now](Leadership &owner) {
        owner.fencedEpoch = log.records.back().epoch;
        owner.abandonedEpoch = owner.fencedEpoch;
        now += owner.settings.renewalInterval;
        return log.step(owner, now) && log.records.back().kind == Kind::Resignation;
    };
    {
        SCOPED_TRACE("when both own the jobs for a moment and resign");
        ASSERT_TRUE(resign(b));
        log.show(c, now);
        now += c.settings.claimSpread + c.settings.renewalInterval;
        ASSERT_TRUE(log.step(c, now));
        ASSERT_TRUE(resign(c));
        log.show(b, now);
        {
            SCOPED_TRACE("then the first of them, owner again, waits for the one that is cut off");
            now += b.settings.claimSpread + b.settings.renewalInterval;
            ASSERT_TRUE(log.step(b, now));
            ASSERT_LT(now, claimedAt + grace);
            EXPECT_EQ(earlierRenewalsUntil(b.earlier, now, grace), claimedAt + grace);
        }
    }
    {
        SCOPED_TRACE("and not longer");
        now = claimedAt + grace + Milliseconds{1};
        EXPECT_EQ(earlierRenewalsUntil(b.earlier, now, grace), now);
    }
}

// Guards against tasks that run twice: an owner that has resigned before it had fenced the progress
// of the one before it leaves that one confirmed by what it stores.
TEST(Leadership, ResignationBeforeAFenceEndsNoConfirmations)
{
    constexpr Milliseconds grace{8000};
    SCOPED_TRACE("given an owner that is superseded without having resigned");
    Log log;
    TimePoint now = timePoint(10'000);
    Leadership a = process("a");
    Leadership b = process("b");
    Leadership c = process("c");
    log.show(a, now);
    log.show(c, now);
    now += Milliseconds{2000};
    ASSERT_TRUE(log.step(a, now));
    log.show(b, now);
    now += Milliseconds{10'000};
    ASSERT_TRUE(log.step(b, now));
    log.show(c, now);
    {
        SCOPED_TRACE("when its successor is stopped before the progress log accepts its fence");
        now += Milliseconds{4000};
        b.isLeaving = true;
        ASSERT_TRUE(log.step(b, now)) << "its ownership is confirmed first";
        ASSERT_TRUE(log.step(b, now));
        log.show(c, now);
        now += c.settings.claimSpread + c.settings.renewalInterval;
        ASSERT_TRUE(log.step(c, now));
        {
            SCOPED_TRACE("then the next owner waits from its own fence on");
            EXPECT_EQ(earlierRenewalsUntil(c.earlier, now, grace), now + grace);
        }
    }
}

// Guards against a wait for leases of owners that never were.
TEST(Leadership, FirstOwnerOfADeploymentWaitsForNobody)
{
    Log log;
    const TimePoint now = timePoint(20'000);
    Leadership a = process("a");
    log.show(a, now - Milliseconds{2000});
    ASSERT_TRUE(log.step(a, now));
    EXPECT_EQ(earlierRenewalsUntil(a.earlier, now, Milliseconds{8000}), now);
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
    record.carriedOutWaves = {3, 5};
    record.hasFenced = true;
    record.accountHolds = R"([["hot",200,4000]])";
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
    EXPECT_EQ(read->carriedOutWaves, record.carriedOutWaves);
    EXPECT_EQ(read->hasFenced, record.hasFenced);
    EXPECT_EQ(read->accountHolds, record.accountHolds);
    EXPECT_FALSE(decodeOwnership("{\"kind\":\"other\"}"));
    EXPECT_FALSE(decodeOwnership("not JSON"));
}

// Guards against a process that is ended by a malformed record in the log.
TEST(Leadership, MalformedRecords)
{
    const std::string record = encodeOwnership({});
    ASSERT_TRUE(decodeOwnership(record));
    EXPECT_TRUE(rc::check([&record] {
        if (const auto decoded = decodeOwnership(test::malformed(record))) {
            RC_ASSERT(decoded->epoch >= 0);
            RC_ASSERT(decoded->sequence >= 0);
        }
    }));
}

// Guards against a process, and each next owner, that is ended by a deeply nested record, since
// copying a document recurses.
TEST(Leadership, DeeplyNestedRecord)
{
    constexpr std::size_t levels = 400'000;
    const std::string nested = std::string(levels, '[') + std::string(levels, ']');
    OwnershipRecord record;
    record.owner = EntryHostId("a");
    const std::string text = encodeOwnership(record);
    ASSERT_TRUE(decodeOwnership(text));
    EXPECT_FALSE(decodeOwnership(nested));
    EXPECT_FALSE(decodeOwnership(R"({"reason":)" + nested + "," + text.substr(1)));
}

}  // namespace
}  // namespace poplarstream::ownership
