#include <algorithm>  // for set_difference
#include <iterator>  // for back_inserter

#include <gtest/gtest.h>  // for TEST, EXPECT_LE

#include "test_network.hpp"  // for TestNetwork

namespace poplarstream::traffic {
namespace {

std::set<MinionId> connectedMinions(const std::string &entryHost, std::size_t minions,
                                    std::size_t removed)
{
    TestNetwork network(minions, minions / 2);
    network.settings.entryHost = EntryHostId(entryHost);
    network.settings.livePeers = 16;
    network.settings.minions.erase(network.settings.minions.begin()
                                   + static_cast<std::ptrdiff_t>(removed));
    network.start();
    std::set<MinionId> used;
    for (const auto &[connection, minion] : network.open) {
        used.insert(minion);
    }
    return used;
}

// Guards against connections between all entry hosts and all minions of a large fleet, against
// minions that no entry host uses, and against a different subset after the removal of one minion.
TEST(Routing, StableSubset)
{
    constexpr std::size_t minions = 400;
    std::set<MinionId> covered;
    for (int entry = 0; entry < 16; ++entry) {
        const std::string name = "e" + std::to_string(entry);
        const auto used = connectedMinions(name, minions, 0);
        covered.insert(used.begin(), used.end());
        EXPECT_LE(used.size(), 50U + 32U) << "4 * 200 / 16 of the own zone, 32 of other zones";
        const auto later = connectedMinions(name, minions, 150);
        std::vector<MinionId> added;
        std::set_difference(later.begin(), later.end(), used.begin(), used.end(),
                            std::back_inserter(added));
        EXPECT_LE(added.size(), 2U);
    }
    EXPECT_GT(covered.size(), minions * 95 / 100);
}

// Guards against requests that leave the zone while its own minions have capacity, and against
// requests that stay when they have none.
TEST(Routing, OwnZoneFirst)
{
    TestNetwork network(4, 2);
    network.settings.livePeers = 8;
    network.start();
    const auto isRemote = [](const MinionId &id) { return id.text() > "m1"; };
    const auto countRemote = [&] {
        std::size_t remote = 0;
        for (const auto &[attempt, sent] : network.sent) {
            remote += isRemote(sent.minion) ? 1 : 0;
        }
        return remote;
    };
    for (int i = 0; i < 4; ++i) {
        network.submit("once", 0, 3000);
    }
    EXPECT_EQ(network.sent.size(), 2U) << "one per minion of the own zone";
    EXPECT_EQ(countRemote(), 0U);
    SCOPED_TRACE("when they have waited longer than the round trip, then they leave the zone");
    network.advance(10);
    network.connectAll();
    EXPECT_EQ(countRemote(), 2U);
}

}  // namespace
}  // namespace poplarstream::traffic
