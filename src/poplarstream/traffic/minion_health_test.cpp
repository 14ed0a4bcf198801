#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "test_network.hpp"  // for TestNetwork

namespace poplarstream::traffic {
namespace {

// Guards against requests lost on unresponsive connections: new connections must be opened, probed
// and used within 2 s while the old ones stay unresponsive.
TEST(MinionHealth, AllConnectionsUnresponsive)
{
    TestNetwork network(3);
    network.start();
    for (int i = 0; i < 6; ++i) {
        network.submit("once", 0, 3000);
    }
    SCOPED_TRACE("when all open connections become unresponsive");
    std::set<ConnectionNumber> unresponsive;
    for (const auto &[connection, minion] : network.open) {
        unresponsive.insert(connection);
    }
    const auto respondOnNewConnections = [&] {
        for (const auto &[attempt, sent] : std::map(network.sent)) {
            if (!unresponsive.contains(sent.connection)) {
                network.respondOnOwnConnection(attempt);
            }
        }
    };
    for (int step = 0; step < 200; ++step) {
        network.submit("once", 1, 3000);
        network.advance(10);
        for (const ConnectionNumber connection : unresponsive) {
            network.probing.erase(connection);
        }
        network.connectAll();
        respondOnNewConnections();
    }
    SCOPED_TRACE("then no request is sent on them after 2 s");
    std::size_t sentOnUnresponsive = 0;
    const auto countUnresponsive = [&] {
        sentOnUnresponsive = 0;
        for (const auto &[attempt, sent] : network.sent) {
            sentOnUnresponsive += unresponsive.contains(sent.connection) ? 1 : 0;
        }
    };
    countUnresponsive();
    const std::size_t before = sentOnUnresponsive;
    for (int i = 0; i < 20; ++i) {
        network.submit("once", 1, 3000);
        respondOnNewConnections();
    }
    countUnresponsive();
    EXPECT_EQ(sentOnUnresponsive, before);
    EXPECT_EQ(network.completions.size(), network.deadlines.size());
    EXPECT_EQ(network.violations, "");
}

// Guards against a request lost because all idle connections are unresponsive: probes must detect
// this before the request arrives, and new connections must be ready.
TEST(MinionHealth, IdleConnectionsUnresponsive)
{
    TestNetwork network(3);
    network.start();
    const auto unresponsive = network.open;
    for (int step = 0; step < 200; ++step) {
        network.advance(10);
        for (const auto &[connection, minion] : unresponsive) {
            network.probing.erase(connection);
        }
        network.connectAll();
    }
    for (int i = 0; i < 3; ++i) {
        network.submit("once", 0, 500);
    }
    EXPECT_EQ(network.sent.size(), 3U);
    for (const auto &[attempt, sent] : network.sent) {
        EXPECT_FALSE(unresponsive.contains(sent.connection));
    }
}

// Guards against a minion that fails immediately and therefore always appears idle, and against
// ejecting more minions than allowed.
TEST(MinionHealth, FailingMinionsGetFewRequests)
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
        ASSERT_LE(ejected, 3U) << "a third of nine minions";
    }
    std::uint64_t bad = 0;
    for (const auto &[minion, count] : received) {
        bad += isBad(minion) ? count : 0;
    }
    EXPECT_LT(static_cast<double>(bad), 0.1 * static_cast<double>(network.dispatched));
    EXPECT_GT(network.state.counters.ejections, 0U);
    SCOPED_TRACE("when they recover, then probes readmit them and they get requests again");
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

// Guards against requests to a minion that reports it is leaving, and against a leaving state that
// is not cleared when the minion is back.
TEST(MinionHealth, LeavingMinionGetsNoRequests)
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
    SCOPED_TRACE("when a new connection no longer reports leaving, then it gets requests again");
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
