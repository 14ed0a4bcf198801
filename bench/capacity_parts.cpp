#include <malloc.h>  // for malloc_trim

#include <memory>  // for make_unique

#include "capacity_series.hpp"  // for SeriesTable
#include "capacity_wire.hpp"  // for peerMessageSize
#include "poplarstream/membership/messages.hpp"  // for Heartbeat, encode
#include "poplarstream/records/codec.hpp"  // for encode, decodeRunRecord
#include "poplarstream/runs/decide.hpp"  // for decideRuns
#include "poplarstream/runs/replay.hpp"  // for apply
#include "poplarstream/runs/snapshot.hpp"  // for snapshotParts
#include "poplarstream/telemetry/request_histograms.hpp"  // for RequestHistograms

namespace poplarstream::bench {

namespace {

const EntryHostId owner("z00-1");

Logged<RunRecord> runRecord(Offset offset, RunEntry entry)
{
    return {offset,
            timePoint(static_cast<std::int64_t>(offset)),
            {{RecordId("z00-1.18f3a2b4c5d." + std::to_string(offset)), owner}, {std::move(entry)}}};
}

RunAccepted acceptance(std::size_t index)
{
    const std::string number = std::to_string(100'000'000'000 + index);
    return {RunId("z00-" + number),
            AccountId("t" + std::to_string(index % 340)),
            ServiceId("s01"),
            "order-" + number,
            index,
            std::string(200, 'p'),
            {1, 1'024, 0},
            Milliseconds{60'000},
            true,
            timePoint(3'600'000)};
}

RunsState emptyState()
{
    RunsState state;
    apply(state, runRecord(0, OwnerLease{owner, Milliseconds{1'000'000'000}}));
    return state;
}

// The four records of a run that succeeds.
void wholeRun(RunsState &state, std::size_t index, std::vector<std::string> *texts = nullptr)
{
    const RunAccepted accepted = acceptance(index);
    const auto applyEntry = [&](RunEntry entry) {
        const Logged<RunRecord> logged = runRecord(state.nextOffset, std::move(entry));
        if (texts != nullptr) {
            texts->push_back(encode(logged.record));
        }
        apply(state, logged);
    };
    applyEntry(accepted);
    const FencingToken token{state.nextOffset, 0};
    applyEntry(
            RunClaimed{accepted.run, owner, HostId("h00001"), {1, 1'024, 0}, 1, {64, 131'072, 0}});
    applyEntry(RunStarted{accepted.run, token});
    applyEntry(RunFinished{
            accepted.run, token, RunOutcome::Succeeded, "done", {1, 900, 0}, Milliseconds{60'000}});
}

// A state that remembers as many record ids as it ever does, so that only the runs differ.
RunsState endedRuns(std::size_t count)
{
    RunsState state = emptyState();
    for (std::size_t i = 0; i < maxRecentRecords; ++i) {
        apply(state, runRecord(state.nextOffset, OwnerLease{owner, Milliseconds{1'000'000'000}}));
    }
    for (std::size_t i = 0; i < count; ++i) {
        wholeRun(state, i);
    }
    return state;
}

// Bytes that a reader and a writer of the run stream spend on one run, in reads of one record.
double runBytes(std::size_t runs, bool asReader)
{
    RunsState state = emptyState();
    std::vector<std::string> texts;
    for (std::size_t i = 0; i < runs; ++i) {
        wholeRun(state, i, &texts);
    }
    double bytes = 0;
    for (const std::string &text : texts) {
        const CallSize call =
                asReader ? readCall("runs-z00", 1'000'000, {text}) : appendCall("runs-z00", text);
        bytes += call.sent.bytes + call.received.bytes;
    }
    return bytes;
}

FleetView workersOf(std::size_t count, TimePoint now)
{
    FleetView view;
    view.isComplete = true;
    for (std::size_t i = 0; i < count; ++i) {
        WorkerView worker;
        worker.host = HostId("h" + std::to_string(10'000 + i));
        worker.rack = RackId("r" + std::to_string(i / 4));
        worker.services = {ServiceId("s01")};
        worker.capacity = {64, 131'072, 0};
        worker.boot = 1;
        worker.lastHeard = now;
        view.workers.push_back(std::move(worker));
    }
    return view;
}

// A step with this many claimed runs of this owner, on the 300 workers of a zone.
double decideMicroseconds(std::size_t claimed)
{
    RunsState state = emptyState();
    const TimePoint now = timePoint(1'000'000);
    for (std::size_t i = 0; i < claimed; ++i) {
        const RunAccepted accepted = acceptance(i);
        apply(state, runRecord(state.nextOffset, accepted));
        const HostId host("h" + std::to_string(10'000 + i % 300));
        apply(state, runRecord(state.nextOffset,
                               RunClaimed{accepted.run, owner, host, {1, 1'024, 0}, 1, {}}));
    }
    OwnerState memory;
    memory.self = owner;
    memory.leaseUntil = now + Milliseconds{1'000'000};
    memory.lastSweep = now;
    const FleetView fleet = workersOf(300, now);
    Random random(1);
    return processorMicroseconds(
            [&] { decideRuns(state, fleet, memory, RunPolicy{}, now, random); });
}

double runsHeapMegabytes(std::size_t count)
{
    malloc_trim(0);
    const std::size_t before = heapBytes();
    const RunsState state = endedRuns(count);
    return static_cast<double>(heapBytes() - before) / 1024 / 1024;
}

double runsSnapshotBytes(std::size_t count)
{
    double bytes = 0;
    for (SnapshotPart &part : snapshotParts(endedRuns(count), RecordId("s"))) {
        const RunRecord record{{RecordId("z00-1.1.1"), owner}, {std::move(part)}};
        bytes += readCall("runs-z00", 1'000'000, {encode(record)}).received.bytes;
    }
    return bytes;
}

double decodeAndApplyMicroseconds(std::size_t runs)
{
    RunsState source = emptyState();
    std::vector<std::string> texts;
    for (std::size_t i = 0; i < runs; ++i) {
        wholeRun(source, i, &texts);
    }
    return processorMicroseconds([&] {
        RunsState state = emptyState();
        for (const std::string &text : texts) {
            apply(state, {state.nextOffset, state.now, decodeRunRecord(text).value()});
        }
    });
}

std::vector<membership::ShortName> names(std::size_t count)
{
    std::vector<membership::ShortName> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back(membership::shortName("z" + std::to_string(i)));
    }
    return list;
}

double heartbeatBytes(std::size_t zones)
{
    const membership::Heartbeat heartbeat{EntryHostId("z00-1"),
                                          1'796'000'000,
                                          1'000'000,
                                          false,
                                          true,
                                          names(7),
                                          names(zones - 1),
                                          {}};
    return peerMessageSize(encode(heartbeat).size()).bytes;
}

double digestBytes(std::size_t zones)
{
    const membership::Digest digest{EntryHostId("z00-1"),
                                    ZoneId("z00"),
                                    1'796'000'000,
                                    1'000'000,
                                    true,
                                    names(8),
                                    names(zones - 1),
                                    {}};
    return peerMessageSize(encode(digest).size()).bytes;
}

RequestHistograms histogramsOf(std::size_t tenants)
{
    RequestHistograms histograms;
    for (std::size_t i = 0; i < tenants; ++i) {
        for (const WorkClass work : {WorkClass::Urgent, WorkClass::Slow}) {
            histograms.record(AccountId("t" + std::to_string(i)), work, RequestOutcome::OnTime,
                              Milliseconds{40});
        }
    }
    return histograms;
}

}  // namespace

void measureRuns(SeriesTable &table)
{
    const std::vector<double> ended{500, 2'000, 5'000, 10'000, 20'000};
    const std::vector<double> few{10, 100, 200, 400, 800};
    table["runs-heap"] = makeSeries("ended runs in the replayed state, heap MB", "MB a run", ended,
                                    runsHeapMegabytes);
    table["runs-snapshot"] = makeSeries("run snapshot, bytes as read from the log", "bytes a run",
                                        ended, runsSnapshotBytes);
    table["run-read"] =
            makeSeries("reads of the 4 records of a run, bytes both ways", "bytes a run", few,
                       [](std::size_t runs) { return runBytes(runs, true); });
    table["run-append"] =
            makeSeries("appends of the 4 records of a run, bytes both ways", "bytes a run", few,
                       [](std::size_t runs) { return runBytes(runs, false); });
    table["run-replay"] = makeSeries("decoding and replay of the 4 records of a run, us",
                                     "us a run", few, decodeAndApplyMicroseconds);
    table["decide"] = makeSeries("decideRuns with 300 workers, us", "us a claimed run",
                                 {1, 5, 10, 20, 40}, decideMicroseconds);
}

void measureSmallParts(SeriesTable &table)
{
    const std::vector<double> zones{3, 4, 8, 15, 30};
    table["heartbeat"] =
            makeSeries("heartbeat with nng framing, bytes", "bytes a zone", zones, heartbeatBytes);
    table["digest"] =
            makeSeries("digest with nng framing, bytes", "bytes a zone", zones, digestBytes);
    table["poll"] = makeSeries("poll of a worker, bytes both ways", "bytes a task",
                               {0, 1, 4, 16, 64}, [](std::size_t tasks) {
                                   const CallSize call = workerPoll(tasks);
                                   return call.sent.bytes + call.received.bytes;
                               });
    const std::vector<double> tenants{6, 50, 100, 200, 340};
    table["histogram-heap"] =
            makeSeries("histograms, heap MB", "MB a tenant", tenants, [](std::size_t count) {
                malloc_trim(0);
                const std::size_t before = heapBytes();
                const RequestHistograms histograms = histogramsOf(count);
                return static_cast<double>(heapBytes() - before) / 1024 / 1024;
            });
    table["metrics-bytes"] =
            makeSeries("metrics text, bytes", "bytes a tenant", tenants, [](std::size_t count) {
                const HttpResponse response{200, {}, histogramsOf(count).prometheusText()};
                return responseSize(response).bytes;
            });
    table["metrics-time"] =
            makeSeries("metrics text, us", "us a tenant", tenants, [](std::size_t count) {
                const RequestHistograms histograms = histogramsOf(count);
                return processorMicroseconds([&] { histograms.prometheusText(); });
            });
}

}  // namespace poplarstream::bench
