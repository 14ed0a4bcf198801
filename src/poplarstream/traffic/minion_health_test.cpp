#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "test_network.hpp"  // for TestNetwork

namespace poplarstream::traffic {
namespace {

// Guards against silent connections that keep swallowing requests: new ones must be opened, probed
// and used within 2 s while the old ones stay silent.
TEST(MinionHealth, AllConnectionsGoSilent)
{
    TestNetwork network(3);
    network.start();
    for (int i = 0; i < 6; ++i) {
        network.submit("once", 0, 3000);
    }
    SCOPED_TRACE("when every open connection is silent from now on");
    std::set<ConnectionNumber> silent;
    for (const auto &[connection, minion] : network.open) {
        silent.insert(connection);
    }
    const auto respondOnNewConnections = [&] {
        for (const auto &[attempt, sent] : std::map(network.sent)) {
            if (!silent.contains(sent.connection)) {
                network.respondOnOwnConnection(attempt);
            }
        }
    };
    for (int step = 0; step < 200; ++step) {
        network.submit("once", 1, 3000);
        network.advance(10);
        for (const ConnectionNumber connection : silent) {
            network.probing.erase(connection);
        }
        network.connectAll();
        respondOnNewConnections();
    }
    SCOPED_TRACE("then after 2 s nothing is sent on them");
    std::size_t sentOnSilent = 0;
    const auto countSilent = [&] {
        sentOnSilent = 0;
        for (const auto &[attempt, sent] : network.sent) {
            sentOnSilent += silent.contains(sent.connection) ? 1 : 0;
        }
    };
    countSilent();
    const std::size_t before = sentOnSilent;
    for (int i = 0; i < 20; ++i) {
        network.submit("once", 1, 3000);
        respondOnNewConnections();
    }
    countSilent();
    EXPECT_EQ(sentOnSilent, before);
    EXPECT_EQ(network.completions.size(), network.deadlines.size());
    EXPECT_EQ(network.violations, "");
}

// Guards against a whole set of idle connections that is silent when the next request comes: probes
// must find out before and new connections must be there.
TEST(MinionHealth, IdleConnectionsGoSilent)
{
    TestNetwork network(3);
    network.start();
    const auto silent = network.open;
    for (int step = 0; step < 200; ++step) {
        network.advance(10);
        for (const auto &[connection, minion] : silent) {
            network.probing.erase(connection);
        }
        network.connectAll();
    }
    for (int i = 0; i < 3; ++i) {
        network.submit("once", 0, 500);
    }
    EXPECT_EQ(network.sent.size(), 3U);
    for (const auto &[attempt, sent] : network.sent) {
        EXPECT_FALSE(silent.contains(sent.connection));
    }
}

// Guards against a minion that fails at once and therefore always looks idle, and against ejecting
// more minions than the cap allows.
TEST(MinionHealth, FailingMinionsAttractNoWork)
{
    TestNetwork network(9);
    network.start();
    std::map<MinionId, std::uint64_t> received;
    const auto isBad = [](const MinionId &id) { return id.text() < "m5"; };
    for (int step = 0; step < 4000; ++step) {
        network.submit("once", 0, 1000);
        for (const auto &[attempt, sent] : std::map(network.sent)) {
            const bool isNew = received[sent.minion]++ == 0 || isBad(sent.minion);
            if (isNew || step % 3 == 0) {
                network.respondOnOwnConnection(attempt, isBad(sent.minion) ? ResponseKind::Failed
                                                                           : ResponseKind::Ok);
            }
        }
        network.advance(5);
        network.respondToProbes();
        std::size_t ejected = 0;
        for (const MinionView &view : minionViews(network.state)) {
            ejected += view.ejected ? 1 : 0;
        }
        ASSERT_LE(ejected, 3U) << "a third of nine";
    }
    std::uint64_t bad = 0;
    for (const auto &[minion, count] : received) {
        bad += isBad(minion) ? count : 0;
    }
    EXPECT_LT(static_cast<double>(bad), 0.1 * static_cast<double>(network.dispatched));
    EXPECT_GT(network.state.counters.ejections, 0U);
    SCOPED_TRACE("when they recover, then probes readmit them and they get work again");
    received.clear();
    for (int step = 0; step < 12000; ++step) {
        network.submit("once", 0, 1000);
        for (const auto &[attempt, sent] : std::map(network.sent)) {
            ++received[sent.minion];
            network.respondOnOwnConnection(attempt);
        }
        network.advance(5);
        network.respondToProbes();
    }
    EXPECT_EQ(received.size(), 9U);
}

// Guards against work that is sent to a leaving minion after its mark, and against a mark that is
// never cleared when the minion is back.
TEST(MinionHealth, LeavingMinionGetsNothing)
{
    TestNetwork network(2);
    network.start();
    network.submit("once", 0, 500);
    const auto [attempt, sent] = *network.sent.begin();
    network.respondOnOwnConnection(attempt, ResponseKind::Ok, {1, 8, true});
    network.leaving.insert(sent.minion);
    for (int i = 0; i < 200; ++i) {
        network.submit("once", 0, 500);
        if (!network.sent.empty()) {
            network.respondOnOwnConnection(network.sent.begin()->first);
        }
        network.advance(10);
        network.respondToProbes();
    }
    EXPECT_EQ(network.violations, "");
    SCOPED_TRACE("when a new connection reports without the mark, then it gets work again");
    for (const auto &[connection, minion] : std::map(network.open)) {
        if (minion == sent.minion) {
            network.fail(connection, true);
        }
    }
    network.leaving.clear();
    for (int i = 0; i < 100; ++i) {
        network.advance(10);
        network.connectAll();
    }
    bool isBack = false;
    for (int i = 0; i < 16; ++i) {
        network.submit("once", 0, 500);
    }
    for (const auto &[number, other] : network.sent) {
        isBack = isBack || other.minion == sent.minion;
    }
    EXPECT_TRUE(isBack);
}

}  // namespace
}  // namespace poplarstream::traffic
