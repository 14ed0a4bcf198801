#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <optional>  // for optional
#include <vector>  // for vector

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/maintenance/fake_fleet.hpp"  // for Fleet

namespace poplarstream::bench {

// Disturbances of a run, at seconds from its start.
struct Disturbance
{
    std::optional<int> rackLostAt;
    int rackBackAfter = 0;
    std::optional<int> logAwayAt;
    int logAwayFor = 0;
    double failuresPerDay = 0;
    int failedFor = 3'600;
};

// Urgent requests of each pool as a fluid queue: peaks of five times the mean, a twentieth of it
// between them, the pools in turn. A request that would wait longer than its deadline is late.
struct UrgentLoad
{
    double meanShare = 0;  // of the capacity of a pool; 0: no load
    int peakSeconds = 4;
    double deadlineSeconds = 3.6;
};

struct WaveRun
{
    double rollout = 0;  // seconds
    std::uint32_t moves = 0;
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    std::uint64_t records = 0;
    std::uint64_t refusedRequests = 0;
    double offered = 0;
    double onTime = 0;
    bool isComplete = false;
};

// Runs the waves of the fleet with the stepper until they are complete, at most `bound` seconds.
WaveRun runWaves(maintenance::fake::Fleet fleet, const UrgentLoad &load,
                 const Disturbance &disturbance, int tick, int bound, std::uint64_t seed);

// The same with one host at a time and one absence for each wave.
WaveRun runNaively(const maintenance::fake::Fleet &fleet, const UrgentLoad &load);

// The urgent load alone, with all hosts in service.
WaveRun runWithoutWaves(const maintenance::fake::Fleet &fleet, const UrgentLoad &load, int length);

}  // namespace poplarstream::bench
