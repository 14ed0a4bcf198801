#include "poplarstream/accounts/loans.hpp"

#include <gtest/gtest.h>  // for TEST
#include <rapidcheck.h>  // for check

#include "poplarstream/accounts/loan_world.hpp"  // for World

namespace poplarstream::accounts {
namespace {

using test::account;
using test::Owner;
using test::Shard;
using test::World;

constexpr std::uint64_t seeds = 4'000;
constexpr int stepsPerSeed = 400;

// One thing that happens to one owner or message.
void step(World &world)
{
    const int index = world.below(world.shards.size());
    Shard &shard = world.shards[static_cast<std::size_t>(index)];
    // Now and then one that was superseded and has not noticed.
    Owner &owner = world.below(6) == 0 ? shard.owners[world.random.below(shard.owners.size())]
                                       : shard.present();
    world.now += Milliseconds{world.below(120)};
    const int kind = world.below(100);
    if (kind < 30) {
        const jobs::Resources widest = world.randomAmount({60, 20, 2});
        jobs::Resources total = world.below(2) == 0 ? jobs::Resources{} : widest;
        total += widest;
        world.tick(owner, world.below(3) == 0 ? WaitingWork{} : WaitingWork{total, widest});
    } else if (kind < 60 && !world.messages.empty()) {
        const auto place = world.messages.begin() + world.below(world.messages.size());
        const test::Message message = *place;
        if (world.below(8) != 0) {
            world.messages.erase(place);
        }
        if (world.below(8) != 0) {
            world.deliver(message);
        }
    } else if (kind < 75) {
        world.storeNext(index);
    } else if (kind < 84) {
        world.start(owner);
    } else if (kind < 92) {
        world.endRuns(index, world.randomAmount({100, 40, 3}));
    } else if (kind < 94) {
        world.takeOver(index);
    } else if (kind < 96) {
        world.abandonAll(owner);
    } else if (kind < 99) {
        owner.book.limits[account] = world.cap;
    } else {
        world.cap = world.randomCap();
        for (const auto field : resourceFields) {
            world.bound.*field = std::max(world.bound.*field, world.cap.*field);
        }
    }
}

// Runs the owners for one period without any trouble; `waiting` is the work at each.
void quietPeriod(World &world, const std::vector<WaitingWork> &waiting)
{
    world.now += requestPause;
    for (std::size_t index = 0; index < world.shards.size(); ++index) {
        world.tick(world.shards[index].present(), waiting[index]);
    }
    while (!world.messages.empty()) {
        const test::Message message = world.messages.front();
        world.messages.erase(world.messages.begin());
        world.deliver(message);
        for (std::size_t index = 0; index < world.shards.size(); ++index) {
            while (world.shards[index].present().hasWrites()) {
                world.storeNext(static_cast<int>(index));
            }
        }
    }
}

// Ends all runs, superseded owners and messages under way.
void endTrouble(World &world)
{
    world.messages.clear();
    for (std::size_t index = 0; index < world.shards.size(); ++index) {
        Shard &shard = world.shards[index];
        shard.owners.erase(shard.owners.begin(), shard.owners.end() - 1);
        Owner &owner = shard.present();
        while (owner.hasWrites()) {
            world.storeNext(static_cast<int>(index));
        }
        owner.book.limits[account] = world.cap;
        owner.book.use[account] = {};
        shard.runs = {};
        world.abandonAll(owner);
    }
    world.messages.clear();
}

// Guards against an account that passes its cap because two owners count the same part of it as
// theirs: after lost, repeated and late messages, takeovers at any moment, changes of the cap, and
// with superseded owners that go on. Also guards against parts that nobody uses although an owner
// needs them, once the network is quiet.
TEST(Loans, NoPartIsUsedTwice)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("given owners and faults with seed " + std::to_string(seed));
        World world(seed);
        for (int i = 0; i < stepsPerSeed; ++i) {
            step(world);
            ASSERT_TRUE(world.isWithinBound()) << "after step " << i;
        }
        SCOPED_TRACE("when the network is quiet and all runs have ended");
        endTrouble(world);
        constexpr int periods = 60;
        std::vector<WaitingWork> waiting(world.shards.size());
        for (int i = 0; i < periods; ++i) {
            quietPeriod(world, waiting);
            ASSERT_TRUE(world.isWithinBound()) << "after idle period " << i;
        }
        EXPECT_TRUE(world.isSettled()) << "the cap in force is not the bound";
        SCOPED_TRACE("and one owner alone has work");
        const std::size_t needy = world.random.below(world.shards.size());
        waiting[needy] = {{1000, 1000, 10}, {1, 1, 1}};
        for (int i = 0; i < periods; ++i) {
            World::startUpTo(world.shards[needy].present(), {1000, 1000, 10});
            quietPeriod(world, waiting);
            ASSERT_TRUE(world.isWithinBound()) << "after busy period " << i;
        }
        {
            SCOPED_TRACE("then it has all of the cap but what is too little to pass on");
            const LoanBook &book = world.shards[needy].present().book;
            jobs::Resources limit = limitOf(book, account);
            for (std::size_t others = 1; others < world.shards.size(); ++others) {
                limit += chunkOf(book, account);
            }
            ASSERT_TRUE(world.cap.cpuMilli <= limit.cpuMilli
                        && world.cap.memoryMb <= limit.memoryMb)
                    << limit.cpuMilli << " " << limit.memoryMb;
        }
    }
}

