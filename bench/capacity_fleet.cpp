#include <malloc.h>  // for malloc_trim

#include <algorithm>  // for min
#include <stdexcept>  // for runtime_error

#include <fmt/format.h>  // for format

#include "capacity_series.hpp"  // for SeriesTable
#include "capacity_wire.hpp"  // for hostListCall
#include "design_size.hpp"  // for designSizeDocument
#include "poplarstream/config/edits.hpp"  // for difference
#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/fleet/replay.hpp"  // for apply
#include "poplarstream/fleet/snapshot.hpp"  // for snapshotParts
#include "poplarstream/maintenance/wave_plan.hpp"  // for planWaves
#include "poplarstream/maintenance/wave_step.hpp"  // for stepWaves
#include "poplarstream/node/serving_view.hpp"  // for makeServingView
#include "poplarstream/node/wave_view.hpp"  // for makeWaveView
#include "poplarstream/node/worker_table.hpp"  // for makeRunsView
#include "poplarstream/records/codec.hpp"  // for encode
#include "poplarstream/traffic/urgent_path.hpp"  // for configure, tick

namespace poplarstream::bench {

namespace {

const std::vector<double> hostSizes{50, 1000, 2000, 3000, 4500};

void applyNext(FleetState &state, ControlBody body)
{
    const Offset offset = state.next;
    apply(state,
          {offset,
           timePoint(1'700'000'000'000 + static_cast<std::int64_t>(offset) * 50),
           {{RecordId(fmt::format("r{:08x}", offset)), EntryHostId("entry-1")}, std::move(body)}});
}

FleetState fleetOf(std::size_t hosts)
{
    constexpr std::uint32_t pools = 20;
    const auto count = static_cast<std::uint32_t>(hosts);
    const FleetSize size{.hosts = count, .pools = pools, .maxAway = std::min(5U, count / pools)};
    FleetState state;
    applyNext(state,
              ConfigChange{0, "operator",
                           difference({}, parseDocument(designSizeDocument(size)).document)});
    if (state.version == 0) {
        throw std::runtime_error("the document of a fleet was refused");
    }
    return state;
}

// One whole absence of a host.
void rebootHost(FleetState &state, const HostId &host)
{
    const Offset grant = state.next;
    applyNext(state, AbsenceRequest{host, AbsenceKind::Reboot, {}, WaveId("w1"), "kernel update"});
    for (const AbsencePhase phase : {AbsencePhase::Drained, AbsencePhase::Away,
                                     AbsencePhase::Returning, AbsencePhase::Returned}) {
        applyNext(state, AbsenceProgress{host, grant, phase});
    }
}

FleetState fleetAfterWave(std::size_t hosts)
{
    FleetState state = fleetOf(hosts);
    std::vector<HostId> ids;
    for (const auto &[id, host] : state.hosts) {
        ids.push_back(id);
    }
    for (const HostId &id : ids) {
        rebootHost(state, id);
    }
    return state;
}

template <class Make>
double heapMegabytes(Make make)
{
    malloc_trim(0);
    const std::size_t before = heapBytes();
    const auto made = make();
    return static_cast<double>(heapBytes() - before) / 1024 / 1024;
}

double snapshotBytes(const FleetState &state)
{
    double bytes = 0;
    for (SnapshotPart &part : snapshotParts(state, RecordId("s"))) {
        const std::string text =
                encode(ControlRecord{{RecordId("entry-1.1.1"), EntryHostId("entry-1")}, part});
        bytes += readCall("control", 1'000'000, {text}).received.bytes;
    }
    return bytes;
}

// The time of one small change of the configuration, each against the version before.
double changeMicroseconds(std::size_t hosts)
{
    FleetState state = fleetOf(hosts);
    return processorMicroseconds([&] {
        applyNext(state, ConfigChange{state.version,
                                      "operator",
                                      {{"tenant t001", "weight",
                                        std::to_string(1 + state.version % 500)}}});
    });
}

double restoreMicroseconds(const FleetState &state)
{
    const auto parts = snapshotParts(state, RecordId("s"));
    return processorMicroseconds([&] {
        SnapshotCollector collector;
        for (const SnapshotPart &part : parts) {
            collector.add(part);
        }
        if (!collector.newest()) {
            throw std::runtime_error("a snapshot was not restored");
        }
    });
}

// A step of the wave stepper by the holder of the duty, with every host answering.
double stepMicroseconds(const FleetState &state)
{
    const maintenance::FleetView view = makeWaveView(state, {}, {});
    std::vector<maintenance::HostObservation> observations;
    for (const auto &[id, host] : state.hosts) {
        observations.push_back({.host = id, .hasProbeSucceeded = true});
    }
    return processorMicroseconds([&] {
        maintenance::stepWaves({view, observations, {}, true, true, state.time});
    });
}

std::vector<ServingHost> servingHosts(const FleetState &state)
{
    std::vector<ServingHost> hosts;
    for (const auto &[id, host] : state.hosts) {
        hosts.push_back({host.config.get(), host.config->pool, true});
    }
    return hosts;
}

ServingView servingView(const FleetState &state)
{
    return makeServingView(state.version, state.configuration, servingHosts(state),
                           EntryHostId("z00-1"), ZoneId("z00"), 8);
}

}  // namespace

void measureFleet(SeriesTable &table)
{
    const auto add = [&](const char *key, const char *name, const char *unit, auto measure) {
        table[key] = makeSeries(name, unit, hostSizes, measure);
    };
    add("fleet-heap", "replayed state after a whole wave, heap MB", "MB a host",
        [](std::size_t hosts) { return heapMegabytes([&] { return fleetAfterWave(hosts); }); });
    add("change", "replay of one configuration change, us", "us a host", changeMicroseconds);
    add("absence", "replay of one whole absence (5 records), us", "us a host",
        [](std::size_t hosts) {
            FleetState state = fleetOf(hosts);
            const HostId host = state.hosts.begin()->first;
            return processorMicroseconds([&] { rebootHost(state, host); });
        });
    add("snapshot-bytes", "control snapshot, bytes as read from the log", "bytes a host",
        [](std::size_t hosts) { return snapshotBytes(fleetAfterWave(hosts)); });
    add("snapshot-write", "control snapshot, writing, us", "us a host", [](std::size_t hosts) {
        const FleetState state = fleetAfterWave(hosts);
        return processorMicroseconds([&] { snapshotParts(state, RecordId("s")); });
    });
    add("snapshot-restore", "control snapshot, restoring, us", "us a host",
        [](std::size_t hosts) { return restoreMicroseconds(fleetAfterWave(hosts)); });
    add("wave-view", "makeWaveView, us", "us a host", [](std::size_t hosts) {
        const FleetState state = fleetOf(hosts);
        return processorMicroseconds([&] { makeWaveView(state, {}, {}); });
    });
    add("wave-step", "stepWaves, us", "us a host",
        [](std::size_t hosts) { return stepMicroseconds(fleetOf(hosts)); });
    add("wave-plan", "planWaves, us", "us a host", [](std::size_t hosts) {
        const FleetState state = fleetOf(hosts);
        const maintenance::FleetView view = makeWaveView(state, {}, {});
        return processorMicroseconds([&] { maintenance::planWaves(view, state.time); });
    });
    add("runs-view", "makeRunsView, us", "us a host", [](std::size_t hosts) {
        const FleetState state = fleetOf(hosts);
        return processorMicroseconds([&] { makeRunsView({}, state, ZoneId("z00")); });
    });
    add("runs-refresh", "refreshRunsView, us", "us a host", [](std::size_t hosts) {
        const FleetState state = fleetOf(hosts);
        FleetView view = makeRunsView({}, state, ZoneId("z00"));
        WorkerTable heard;
        for (const WorkerView &worker : view.workers) {
            heard.entries[worker.host].last = WorkerStatus{.host = worker.host, .boot = 1};
        }
        return processorMicroseconds([&] { refreshRunsView(view, heard); });
    });
    add("host-list", "host list, bytes of the answer", "bytes a host",
        [](std::size_t hosts) { return hostListCall(hosts).received.bytes; });
}

void measureServing(SeriesTable &table)
{
    const auto add = [&](const char *key, const char *name, const char *unit, auto measure) {
        table[key] = makeSeries(name, unit, hostSizes, measure);
    };
    add("serving-view", "makeServingView, us", "us a host", [](std::size_t hosts) {
        const FleetState state = fleetOf(hosts);
        return processorMicroseconds([&] { servingView(state); });
    });
    add("serving-heap", "serving view, heap MB", "MB a host", [](std::size_t hosts) {
        const FleetState state = fleetOf(hosts);
        return heapMegabytes([&] { return servingView(state); });
    });
    add("configure", "traffic::configure with the same minions, us", "us a host",
        [](std::size_t hosts) {
            const ServingView view = servingView(fleetOf(hosts));
            traffic::TrafficState state(1, 1);
            return processorMicroseconds([&] {
                traffic::Actions out;
                traffic::configure(state, view.traffic, timePoint(1'000), out);
            });
        });
    add("traffic-heap", "traffic state after configure, heap MB", "MB a host",
        [](std::size_t hosts) {
            const ServingView view = servingView(fleetOf(hosts));
            return heapMegabytes([&] {
                auto state = std::make_unique<traffic::TrafficState>(1, 1);
                traffic::Actions out;
                traffic::configure(*state, view.traffic, timePoint(1'000), out);
                return state;
            });
        });
    add("tick", "traffic::tick without requests, us", "us a host", [](std::size_t hosts) {
        const ServingView view = servingView(fleetOf(hosts));
        traffic::TrafficState state(1, 1);
        traffic::Actions out;
        TimePoint now = timePoint(1'000);
        traffic::configure(state, view.traffic, now, out);
        return processorMicroseconds([&] {
            out.clear();
            now += Milliseconds{10};
            traffic::tick(state, now, out);
        });
    });
}

}  // namespace poplarstream::bench
