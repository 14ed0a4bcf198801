#include <algorithm>  // for find_if, max
#include <cstdint>  // for uint64_t
#include <random>  // for mt19937_64, bernoulli_distribution, uniform_int_distribution
#include <set>  // for set
#include <string>  // for string

#include <fmt/format.h>  // for format
#include <gtest/gtest.h>  // for TEST, EXPECT_LE

#include "faulty_fleet.hpp"  // for FaultyFleet, Fate

namespace poplarstream::engine {
namespace {

using test::Fate;
using test::FaultyFleet;
using test::step;

constexpr int workerCount = 12;
constexpr int draws = 100;
constexpr int failuresToBeFound = 5;
constexpr Milliseconds warmUp{1500};
constexpr Milliseconds measured{4000};
constexpr Milliseconds arrivalInterval{100};
// Of any run, by its own fault.
constexpr double ordinaryFailures = 0.01;
constexpr double failuresOnBadWorker = 0.9;
constexpr const char *badWorker = "w1";

// What is drawn: queries of one queue that always fail, and a worker that fails most runs.
struct Trouble
{
    double failingQueries = 0;
    bool hasBadWorker = false;
};

// Sums over all draws.
struct Report
{
    int badWorkers = 0;
    int badFound = 0;  // within five failures
    int goodWorkers = 0;
    int goodSuspected = 0;
    std::size_t startsOnBad = 0;
    int soundJobs = 0;
    int soundJobsGivenUp = 0;
    double foundAfterMs = 0;  // from the first failure of each
};

std::string textOf(const Report &report)
{
    return fmt::format("bad workers found {} of {} after {:.0f} ms, good ones suspected {} of {}, "
                       "starts on bad ones {}, sound jobs given up {} of {}",
                       report.badFound, report.badWorkers,
                       report.foundAfterMs / std::max(report.badWorkers, 1), report.goodSuspected,
                       report.goodWorkers, report.startsOnBad, report.soundJobsGivenUp,
                       report.soundJobs);
}

// Takes note of how the bad worker was found, which fails since `since`.
void noteFinding(const FaultyFleet &fleet, TimePoint since, int failuresBefore, Report &report)
{
    ++report.badWorkers;
    const auto [first, last] = fleet.quarantines.equal_range(badWorker);
    const auto found = std::find_if(
            first, last, [since](const auto &entry) { return entry.second.at >= since; });
    if (found != last) {
        report.badFound += found->second.failures - failuresBefore <= failuresToBeFound ? 1 : 0;
        report.foundAfterMs += static_cast<double>((found->second.at - since).count());
    }
}

void draw(const Trouble &trouble, std::uint64_t seed, Report &report)
{
    std::mt19937_64 random(seed);
    const auto happens = [&random](double likelihood) {
        return std::bernoulli_distribution(likelihood)(random);
    };
    FaultyFleet fleet(workerCount);
    fleet.failTime = [&random] {
        return Milliseconds{std::uniform_int_distribution<int>(20, 150)(random)};
    };
    const TimePoint troubleAt = fleet.fixture.now + warmUp;
    std::set<JobId> failing;
    TimePoint firstBadFailure{};
    int failuresBefore = 0;  // of the bad worker, while it was sound
    fleet.fate = [&](const StartCommand &command, TimePoint now) {
        const bool isBad = trouble.hasBadWorker && now >= troubleAt
                           && command.target.worker.id == WorkerId(badWorker);
        report.startsOnBad += isBad ? 1 : 0;
        const bool fails = failing.contains(command.task.job)
                           || happens(isBad ? failuresOnBadWorker : ordinaryFailures);
        if (command.target.worker.id == WorkerId(badWorker) && fails) {
            failuresBefore += isBad ? 0 : 1;
            if (isBad && firstBadFailure == TimePoint{}) {
                firstBadFailure = now;
            }
        }
        return fails ? Fate::Failed : Fate::Done;
    };
    int number = 0;
    const auto arrivals = [&] {
        if (fleet.fixture.now.time_since_epoch() % arrivalInterval != Milliseconds{0}) {
            return;
        }
        for (const char *const queue : {"proofs", "plates"}) {
            const std::string id = fmt::format("{:016x}", ++number);
            if (queue == std::string("plates") && fleet.fixture.now >= troubleAt
                && happens(trouble.failingQueries)) {
                failing.insert(JobId(id));
            }
            fleet.submit(id, step(4, 500), queue, 4);
        }
    };
    fleet.runFor(warmUp, arrivals);
    fleet.runFor(measured, arrivals);
    if (firstBadFailure != TimePoint{}) {
        noteFinding(fleet, firstBadFailure, failuresBefore, report);
    }
    for (int i = 1; i <= workerCount; ++i) {
        const std::string worker = fmt::format("w{}", i);
        if (!trouble.hasBadWorker || worker != badWorker) {
            ++report.goodWorkers;
            report.goodSuspected += fleet.quarantines.contains(worker) ? 1 : 0;
        }
    }
    for (const auto &[id, job] : fleet.fixture.engine.jobs) {
        if (!failing.contains(id)) {
            ++report.soundJobs;
            report.soundJobsGivenUp += job.state == jobs::JobState::Failed ? 1 : 0;
        }
    }
}

Report simulate(const Trouble &trouble)
{
    Report report;
    for (std::uint64_t seed = 1; seed <= draws; ++seed) {
        draw(trouble, seed, report);
    }
    return report;
}

// Guards against bad workers that are not found and sound ones that are condemned, beside queries
// that fail on every worker (issue 57).
TEST(Blame, FindsBadWorkersAndSparesSoundOnes)
{
    for (const double failingQueries : {0.0, 0.03, 0.3, 1.0}) {
        SCOPED_TRACE(fmt::format("given {:.0f} of 100 queries of one queue that always fail",
                                 failingQueries * 100));
        const Report sound = simulate({failingQueries, false});
        const Report beside = simulate({failingQueries, true});
        fmt::print("{:3.0f} of 100 queries fail, no bad worker: {}\n", failingQueries * 100,
                   textOf(sound));
        fmt::print("{:3.0f} of 100 queries fail, one bad worker: {}\n", failingQueries * 100,
                   textOf(beside));
        {
            SCOPED_TRACE("then a worker that fails nine of ten runs is found within five failures");
            EXPECT_GE(beside.badWorkers, draws / 2);
            EXPECT_GE(beside.badFound * 100, beside.badWorkers * 99) << textOf(beside);
        }
        {
            SCOPED_TRACE("and fewer than one of a hundred sound workers is suspected");
            EXPECT_LT(sound.goodSuspected * 100, sound.goodWorkers) << textOf(sound);
            EXPECT_LT(beside.goodSuspected * 100, beside.goodWorkers) << textOf(beside);
        }
    }
}

}  // namespace
}  // namespace poplarstream::engine