// Guards against a part that two owners use after a takeover of the lender: the record of its
// return may be lost while starts that rest on the return are stored.
TEST(Loans, ReturnIsUsedOnceItIsStored)
{
    SCOPED_TRACE("given an owner that has lent 3 of its 8");
    LoanBook lender = makeLoanBook(0, 2, 1);
    lender.limits[account] = limitsOf({16, 0, 0});
    const jobs::Resources amount{3, 0, 0};
    adoptLoans(lender, account, {{1, {amount, amount, {1, 1}}}});
    LoanRequest request;
    request.borrower = 1;
    request.id = {1, 2};
    request.kept[account] = {};
    const HandledRequest handled = handleRequest(lender, request, timePoint(0));
    {
        SCOPED_TRACE("when it is given back, then nothing more may start before that is stored");
        ASSERT_EQ(handled.changes.size(), 1U);
        EXPECT_EQ(limitOf(lender, account).cpuMilli, 5);
    }
    {
        SCOPED_TRACE("and after that it may");
        markStored(lender, handled.changes[0]);
        EXPECT_EQ(limitOf(lender, account).cpuMilli, 8);
    }
}

// Guards against an owner that keeps the whole cap for a task that no worker has room for, while
// the account's narrow tasks at another owner wait.
TEST(Loans, TaskWiderThanTheCapKeepsNoNarrowOneWaiting)
{
    SCOPED_TRACE("given a cap of 160, a task of 200 at one owner that is not started, and later");
    World world(1, 2, limitsOf({160, 0, 0}));
    const jobs::Resources wide{200, 0, 0};
    const jobs::Resources narrow{2, 0, 0};
    std::vector<WaitingWork> waiting{{wide, wide}, {}};
    constexpr int periods = 20;
    for (int i = 0; i < periods; ++i) {
        quietPeriod(world, waiting);
    }
    EXPECT_EQ(limitOf(world.shards[0].present().book, account).cpuMilli, 160);
    {
        SCOPED_TRACE("when a narrow task waits at the other, then there is room for it soon");
        waiting[1] = {narrow, narrow};
        bool hasRoom = false;
        for (int i = 0; i < periods && !hasRoom; ++i) {
            quietPeriod(world, waiting);
            hasRoom = narrow.fits(limitOf(world.shards[1].present().book, account));
        }
        EXPECT_TRUE(hasRoom);
    }
}

// Guards against a borrower that drops all responses of a lender because one record of the lender's
// loans cannot be read: without the account, the response looks like that of a superseded owner.
TEST(Loans, UnreadableRecordKeepsNoOtherLoanBack)
{
    SCOPED_TRACE("given a lender that cannot read what it has lent of one account");
    const AccountId other("b");
    LoanBook lender = makeLoanBook(0, 2, 1);
    LoanBook borrower = makeLoanBook(1, 2, 1);
    for (const AccountId &each : {account, other}) {
        lender.limits[each] = limitsOf({16, 0, 0});
        borrower.limits[each] = limitsOf({16, 0, 0});
    }
    lender.unreadable.insert(account);
    borrower.lenders.at(0).held[account] = {3, 0, 0};
    borrower.waiting[other] = {{12, 0, 0}, {12, 0, 0}};
    const auto requests = beginRequests(borrower, timePoint(1000));
    ASSERT_EQ(requests.size(), 1U);
    {
        SCOPED_TRACE("when another account is borrowed, then the borrower has it");
        const HandledRequest handled = handleRequest(lender, requests[0].second, timePoint(1000));
        ASSERT_TRUE(handled.response);
        EXPECT_TRUE(handleResponse(borrower, 0, *handled.response, timePoint(1000)));
        EXPECT_GE(limitOf(borrower, other).cpuMilli, 12);
    }
    {
        SCOPED_TRACE("and of the first it holds as much as before, which the lender does not use");
        EXPECT_EQ(limitOf(borrower, account).cpuMilli, 11);
        EXPECT_EQ(limitOf(lender, account).cpuMilli, 0);
    }
}

// Guards against owners that wait for each other's parts for ever, because each has a task that is
// wider than its part.
TEST(Loans, WideTasksOfTwoOwnersTakeTurns)
{
    SCOPED_TRACE("given a cap of 16 that two owners divide, and a task of 12 at each");
    World world(1, 2, limitsOf({16, 0, 0}));
    const jobs::Resources wide{12, 0, 0};
    std::vector<WaitingWork> waiting(2, {wide, wide});
    constexpr int periods = 20;
    std::vector<int> order;
    for (int i = 0; i < periods; ++i) {
        quietPeriod(world, waiting);
        ASSERT_TRUE(world.isWithinBound()) << "after period " << i;
        for (int index = 0; index < 2; ++index) {
            Owner &owner = world.shards[static_cast<std::size_t>(index)].present();
            if (!waiting[static_cast<std::size_t>(index)].total.fits({})
                && wide.fits(limitOf(owner.book, account))) {
                order.push_back(index);
                waiting[static_cast<std::size_t>(index)] = {};
            }
        }
    }
    {
        SCOPED_TRACE("then one after the other gets room for it");
        EXPECT_EQ(order, (std::vector<int>{0, 1}));
    }
}

}  // namespace
}  // namespace poplarstream::accounts
