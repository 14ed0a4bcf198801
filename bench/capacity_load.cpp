#include "capacity_load.hpp"

#include <algorithm>  // for clamp, min
#include <cmath>  // for exp

#include "capacity_wire.hpp"  // for CallSize
#include "poplarstream/node/worker_table.hpp"  // for PollPolicy
#include "poplarstream/records/codec.hpp"  // for encode

namespace poplarstream::bench {

namespace {

constexpr double day = 86'400;
// The periods of the program, in seconds, with the file that sets each.
constexpr double longPoll = 4;  // platform_duty.cpp
// The period in seconds of GET /hosts; see listPeriod in node/platform_duty.cpp.
double hostListPeriod(double hosts)
{
    constexpr double shortest = 30;
    constexpr double bytesPerHost = 33;
    constexpr double bytesPerSecond = 150;
    return std::max(shortest, hosts * bytesPerHost / bytesPerSecond);
}

constexpr double dutyRenewal = 5;  // leader_lease.hpp
constexpr double ownerRenewal = 3.3;  // run_policy.hpp
constexpr double waveStepPeriod = 1;  // wave_driver.cpp
constexpr double runStepPeriod = 0.2;  // run_driver.cpp
// wave_driver.cpp and run_driver.cpp: at most 100 bytes a second, between 15 minutes and 6 hours,
// or sooner after so many records.
constexpr double snapshotBytesPerSecond = 100;
constexpr double shortestSnapshotPeriod = 900;
constexpr double longestSnapshotPeriod = 6 * 3'600;
constexpr double controlSnapshotRecords = 5'000;
constexpr double runSnapshotRecords = 20'000;
constexpr double tickPeriod = 0.01;  // callers_duty.cpp
constexpr double probesPerSecond = 200;  // traffic/settings.hpp
constexpr double absenceRecords = 5;

// Adds a call that this entry host makes `rate` times a second.
void addCall(RoleLoad &load, const CallSize &call, double rate)
{
    load.sent += call.sent.bytes * rate;
    load.received += call.received.bytes * rate;
    load.headers += headerBytes(call) * rate;
}

// Adds one-way messages; each segment is acknowledged.
void addMessages(RoleLoad &load, double bytes, double sent, double received)
{
    constexpr double headers = 2 * 52;
    load.sent += bytes * sent;
    load.received += bytes * received;
    load.headers += headers * (sent + received);
}

double at(const SeriesTable &table, const char *key, double size)
{
    return table.at(key).at(size);
}

std::string controlText(ControlBody body)
{
    return encode(ControlRecord{{RecordId("z00-1.19a8b7c6d5e.1f4"), EntryHostId("z00-1")},
                                std::move(body)});
}

std::string ownerLeaseText()
{
    return encode(RunRecord{{RecordId("z00-1.19a8b7c6d5e.1f4"), EntryHostId("z00-1")},
                            {OwnerLease{EntryHostId("z00-1"), Milliseconds{10'000}}}});
}

std::string absenceText()
{
    return controlText(AbsenceProgress{HostId("h00001"), 1'000'000, AbsencePhase::Returning});
}

double changedRecords(const Deployment &d)
{
    const double absences = d.waveAbsences + d.restarts;
    return (d.changes + absenceRecords * absences + 2 * d.failures) / day;
}

RoleLoad urgentPath(const Deployment &d, const SeriesTable &t)
{
    RoleLoad load{.role = "urgent path",
                  .mechanism = "traffic::configure, tick every 10 ms, in-band probes",
                  .breaksFirst =
                          "probes: 200 a second whatever the size, then their interval grows"};
    load.isControl = false;
    load.megabytes = at(t, "traffic-heap", d.hosts) + at(t, "serving-heap", d.hosts);
    const CallSize probe{requestSize({"GET", "/health", {}, {}, {}}),
                         responseSize({200, {{"Poplar-Load", "3/8"}}, ""})};
    addCall(load, probe, probesPerSecond);
    load.core = at(t, "tick", d.hosts) / 1e6 / tickPeriod
                + changedRecords(d) * at(t, "configure", d.hosts) / 1e6;
    return load;
}

RoleLoad slowRuns(const Deployment &d, const SeriesTable &t)
{
    RoleLoad load{.role = "slow runs",
                  .mechanism = "run_driver.cpp: owner leases, batches of runs-<zone>, polls",
                  .breaksFirst = "bytes of worker polls and of owner leases of the zone"};
    const double leases = d.zonePeers() / ownerRenewal;
    const double runs = d.zoneRuns();
    load.megabytes = at(t, "runs-heap", runs * 3'600);
    const std::string lease = ownerLeaseText();
    addCall(load, appendCall("runs-z00", lease), 1 / ownerRenewal);
    addCall(load, readCall("runs-z00", 1'000'000, {lease}), leases);
    const double records = 4 * runs;
    load.received += t.at("run-read").line.slope * runs * 0.7;
    load.sent += t.at("run-read").line.slope * runs * 0.3;
    load.sent += t.at("run-append").line.slope * runs / d.zonePeers();
    load.headers += 4 * 52 * records * (1 + 1 / d.zonePeers());
    const PollPolicy policy;
    const bool isWatchingAll = d.zoneHosts() <= static_cast<double>(policy.pollAllUpTo);
    const double watched = isWatchingAll ? d.zoneHosts() : d.zoneHosts() / d.zonePeers();
    const double claimed = runs * d.runSeconds / d.zonePeers();
    const double polls =
            watched * 1e3 / static_cast<double>(policy.sharePeriod.count())
            + std::min(claimed, watched) * 1e3 / static_cast<double>(policy.claimPeriod.count());
    addCall(load, workerPoll(1), polls);
    load.appends = d.zones * (leases + records);
    load.core = (at(t, "runs-refresh", d.hosts) + at(t, "decide", claimed)) / 1e6 / runStepPeriod
                + (changedRecords(d) + 1 / dutyRenewal) * at(t, "runs-view", d.hosts) / 1e6
                + runs * t.at("run-replay").line.slope / 1e6;
    return load;
}

RoleLoad configuration(const Deployment &d, const SeriesTable &t)
{
    RoleLoad load{.role = "configuration",
                  .mechanism =
                          "fleet::apply of ConfigChange, makeServingView, long poll of control",
                  .breaksFirst = "processor time of a change, which validates the whole document"};
    const double rate = d.changes / day;
    const std::string change =
            controlText(ConfigChange{1'000, "operator", {{"tenant t001", "weight", "12"}}});
    addCall(load, readCall("control", 1'000'000, {change}), rate);
    const double other = changedRecords(d) - rate + 1 / dutyRenewal;
    addCall(load, readCall("control", 1'000'000, {}),
            std::exp(-longPoll * (rate + other)) / longPoll);
    load.megabytes = at(t, "fleet-heap", d.hosts);
    load.appends = rate;
    load.core = rate * (at(t, "change", d.hosts) + at(t, "serving-view", d.hosts)) / 1e6;
    return load;
}

RoleLoad membershipRole(const Deployment &d, const SeriesTable &t)
{
    RoleLoad load{.role = "membership",
                  .mechanism = "heartbeats and digests by nng every second, GET /hosts every 30 s "
                               "or less often",
                  .breaksFirst = "the host list, which is read whole by every entry host"};
    const double peers = d.zonePeers() - 1;
    addMessages(load, at(t, "heartbeat", d.zones), peers, peers);
    const double digests = std::min(2.0, d.zonePeers()) * (d.zones - 1) / d.zonePeers();
    addMessages(load, at(t, "digest", d.zones), digests, digests);
    CallSize list = hostListCall(static_cast<std::size_t>(d.hosts));
    list.received.bytes = at(t, "host-list", d.hosts);
    addCall(load, list, 1 / hostListPeriod(static_cast<double>(d.hosts)));
    load.megabytes = 0.001 * d.entryHosts;
    return load;
}

RoleLoad maintenanceRole(const Deployment &d, const SeriesTable &t)
{
    RoleLoad load{.role = "maintenance",
                  .mechanism = "wave_driver.cpp: duty lease, stepWaves, polls of absent hosts",
                  .breaksFirst = "processor time of a step over all hosts; bytes of the holder"};
    const std::string lease =
            controlText(LeaderLease{DutyId("fleet"), EntryHostId("z00-1"), Milliseconds{15'000}});
    addCall(load, appendCall("control", lease), 1 / dutyRenewal);
    addCall(load, readCall("control", 1'000'000, {lease}), 1 / dutyRenewal);
    const double absences = (d.waveAbsences + d.restarts) / day;
    addCall(load, readCall("control", 1'000'000, {absenceText()}), absences * absenceRecords);
    addCall(load, appendCall("control", absenceText()), absences * absenceRecords);
    addCall(load, workerPoll(0), absences * d.absenceSeconds);
    load.appends = 1 / dutyRenewal + absences * absenceRecords + 2 * d.failures / day;
    load.core = at(t, "wave-step", d.hosts) / 1e6 / waveStepPeriod
                + (changedRecords(d) + 1 / dutyRenewal) * at(t, "wave-view", d.hosts) / 1e6
                + absences * at(t, "absence", d.hosts) / 1e6;
    return load;
}

double snapshotPeriod(double bytes, double records, double recordsPerSecond)
{
    const double byBytes = std::clamp(bytes / snapshotBytesPerSecond, shortestSnapshotPeriod,
                                      longestSnapshotPeriod);
    return std::min(byBytes, records / recordsPerSecond);
}

RoleLoad stateRole(const Deployment &d, const SeriesTable &t)
{
    RoleLoad load{.role = "state and snapshots",
                  .mechanism = "snapshotParts, written by one holder and read by all",
                  .breaksFirst = "bytes of the snapshots that every reader gets"};
    const double ended = d.zoneRuns() * 3'600;
    const double controlBytes = at(t, "snapshot-bytes", d.hosts);
    const double runsBytes = at(t, "runs-snapshot", ended);
    const double controlPeriod = snapshotPeriod(controlBytes, controlSnapshotRecords,
                                                changedRecords(d) + 1 / dutyRenewal);
    const double runsPeriod = snapshotPeriod(runsBytes, runSnapshotRecords,
                                             d.zonePeers() / ownerRenewal + 4 * d.zoneRuns());
    const double control = controlBytes / controlPeriod;
    const double runs = runsBytes / runsPeriod;
    load.received = control + runs;
    load.sent = control + runs / d.zonePeers();
    load.headers = 2 * 52 * (load.received + load.sent) / 1448;
    load.megabytes = 4 * (controlBytes + runsBytes) / 1e6;
    load.appends = (control + d.zones * runs) / 60'000;
    load.core = at(t, "snapshot-write", d.hosts) / 1e6 / controlPeriod;
    return load;
}

RoleLoad metrics(const Deployment &d, const SeriesTable &t)
{
    RoleLoad load{.role = "metrics",
                  .mechanism = "RequestHistograms, GET /metrics every 15 s",
                  .breaksFirst = "bytes of the text, which names every tenant and bucket"};
    load.isControl = false;
    load.megabytes = at(t, "histogram-heap", d.tenants);
    const CallSize scrape{requestSize({"GET", "/metrics", {}, {}, {}}),
                          {at(t, "metrics-bytes", d.tenants), 1}};
    load.received = scrape.sent.bytes / d.scrapeSeconds;
    load.sent = scrape.received.bytes / d.scrapeSeconds;
    load.headers = 2 * 52 * load.sent / 1448;
    load.core = at(t, "metrics-time", d.tenants) / 1e6 / d.scrapeSeconds;
    return load;
}

}  // namespace

double Deployment::zoneRuns() const
{
    return zoneHosts() * runsOfWorker / day;
}

std::vector<RoleLoad> loadsOf(const Deployment &deployment, const SeriesTable &table)
{
    return {urgentPath(deployment, table),      slowRuns(deployment, table),
            configuration(deployment, table),   membershipRole(deployment, table),
            maintenanceRole(deployment, table), stateRole(deployment, table),
            metrics(deployment, table)};
}

RoleLoad controlTotal(const std::vector<RoleLoad> &loads)
{
    RoleLoad total{.role = "control in all"};
    for (const RoleLoad &load : loads) {
        if (load.isControl) {
            total.megabytes += load.megabytes;
            total.sent += load.sent;
            total.received += load.received;
            total.headers += load.headers;
            total.appends += load.appends;
            total.core += load.core;
        }
    }
    return total;
}

}  // namespace poplarstream::bench
