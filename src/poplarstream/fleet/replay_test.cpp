#include "poplarstream/fleet/replay.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "poplarstream/fleet/queries.hpp"  // for budgetOf, hostsOf
#include "poplarstream/fleet/random_log.hpp"  // for RandomLog
#include "poplarstream/fleet/snapshot.hpp"  // for encodeState, snapshotParts
#include "poplarstream/records/codec.hpp"  // for encode

namespace poplarstream {
namespace {

using Log = std::vector<Logged<ControlRecord>>;

void assertSameState(const FleetState &state, const reference::Fleet &fleet)
{
    RC_ASSERT(state.version == fleet.version);
    RC_ASSERT(state.document == fleet.document);
    RC_ASSERT(*state.configuration == fleet.config);
    RC_ASSERT(state.hosts.size() == fleet.hosts.size());
    for (const auto &[id, host] : state.hosts) {
        const reference::Host &other = fleet.hosts.at(id.text());
        RC_ASSERT(hostStateText(host.state) == other.state);
        RC_ASSERT(host.absence.has_value() == other.hasAbsence);
        RC_ASSERT(host.quarantined == other.quarantined);
        const std::vector<std::string> loan =
                host.loan ? std::vector{host.loan->from.text(), host.loan->to.text(),
                                        host.loan->wave.text()}
                          : std::vector<std::string>();
        RC_ASSERT(loan == other.loan);
        RC_ASSERT(host.config->pool == fleet.configOf(id.text()).pool);
    }
    for (const auto &[pool, usage] : state.poolUsage) {
        RC_ASSERT(usage.away + usage.incoming == fleet.countedHosts(pool.text(), false).size());
    }
    for (const auto &[wave, history] : state.waves) {
        std::set<std::string> done;
        for (const HostId &host : history.done) {
            done.insert(host.text());
        }
        const auto other = fleet.done.find(wave.text());
        RC_ASSERT(done == (other == fleet.done.end() ? std::set<std::string>{} : other->second));
    }
    for (const auto &[duty, lease] : fleet.leases) {
        const auto holder = leaseHolder(state, DutyId(duty), state.time);
        RC_ASSERT(holder.has_value() == (lease.second > fleet.time));
        RC_ASSERT(!holder || holder->holder.text() == lease.first);
    }
}

// Checks that each host is in one configured pool, that the document shows this pool, and that no
// pool has more granted absences than its budget. Counts from the hosts alone, so that wrong pool
// usage does not hide an exceeded budget.
void checkInvariants(const FleetState &state)
{
    std::map<PoolId, std::uint32_t> grantedAbsences;
    std::size_t members = 0;
    for (const PoolConfig &pool : state.configuration->pools) {
        members += hostsOf(state, pool.id).size();
    }
    RC_ASSERT(members == state.hosts.size());
    for (const auto &[id, host] : state.hosts) {
        const std::string *written =
                valueOf(*state.document.find(SectionId("host " + id.text())), "pool");
        RC_ASSERT(written && *written == host.config->pool.text());
        grantedAbsences[host.config->pool] += host.absence ? 1 : 0;
    }
    for (const auto &[pool, count] : grantedAbsences) {
        RC_ASSERT(count <= state.configuration->pools.find(pool)->maxAway);
    }
}

// Guards against grants that the rules do not allow. Replay, with its counters and tables, must
// agree with the simple reference model after every record.
TEST(Replay, AgreesWithReferenceModel)
{
    EXPECT_TRUE(rc::check("replay agrees with the reference model", [](std::uint64_t seed) {
        FleetState state;
        reference::Fleet fleet;
        for (const auto &logged : RandomLog(seed).write(150)) {
            const ControlOutcome applied = apply(state, logged);
            RC_LOG(std::to_string(logged.offset) + " " + encode(logged.record) + " "
                   + applied.reason + "\n");
            RC_ASSERT(applied.granted == fleet.apply(logged));
            RC_ASSERT(applied.granted == applied.reason.empty());
            assertSameState(state, fleet);
            checkInvariants(state);
        }
    }));
}

// Guards guarantees 1 and 2 (budgets and pool membership) when records are logged late, twice or in
// an order that their writers did not expect.
TEST(Replay, BudgetsHoldInAnyRecordOrder)
{
    EXPECT_TRUE(rc::check("budgets hold in any order", [](std::uint64_t seed) {
        Log log = RandomLog(seed).write(200);
        Random random(seed + 1);
        // A few swaps keep most absences valid; many lead to unusual states. The first record stays
        // first, as nothing is granted without a configuration.
        for (std::size_t i = random.below(100); i > 0; --i) {
            std::swap(log[1 + random.below(log.size() - 1)], log[1 + random.below(log.size() - 1)]);
        }
        FleetState state;
        for (std::size_t i = 0; i < log.size(); ++i) {
            log[i].offset = i;
            apply(state, log[i]);
            checkInvariants(state);
        }
    }));
}

// Guards against an entry host that starts from a snapshot and then decides differently from those
// that replayed the whole log.
TEST(Snapshot, WithTailEqualsFullLogAtEveryCut)
{
    EXPECT_TRUE(rc::check("snapshot and tail equal the full log", [](std::uint64_t seed) {
        const Log log = RandomLog(seed).write(60);
        FleetState full;
        for (const auto &logged : log) {
            apply(full, logged);
        }
        const std::string expected = encodeState(full);
        FleetState head;
        for (std::size_t cut = 0; cut < log.size(); ++cut) {
            apply(head, log[cut]);
            SnapshotCollector collector;
            for (const SnapshotPart &part : snapshotParts(head, RecordId("s"))) {
                collector.add(part);
            }
            auto restored = collector.newest();
            RC_ASSERT(restored.has_value());
            RC_ASSERT(restored->next == cut + 1);
            for (std::size_t i = restored->next; i < log.size(); ++i) {
                apply(*restored, log[i]);
            }
            RC_ASSERT(encodeState(*restored) == expected);
        }
    }));
}

}  // namespace
}  // namespace poplarstream
