#include "poplarstream/edge/leadership_controller.hpp"

#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string

#include <gtest/gtest.h>  // for TEST, EXPECT_TRUE

#include "poplarstream/edge/store_fixture.hpp"  // for Store

namespace poplarstream::edge {
namespace {

using test::pollTime;
using test::Store;

// Only a fault lets a test wait this long, however busy the machine is.
constexpr Milliseconds maxClaimTime{30'000};

// A process that competes for the only shard of a deployment.
struct Candidate
{
    Candidate(Store &store, const std::string &name, const std::string &incarnation)
        : runtime{store.io, {}, store.port(), {}, {}, {}, {}}
    {
        runtime.settings.name = EntryHostId(name);
        runtime.settings.incarnation = incarnation;
        controller.emplace(runtime, 0, LeadershipEvents{[] {}, [](int) {}, [] { return 1.0; }});
    }

    bool isOwner() const { return ownership::isOwner(controller->leadership()); }

    Runtime runtime;
    std::optional<LeadershipController> controller;
};

// Runs the processes of a store; false if that takes too long.
bool runUntil(Store &store, const std::function<bool()> &isReached)
{
    for (const TimePoint end = steadyNow() + maxClaimTime; steadyNow() < end;) {
        store.io.run_for(std::chrono::milliseconds(pollTime.count()));
        store.io.restart();
        if (isReached()) {
            return true;
        }
    }
    return false;
}

// Guards against tasks that run twice: two processes that start together may have the same
// incarnation. A successor that takes its predecessor's records for its own does not wait for the
// leases that the predecessor may still renew.
TEST(Takeover, PredecessorWithTheSameIncarnationIsSeen)
{
    SCOPED_TRACE("given an owner and a candidate that have started in the same millisecond");
    boost::asio::io_context io;
    Store store{io, {}};
    std::optional<Candidate> owner;
    owner.emplace(store, "edge-a", "1");
    ASSERT_TRUE(runUntil(store, [&owner] { return owner->isOwner(); }));
    Candidate successor(store, "edge-b", "1");
    {
        SCOPED_TRACE("when the owner is cut off, so that the candidate takes over");
        owner.reset();
        ASSERT_TRUE(runUntil(store, [&successor] { return successor.isOwner(); }));
        {
            SCOPED_TRACE("then it knows of a predecessor that has not resigned");
            const ownership::EarlierOwners &earlier = successor.controller->leadership().earlier;
            ASSERT_TRUE(earlier.predecessor);
            EXPECT_EQ(earlier.predecessor->owner, EntryHostId("edge-a"));
            EXPECT_NE(earlier.predecessor->kind, ownership::OwnershipRecord::Kind::Resignation);
            {
                SCOPED_TRACE(
                        "and waits for what it may have renewed until its progress was fenced");
                const TimePoint fencedAt = steadyNow();
                const Milliseconds grace{8000};
                EXPECT_EQ(ownership::earlierRenewalsUntil(earlier, fencedAt, grace),
                          fencedAt + grace);
            }
        }
    }
}

}  // namespace
}  // namespace poplarstream::edge
