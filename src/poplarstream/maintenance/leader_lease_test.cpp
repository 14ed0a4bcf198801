#include "poplarstream/maintenance/leader_lease.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::maintenance {
namespace {

// Guards against two concurrent holders, or a lease that no host claims, when hosts pause, records
// are lost or delayed, and hosts disagree about their ranks.
TEST(LeaderLease, OneHolderUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        SCOPED_TRACE("given seed " + std::to_string(seed));
        Random random(seed);
        const LeasePolicy policy;
        LeaseView lease;
        struct Pending
        {
            TimePoint at;
            LeaderLease record;
        };
        std::vector<Pending> pending;
        std::vector<TimePoint> pausedUntil(4);
        std::vector<LeaseView> knownLeases(4);
        TimePoint lastHeld = timePoint(0);
        for (TimePoint now = timePoint(0); now < timePoint(200'000); now += Milliseconds{500}) {
            const bool isCalm = now > timePoint(150'000);
            std::erase_if(pending, [&](const Pending &entry) {
                const bool isFree = lease.holder.isEmpty() || now >= lease.until
                                    || lease.holder == entry.record.holder;
                if (entry.at <= now && isFree) {
                    lease = {entry.record.holder, now + entry.record.duration};
                }
                return entry.at <= now;
            });
            int acting = 0;
            for (std::size_t i = 0; i < pausedUntil.size(); ++i) {
                if (!isCalm && random.below(100) == 0) {
                    pausedUntil[i] = now + Milliseconds{random.below(40'000)};
                }
                if (now < pausedUntil[i]) {
                    continue;
                }
                const EntryHostId self("e" + std::to_string(i));
                // After a pause a host acts on a stale view until it reads the log again.
                acting += holdsLease(knownLeases[i], self, now, policy) ? 1 : 0;
                knownLeases[i] = lease;
                const auto rank = static_cast<std::uint32_t>(isCalm ? i : random.below(4));
                const auto record = decideLeaderLease(
                        {DutyId("waves"), self, lease, rank, false, false, now}, policy);
                if (record && (isCalm || random.below(4) != 0)) {
                    pending.push_back(
                            {now + Milliseconds{isCalm ? 0 : random.below(3'000)}, *record});
                }
            }
            ASSERT_LE(acting, 1);
            if (acting == 1) {
                lastHeld = now;
            }
        }
        SCOPED_TRACE("then one host acts after the faults end");
        ASSERT_GT(lastHeld, timePoint(195'000));
    }
}

// Guards against a planned stop that leaves no lease holder until the lease expires.
TEST(LeaderLease, LeavingHolderReleases)
{
    const LeasePolicy policy;
    const LeaseView lease{EntryHostId("e0"), timePoint(10'000)};
    LeaseInput input{DutyId("d"), EntryHostId("e0"), lease, 0, true, false, timePoint(1'000)};
    EXPECT_EQ(decideLeaderLease(input, policy)->duration, Milliseconds{0});
    input.self = EntryHostId("e1");
    EXPECT_FALSE(decideLeaderLease(input, policy).has_value());
}

// Guards against a holder that pauses repeatedly, renews in between and does only half of the work.
TEST(LeaderLease, RecentlyPausedHolderReleasesAndClaimsLast)
{
    const LeasePolicy policy;
    const LeaseView lease{EntryHostId("e0"), timePoint(16'000)};
    LeaseInput input{DutyId("d"), EntryHostId("e0"), lease, 0, false, false, timePoint(1'000)};
    EXPECT_FALSE(decideLeaderLease(input, policy).has_value());
    input.hasPausedRecently = true;
    EXPECT_EQ(decideLeaderLease(input, policy)->duration, Milliseconds{0});
    input.lease.holder = EntryHostId("e1");
    input.now = input.lease.until + policy.margin + 7 * policy.rankDelay;
    EXPECT_FALSE(decideLeaderLease(input, policy).has_value());
    input.now = input.lease.until + policy.margin + policy.pausedDelay;
    EXPECT_EQ(decideLeaderLease(input, policy)->duration, policy.duration);
}

}  // namespace
}  // namespace poplarstream::maintenance
