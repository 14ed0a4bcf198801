// Costs of the config and fleet modules at the design size: 4,500 hosts, 20 pools, 340 tenants.

#include <malloc.h>  // for mallinfo2
#include <sys/resource.h>  // for getrusage

#include <string>  // for string

#include <benchmark/benchmark.h>  // for State, BENCHMARK
#include <fmt/format.h>  // for format

#include "design_size.hpp"  // for designSizeDocument
#include "poplarstream/config/edits.hpp"  // for difference
#include "poplarstream/config/ini.hpp"  // for parseDocument, formatDocument
#include "poplarstream/config/stages.hpp"  // for stagedEdits
#include "poplarstream/config/validation.hpp"  // for readConfiguration
#include "poplarstream/fleet/replay.hpp"  // for apply
#include "poplarstream/fleet/snapshot.hpp"  // for snapshotParts, SnapshotCollector
#include "poplarstream/records/codec.hpp"  // for encode

namespace poplarstream {
namespace {

using Log = std::vector<Logged<ControlRecord>>;

const ConfigDocument &designDocument()
{
    static const ConfigDocument document = parseDocument(designSizeDocument()).document;
    return document;
}

void append(Log &log, ControlBody body)
{
    const Offset offset = log.size();
    log.push_back({offset,
                   timePoint(1'700'000'000'000 + static_cast<std::int64_t>(offset) * 50),
                   {{RecordId(fmt::format("r{:08x}", offset)), EntryHostId("entry-1")},
                    std::move(body)}});
}

Logged<ControlRecord> firstRecord()
{
    Log log;
    append(log, ConfigChange{0, "operator", difference({}, designDocument())});
    return log[0];
}

FleetState designState()
{
    FleetState state;
    apply(state, firstRecord());
    return state;
}

HostId hostAt(std::size_t index)
{
    return HostId(fmt::format("h{:05}", index % 4500));
}

// Whole absences of one host after the other, with a lease renewal and a refused request each.
Log waveLog(std::size_t hosts)
{
    Log log{firstRecord()};
    for (std::size_t i = 0; i < hosts; ++i) {
        const HostId host = hostAt(i * 7);
        const Offset grant = log.size();
        append(log, AbsenceRequest{host, AbsenceKind::Reboot, {}, WaveId("w1"), "kernel update"});
        append(log, AbsenceRequest{host, AbsenceKind::Reboot, {}, WaveId("w1"), "kernel update"});
        for (const AbsencePhase phase : {AbsencePhase::Drained, AbsencePhase::Away,
                                         AbsencePhase::Returning, AbsencePhase::Returned}) {
            append(log, AbsenceProgress{host, grant, phase});
        }
        append(log, LeaderLease{DutyId("plan"), EntryHostId("entry-1"), Milliseconds{5000}});
    }
    return log;
}

// A state as it is after a whole wave: every history is full.
const FleetState &stateAfterWave()
{
    static const FleetState state = [] {
        FleetState replayed;
        for (const auto &logged : waveLog(4500)) {
            apply(replayed, logged);
        }
        return replayed;
    }();
    return state;
}

void parse(benchmark::State &state)
{
    const std::string text = designSizeDocument();
    for (auto _ : state) {
        benchmark::DoNotOptimize(parseDocument(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void validate(benchmark::State &state)
{
    for (auto _ : state) {
        const ConfigurationResult read = readConfiguration(designDocument());
        if (!read.errors.empty()) {
            state.SkipWithError(describe(read.errors).c_str());
        }
    }
}

void format(benchmark::State &state)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(formatDocument(designDocument()));
    }
}

void smallChange(benchmark::State &state)
{
    FleetState fleet = designState();
    Log log(1);
    for (auto _ : state) {
        log.resize(fleet.next);
        append(log,
               ConfigChange{fleet.version,
                            "operator",
                            {{"tenant t001", "weight", std::to_string(1 + fleet.version % 500)}}});
        if (!apply(fleet, log.back()).granted) {
            state.SkipWithError("refused");
        }
    }
}

void replay(benchmark::State &state)
{
    const Log log = waveLog(20'000);
    const FleetState start = designState();
    for (auto _ : state) {
        state.PauseTiming();
        FleetState fleet = start;
        state.ResumeTiming();
        for (const auto &logged : log) {
            benchmark::DoNotOptimize(apply(fleet, logged));
        }
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(log.size()));
}

// The first publication of the design size in stages, and its replay.
void publish(benchmark::State &state)
{
    std::size_t stages = 0;
    for (auto _ : state) {
        FleetState fleet;
        Log log;
        const auto staged = stagedEdits(fleet.document, designDocument());
        stages = staged ? staged.value().size() : 0;
        for (std::size_t i = 0; i < stages; ++i) {
            append(log, ConfigChange{fleet.version, "operator", staged.value()[i]});
            const ControlOutcome applied = apply(fleet, log.back());
            if (!applied.granted) {
                state.SkipWithError(applied.reason.c_str());
            }
        }
        if (!(fleet.document == designDocument())) {
            state.SkipWithError("the document was not reached");
        }
    }
    state.counters["stages"] = static_cast<double>(stages);
}

// What a process holds after a whole wave, and at its peak when it writes and restores a snapshot.
// The figures are meaningful only if nothing else runs: --benchmark_filter=memory.
void memory(benchmark::State &state)
{
    for (auto _ : state) {
        const std::size_t before = mallinfo2().uordblks;
        FleetState fleet = designState();
        for (const auto &logged : waveLog(4500)) {
            apply(fleet, logged);
        }
        state.counters["heap_mb"] =
                static_cast<double>(mallinfo2().uordblks - before) / 1024 / 1024;
        SnapshotCollector collector;
        for (const SnapshotPart &part : snapshotParts(fleet, RecordId("s"))) {
            collector.add(part);
        }
        benchmark::DoNotOptimize(collector.newest());
    }
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    state.counters["peak_rss_mb"] = static_cast<double>(usage.ru_maxrss) / 1024;
}

void snapshotWrite(benchmark::State &state)
{
    std::size_t bytes = 0;
    std::size_t largest = 0;
    for (auto _ : state) {
        bytes = 0;
        for (SnapshotPart &part : snapshotParts(stateAfterWave(), RecordId("s"))) {
            bytes += part.data.size();
            state.PauseTiming();
            largest = std::max(
                    largest, encode(ControlRecord{{RecordId("r"), EntryHostId("e")}, part}).size());
            state.ResumeTiming();
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["largest_record"] = static_cast<double>(largest);
}

void snapshotRestore(benchmark::State &state)
{
    const auto parts = snapshotParts(stateAfterWave(), RecordId("s"));
    for (auto _ : state) {
        SnapshotCollector collector;
        for (const SnapshotPart &part : parts) {
            collector.add(part);
        }
        if (!collector.newest()) {
            state.SkipWithError("not restored");
        }
    }
}

void copyState(benchmark::State &state)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(FleetState(stateAfterWave()));
    }
}

BENCHMARK(parse)->Unit(benchmark::kMillisecond);
BENCHMARK(validate)->Unit(benchmark::kMillisecond);
BENCHMARK(format)->Unit(benchmark::kMillisecond);
BENCHMARK(smallChange)->Unit(benchmark::kMillisecond);
BENCHMARK(replay)->Unit(benchmark::kMillisecond);
BENCHMARK(publish)->Unit(benchmark::kMillisecond);
BENCHMARK(memory)->Unit(benchmark::kMillisecond)->Iterations(1);
BENCHMARK(snapshotWrite)->Unit(benchmark::kMillisecond);
BENCHMARK(snapshotRestore)->Unit(benchmark::kMillisecond);
BENCHMARK(copyState)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace poplarstream
