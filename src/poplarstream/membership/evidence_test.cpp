#include "poplarstream/membership/evidence.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <rapidcheck.h>  // for rc::check

#include <algorithm>  // for count

#include "poplarstream/membership/evidence_queries.hpp"  // for assessUsability

namespace poplarstream::membership {
namespace {

EvidenceTable tableOf(const std::string &self)
{
    EvidenceTable table;
    table.self = self;
    return table;
}

TimePoint at(int seconds)
{
    return timePoint(1'000'000) + std::chrono::seconds(seconds);
}

const std::vector<std::string> service = {"m0", "m1", "m2", "m3", "m4", "m5"};

// Guards against new work for a leaving endpoint, after a response that was in flight when it began
// to leave, or because the platform's list still shows it as live.
TEST(Evidence, LeavingMarkHolds)
{
    EvidenceTable table = tableOf("e0");
    recordPlatformState(table, "m0", false, at(0));
    recordResponse(table, "m0", true, at(10));
    recordResponse(table, "m0", false, at(11));
    recordPlatformState(table, "m0", false, at(12));
    EXPECT_EQ(assessUsability(table, service, at(12))[0], Usability::Leaving);
    SCOPED_TRACE("when it responds later without the mark, then it is usable again");
    recordResponse(table, "m0", false, at(20));
    EXPECT_EQ(assessUsability(table, service, at(20))[0], Usability::Usable);
}

// Guards against the lagging platform list overriding more recent evidence.
TEST(Evidence, MostRecentEvidenceWins)
{
    EvidenceTable table = tableOf("e0");
    recordPlatformState(table, "m0", false, at(0));
    recordFailure(table, "m0", Claim::Refused, at(1));
    EXPECT_EQ(assessUsability(table, service, at(2))[0], Usability::Down);
    recordResponse(table, "m0", false, at(3));
    EXPECT_EQ(assessUsability(table, service, at(3))[0], Usability::Usable);
    recordPlatformState(table, "m0", true, at(4));
    EXPECT_EQ(assessUsability(table, service, at(4))[0], Usability::Leaving);
    recordResponse(table, "m0", false, at(10));
    EXPECT_EQ(assessUsability(table, service, at(10))[0], Usability::Usable);
}

// Guards against a peer with a broken link whose refused connections override own responses.
TEST(Evidence, OwnReachabilityBeforeGossip)
{
    EvidenceTable table = tableOf("e0");
    recordResponse(table, "m0", false, at(10));
    recordGossipUpdate(table, {"m0", Claim::Refused, 0, "e1"}, Channel::Heartbeat, at(12));
    EXPECT_EQ(assessUsability(table, service, at(12))[0], Usability::Usable);
    EXPECT_EQ(assessUsability(table, service, at(20))[0], Usability::Down);
}

// Guards against a single observer that takes a whole service out of use.
TEST(Evidence, OneObserverIsCapped)
{
    EXPECT_TRUE(rc::check(
            "at least two thirds of the endpoints, and at least one, stay in use",
            [](std::vector<std::uint8_t> claims) {
                EvidenceTable table = tableOf("e0");
                const auto size = *rc::gen::inRange<std::size_t>(1, 12);
                std::vector<std::string> names;
                for (std::size_t i = 0; i < size; ++i) {
                    names.push_back("m" + std::to_string(i));
                }
                for (const std::uint8_t claim : claims) {
                    recordGossipUpdate(
                            table, {names[claim % size], static_cast<Claim>(claim / 64), 1, "liar"},
                            Channel::Heartbeat, at(claim % 5));
                }
                const auto verdicts = assessUsability(table, names, at(5));
                const auto kept =
                        std::count(verdicts.begin(), verdicts.end(), Usability::Usable)
                        + std::count(verdicts.begin(), verdicts.end(), Usability::Doubtful);
                RC_ASSERT(kept >= 1);
                RC_ASSERT(size < 3 || 3 * static_cast<std::size_t>(kept) >= 2 * size);
            }));
    SCOPED_TRACE("given a second observer, then all endpoints are down");
    EvidenceTable table = tableOf("e0");
    for (const std::string &name : service) {
        recordGossipUpdate(table, {name, Claim::Refused, 0, "e1"}, Channel::Heartbeat, at(0));
        recordGossipUpdate(table, {name, Claim::Refused, 0, "e2"}, Channel::Heartbeat, at(0));
    }
    const auto verdicts = assessUsability(table, service, at(1));
    EXPECT_EQ(std::count(verdicts.begin(), verdicts.end(), Usability::Down), 6);
}

// Guards against evidence that reaches the other entry hosts of the zone late: when a rack with 12
// endpoints leaves at once, all must know within 2 s.
TEST(Evidence, GossipOfARackIsSentWithinTwoSeconds)
{
    EvidenceTable sender = tableOf("e0");
    EvidenceTable receiver = tableOf("e1");
    std::vector<std::string> rack;
    for (int i = 0; i < 12; ++i) {
        rack.push_back("m" + std::to_string(i));
        recordResponse(sender, rack.back(), true, at(0));
    }
    for (int second = 1; second <= 2; ++second) {
        for (const GossipUpdate &update :
             collectGossipUpdates(sender, Channel::Heartbeat, at(second))) {
            recordGossipUpdate(receiver, update, Channel::Heartbeat, at(second));
        }
    }
    EXPECT_EQ(receiver.subjects.size(), 12);
    SCOPED_TRACE("then the receiver forwards it to other zones but not to its own zone");
    EXPECT_TRUE(collectGossipUpdates(receiver, Channel::Heartbeat, at(2)).empty());
    EXPECT_EQ(collectGossipUpdates(receiver, Channel::Digest, at(2)).size(), maxGossipUpdates);
}

}  // namespace
}  // namespace poplarstream::membership
