#include "poplarstream/traffic/urgent_path.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include "test_network.hpp"  // for TestNetwork

namespace poplarstream::traffic {
namespace {

template <class Map>
auto anyOf(const Map &map, Random &random)
{
    return std::next(map.begin(), static_cast<std::ptrdiff_t>(random.below(map.size())));
}

// Applies random settings: number of peers, a tenant weight, the zone of a minion, and sometimes
// the removal of a minion.
void reconfigure(TestNetwork &network, Random &random)
{
    auto &settings = network.settings;
    settings.livePeers = static_cast<std::uint32_t>(8 + random.below(3));
    settings.tenants[random.below(4)].weight = static_cast<double>(random.below(5));
    if (settings.minions.size() > 3 && random.below(3) == 0) {
        network.leaving.insert(settings.minions.back().id);
        settings.minions.pop_back();
    }
    settings.minions[random.below(settings.minions.size())].zone =
            ZoneId(random.below(2) == 0 ? "a" : "b");
    configure(network.state, settings, network.now, network.actions);
    network.runActions();
}

// Generates one random event: a request, a response (on its own or another connection, of any
// kind), a broken connection, a probe, a leaving report, new settings, or the passing of time.
void runRandomEvent(TestNetwork &network, Random &random)
{
    const auto kind = [&] {
        const std::uint64_t draw = random.below(10);
        return draw < 7   ? ResponseKind::Ok
               : draw < 9 ? ResponseKind::Refused
                          : ResponseKind::Failed;
    };
    switch (random.below(12)) {
    case 0:
    case 1:
    case 2:
    case 3:
        network.submit(random.below(2) == 0 ? "once" : "again", random.below(4),
                       static_cast<int>(10 + random.below(400)));
        break;
    case 4:
    case 5:
        if (!network.sent.empty()) {
            network.respondOnOwnConnection(anyOf(network.sent, random)->first, kind());
        }
        break;
    case 6:
        if (!network.sent.empty()) {
            const auto attempt = anyOf(network.sent, random)->first;
            network.respond(attempt, anyOf(network.sent, random)->second.connection, kind());
        }
        break;
    case 7:
        if (!network.open.empty()) {
            network.fail(anyOf(network.open, random)->first, random.below(2) == 0);
        }
        break;
    case 8:
    case 9:
        network.connectAll();
        break;
    case 10:
        if (random.below(40) == 0) {
            const MinionId minion("m" + std::to_string(random.below(6)));
            onLeaving(network.state, minion, true);
            network.leaving.insert(minion);
        } else if (random.below(20) == 0) {
            reconfigure(network, random);
        }
        break;
    default:
        network.advance(static_cast<int>(random.below(60)));
    }
}

// Guards against a second result for a caller, a response to another caller, a false "not run",
// requests that may run twice, and requests to leaving minions or after the deadline, under any
// order of lost, swapped, late and repeated responses and broken connections.
TEST(UrgentPath, GuaranteesUnderRandomEvents)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        TestNetwork network(6, 4);
        network.settings.livePeers = 8;
        network.start();
        for (int step = 0; step < 600; ++step) {
            runRandomEvent(network, random);
            for (const MinionView &view : minionViews(network.state)) {
                ASSERT_LE(view.inFlight, 8U)
                        << "one eighth of 64 connections, for one of eight peers";
            }
        }
        for (int i = 0; i < 200; ++i) {
            network.advance(10);
        }
        ASSERT_EQ(network.violations, "");
        for (const auto &[request, deadline] : network.deadlines) {
            ASSERT_EQ(network.completions[request], 1);
        }
        ASSERT_TRUE(isIdle(network.state));
        for (const MinionView &view : minionViews(network.state)) {
            ASSERT_EQ(view.inFlight, 0U);
        }
    }
}

