#include "poplarstream/edge/machine_controller.hpp"

#include <functional>  // for function
#include <vector>  // for vector

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/edge/store_fixture.hpp"  // for Store

namespace poplarstream::edge {
namespace {

using pools::CommandResult;
using pools::MachineCommand;
using test::pollTime;
using test::Store;

// Only a fault lets a test wait this long, however busy the machine is.
constexpr Milliseconds maxWait{30'000};
constexpr int machineCount = 6;

// A command that was handed to the platform's port.
struct HandedCommand
{
    MachineCommand command;
    std::function<bool()> mayWrite;
    std::function<void(CommandResult)> done;
};

// The owner of a shard with six idle machines, all of which are due for maintenance at once.
struct Owner
{
    Owner()
        : runtime{io, {}, store.port(), {}, {}, {}, {}}
    {
        runtime.settings.name = EntryHostId("edge-1");
        runtime.settings.machines.port = 1;
        runtime.decode.waveStatus = [](const pools::Wave &, bool) { return StoredRecord{}; };
        runtime.machines.list = [this](const std::string &, auto done) {
            store.respond<MachinePage>(std::move(done), [] {
                MachinePage page;
                page.isRead = true;
                for (const pools::MachineId &id : machineIds()) {
                    pools::Machine &machine = page.machines.emplace_back();
                    machine.id = id;
                    machine.pool = ServiceId("shop");
                    machine.state = pools::MachineState::Up;
                }
                return page;
            });
        };
        runtime.machines.command = [this](const MachineCommand &command, auto mayWrite, auto done) {
            handed.push_back({command, std::move(mayWrite), std::move(done)});
            isPermitted = !isPausedInBatch || batch == 1;
        };
        MachineControllerHooks hooks;
        hooks.mayIssueCommands = [this] { return isPermitted; };
        hooks.confirmedAt = [this] { return confirmedAt; };
        hooks.confirm = [this](const std::vector<std::string> &ids,
                               std::function<void(bool)> done) {
            batch = ids.size();
            confirmedAt = steadyNow();
            callAfter(runtime, Milliseconds{0}, [done = std::move(done)] { done(true); });
        };
        hooks.hasCarriedOut = [](int, std::int64_t) { return false; };
        hooks.carriedOut = [](std::int64_t) {};
        controller.emplace(runtime, ownership::Shard{0, 1}, engine, 3, std::move(hooks));
        controller->applyWave({1, machineIds(), Milliseconds{10'000}, machineCount});
        controller->start({});
    }

    static std::vector<pools::MachineId> machineIds()
    {
        std::vector<pools::MachineId> ids;
        for (int i = 0; i < machineCount; ++i) {
            ids.emplace_back("m-" + std::to_string(i));
        }
        return ids;
    }

    bool runUntil(const std::function<bool()> &isReached)
    {
        for (const TimePoint end = steadyNow() + maxWait; steadyNow() < end;) {
            io.run_for(std::chrono::milliseconds(pollTime.count()));
            io.restart();
            if (isReached()) {
                return true;
            }
        }
        return false;
    }

    bool isWithheld(std::size_t commands) const
    {
        return controller->metrics().find("withheld_total{shard=\"0\"} " + std::to_string(commands)
                                          + "\n")
               != std::string::npos;
    }

    boost::asio::io_context io;
    Store store{io, {}};
    Runtime runtime;
    engine::Engine engine;
    std::vector<HandedCommand> handed;
    std::size_t batch = 0;  // commands of the last one
    bool isPausedInBatch = false;  // the permission runs out after the first of several commands
    bool isPermitted = true;
    TimePoint confirmedAt{};
    std::optional<MachineController> controller;
};

// Guards against an owner that is paused in the middle of a batch of commands and sends the rest
// after its successor's.
TEST(MachineController, PermissionIsAskedForEachCommandOfABatch)
{
    SCOPED_TRACE("given an owner whose permission runs out after the first command of a batch");
    Owner owner;
    owner.isPausedInBatch = true;
    ASSERT_TRUE(owner.runUntil([&owner] { return !owner.isPermitted; }));
    ASSERT_GT(owner.batch, 1U);
    {
        SCOPED_TRACE("then the other commands are not sent, and are counted");
        const std::size_t sent = owner.handed.size();
        EXPECT_TRUE(owner.runUntil([&owner] { return owner.isWithheld(owner.batch - 1); }));
        EXPECT_EQ(owner.handed.size(), sent);
    }
    {
        SCOPED_TRACE("when it is permitted again, then they follow");
        owner.isPausedInBatch = false;
        owner.isPermitted = true;
        EXPECT_TRUE(owner.runUntil([&owner] { return owner.handed.size() == machineCount; }));
    }
}

// Guards against a command that waits for a connection while the permission of its owner runs out.
TEST(MachineController, PermissionIsAskedWhenACommandIsWritten)
{
    SCOPED_TRACE("given commands that wait for a connection");
    Owner owner;
    ASSERT_TRUE(owner.runUntil([&owner] { return owner.handed.size() == machineCount; }));
    {
        SCOPED_TRACE("when a connection is free in time, then they may leave");
        EXPECT_TRUE(owner.handed[0].mayWrite());
        owner.handed[0].done(CommandResult::Done);
        EXPECT_TRUE(owner.isWithheld(0));
    }
    {
        SCOPED_TRACE("when the permission has run out, then they may not, and the log says so");
        owner.isPermitted = false;
        EXPECT_FALSE(owner.handed[1].mayWrite());
        ::testing::internal::CaptureStdout();
        owner.handed[1].done(CommandResult::NotDone);
        const std::string text = ::testing::internal::GetCapturedStdout();
        EXPECT_NE(text.find(" 720 machine-ordered machine=m-1 order=upkeep to=1 result=withheld "),
                  std::string::npos)
                << text;
        EXPECT_TRUE(owner.isWithheld(1));
    }
    {
        SCOPED_TRACE("when the owner is gone, then they may not either");
        owner.isPermitted = true;
        owner.controller.reset();
        EXPECT_FALSE(owner.handed[2].mayWrite());
    }
}

}  // namespace
}  // namespace poplarstream::edge
