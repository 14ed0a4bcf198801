#pragma once

#include <string>  // for string
#include <vector>  // for vector

#include "capacity_series.hpp"  // for SeriesTable

namespace poplarstream::bench {

// A deployment and what happens in it. Rates are per day. Restarts and replacements count as whole
// absences; the runs of a worker and the scrapes of the metrics are assumptions.
struct Deployment
{
    std::string name;
    double hosts = 4500;
    double zones = 15;
    double entryHosts = 120;
    double tenants = 340;
    double changes = 3'400;
    double failures = 28;
    double restarts = 650;
    double waveAbsences = 4500.0 / 35;
    double runsOfWorker = 40;
    double runSeconds = 60;
    double absenceSeconds = 300;
    double scrapeSeconds = 15;

    double zonePeers() const { return entryHosts / zones; }
    double zoneHosts() const { return hosts / zones; }
    double zoneRuns() const;  // per second
};

// One role on one entry host: the busiest, which holds the duty lease of the fleet. `headers` are
// those of TCP and IP, not part of `sent` and `received`. `appends` counts all entry hosts.
struct RoleLoad
{
    std::string role;
    std::string mechanism;
    std::string breaksFirst;
    double megabytes = 0;
    double sent = 0;  // bytes a second
    double received = 0;
    double headers = 0;
    double appends = 0;  // per second
    double core = 0;  // share of one core
    bool isControl = true;
};

// The load of every role, from the lines of the series.
std::vector<RoleLoad> loadsOf(const Deployment &deployment, const SeriesTable &table);

// The sum of the roles that count against the limits for control.
RoleLoad controlTotal(const std::vector<RoleLoad> &loads);

}  // namespace poplarstream::bench