// Guards against a request ended by a response with an invalid id or one of an earlier incarnation.
TEST(UrgentPath, UnknownResponsesAreDropped)
{
    const auto texts = [](const std::string &own) {
        return std::vector<std::string>{"",        "-",      "abc-", "abd" + own.substr(3),
                                        own + "0", own + " "};
    };
    for (std::size_t i = 0; i < 6; ++i) {
        TestNetwork network(1);
        network.start();
        const RequestNumber request = network.submit("once", 0, 500);
        ASSERT_EQ(network.sent.size(), 1U);
        const auto [attempt, sent] = *network.sent.begin();
        const std::string text = texts(formatAttemptId(network.state, attempt))[i];
        SCOPED_TRACE("given a response to \"" + text + "\"");
        onResponse(network.state, sent.connection, {text, ResponseKind::Ok, {}}, network.now,
                   network.actions);
        network.runActions();
        EXPECT_EQ(network.completions[request], 0);
        SCOPED_TRACE("then the request ends at the deadline with the correct verdict");
        network.advance(500);
        ASSERT_EQ(network.finished.size(), 1U);
        EXPECT_EQ(network.finished[0].verdict, Verdict::MayHaveRun);
    }
}

// Guards against a queue that hides overload: a request that cannot meet its deadline must be
// refused immediately, with a retry time.
TEST(UrgentPath, RefusesRequestsThatWouldMissTheDeadline)
{
    TestNetwork network(1);
    network.start();
    for (int i = 0; i < 400; ++i) {
        network.submit("once", 0, 200);
    }
    ASSERT_FALSE(network.finished.empty());
    EXPECT_EQ(network.finished[0].verdict, Verdict::NotRun);
    EXPECT_EQ(network.finished[0].reason, Reason::DeadlineTooClose);
    EXPECT_GT(network.finished[0].retryAfter, Milliseconds{0});
    network.connectAll();
    EXPECT_EQ(network.dispatched, 8U)
            << "the limit of a new minion is its slots divided by the peers";
}

// Guards against a shutdown that interrupts requests in flight or keeps queued ones waiting.
TEST(UrgentPath, ShutdownCompletesRequestsInFlight)
{
    TestNetwork network(1);
    network.settings.livePeers = 8;
    network.start();
    const RequestNumber running = network.submit("once", 0, 500);
    const RequestNumber queued = network.submit("once", 0, 500);
    stopAdmitting(network.state, network.now, network.actions);
    network.runActions();
    EXPECT_EQ(network.completions[queued], 1);
    EXPECT_EQ(network.completions[running], 0);
    const RequestNumber late = network.submit("once", 0, 500);
    EXPECT_EQ(network.completions[late], 1);
    EXPECT_FALSE(isIdle(network.state));
    network.respondOnOwnConnection(network.sent.begin()->first);
    EXPECT_EQ(network.completions[running], 1);
    EXPECT_TRUE(isIdle(network.state));
    EXPECT_EQ(network.violations, "");
}

// Guards against a tenant exceeding its quota, and against a quota multiplied by the number of
// entry hosts.
TEST(UrgentPath, QuotaIsDividedByPeers)
{
    TestNetwork network(4);
    network.settings.tenants[0].quota = 40;
    network.settings.livePeers = 4;
    network.start();
    std::uint64_t admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto before = network.finished.size();
        network.submit("once", 0, 5000);
        admitted += network.finished.size() == before ? 1 : 0;
        while (!network.sent.empty()) {
            network.respondOnOwnConnection(network.sent.begin()->first);
        }
        network.advance(10);
        network.connectAll();
    }
    EXPECT_GE(admitted, 98U);
    EXPECT_LE(admitted, 100U + 13U) << "10 s at 10 requests per second, plus the burst";
}

// Guards against retry amplification when a zone fails: every attempt fails after its bytes were
// sent.
TEST(UrgentPath, RetryBudgetHoldsUnderTotalFailure)
{
    TestNetwork network(6);
    network.start();
    for (int step = 0; step < 3000; ++step) {
        network.submit("again", static_cast<std::size_t>(step % 4), 2000);
        for (const auto &[attempt, sent] : std::map(network.sent)) {
            if (step % 2 == 0 && network.sent.contains(attempt)) {
                network.fail(sent.connection, true);
            } else if (network.sent.contains(attempt)) {
                network.respondOnOwnConnection(attempt, ResponseKind::Refused);
            }
        }
        network.connectAll();
        network.advance(50);
    }
    EXPECT_EQ(network.violations, "");
    EXPECT_GT(network.state.counters.retried, 20U);
    EXPECT_GT(network.dispatchedRequests.size(), 500U)
            << "enough requests must have been sent to make the ratio meaningful";
    EXPECT_LE(static_cast<double>(network.dispatched),
              1.1 * static_cast<double>(network.dispatchedRequests.size()));
}

}  // namespace
}  // namespace poplarstream::traffic
