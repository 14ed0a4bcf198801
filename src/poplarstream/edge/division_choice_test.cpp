#include "poplarstream/edge/division_choice.hpp"

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::edge {
namespace {

constexpr int partitions = 4;
constexpr int machinesPerPage = 500;

// What a process finds when it owns the first shard of a deployment that nobody has divided.
struct Found
{
    std::vector<StoredRecord> progress;
    int workers = 0;
    int machines = 0;
    bool hasMachineList = true;
};

NewestOutcome workerPage(int workers, const std::string &afterKey)
{
    NewestOutcome outcome;
    outcome.isRead = true;
    for (int i = 0; i < workers; ++i) {
        const std::string key = fmt::format("w-{:05}", i);
        if (key > afterKey && outcome.records.size() < machinesPerPage) {
            outcome.records.push_back({key, "{}", i});
        }
    }
    outcome.hasMore = !outcome.records.empty()
                      && outcome.records.back().key != fmt::format("w-{:05}", workers - 1);
    return outcome;
}

MachinePage machinePage(int machines, int first)
{
    MachinePage page;
    page.isRead = true;
    for (int i = first; i < std::min(machines, first + machinesPerPage); ++i) {
        pools::Machine machine;
        machine.id = pools::MachineId(fmt::format("m-{}", i));
        page.machines.push_back(machine);
    }
    page.nextPage = first + machinesPerPage < machines ? fmt::to_string(first + machinesPerPage)
                                                       : std::string();
    return page;
}

// The number of shards that is chosen; 0 if none is.
int chosenFor(const Found &found)
{
    boost::asio::io_context io;
    Runtime runtime{io, {}, {}, {}, {}, {}, {}};
    runtime.settings.jobPartitions = partitions;
    runtime.settings.machines.port = found.hasMachineList ? 1 : 0;
    runtime.store.newest = [&found](Log log, int, const std::string &afterKey, const auto &done) {
        NewestOutcome progress;
        progress.isRead = true;
        progress.records = found.progress;
        done(log == Log::Progress ? progress : workerPage(found.workers, afterKey));
    };
    runtime.machines.list = [&found](const std::string &page, const auto &done) {
        done(machinePage(found.machines, page.empty() ? 0 : std::stoi(page)));
    };
    int chosen = 0;
    const DivisionChoice choice(runtime, [&chosen](int count) { chosen = count; });
    io.run();
    return chosen;
}

// Guards against a large deployment with one owner because only a page of its machines was counted.
TEST(DivisionChoice, AllMachinesAreCounted)
{
    Found found;
    found.machines = 1100;
    EXPECT_EQ(chosenFor(found), 4);
    found.machines = 30;
    EXPECT_EQ(chosenFor(found), 1);
}

// Guards against a deployment that is never divided, so that nothing runs, since it has no list of
// machines.
TEST(DivisionChoice, WorkersAreCountedWithoutMachineList)
{
    Found found;
    found.hasMachineList = false;
    found.workers = 700;
    EXPECT_EQ(chosenFor(found), 2);
}

// Guards against jobs that run twice after an upgrade: their progress is where one owner stored it.
TEST(DivisionChoice, ProgressOfAnEarlierVersionKeepsOneShard)
{
    Found found;
    found.machines = 1100;
    found.progress = {{"00000000000000a1", "{}", 0}};
    EXPECT_EQ(chosenFor(found), 1);
}

}  // namespace
}  // namespace poplarstream::edge
