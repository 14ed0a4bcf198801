#include "runs_cases.hpp"

#include <cmath>  // for exp2

#include "naive_runs.hpp"  // for dispatchDirectly, dispatchWithFaults
#include "poplarstream/history/check.hpp"  // for checkNoAcceptedRunLost
#include "poplarstream/runs/fakes/zone.hpp"  // for Zone

namespace poplarstream::bench {
namespace {

using fakes::FakeCall;
using fakes::FakeWorker;
using fakes::FaultRates;
using fakes::Zone;

constexpr std::size_t owners = 8;
constexpr std::size_t tenants = 20;
constexpr std::size_t services = 10;

ServiceId serviceName(std::size_t index)
{
    return ServiceId("s" + std::to_string(index));
}

// The workers of van-harselaar: 64 cores, 128 GB, four to a rack.
std::vector<FakeWorker> makeWorkers(std::size_t count)
{
    std::vector<FakeWorker> workers;
    for (std::size_t i = 0; i < count; ++i) {
        FakeWorker worker;
        worker.host = HostId("h" + std::to_string(1000 + i));
        worker.rack = RackId("r" + std::to_string(i / 4));
        for (std::size_t s = 0; s < services; ++s) {
            worker.services.push_back(serviceName(s));
        }
        worker.capacity = {64, 128'000, 0};
        workers.push_back(std::move(worker));
    }
    return workers;
}

FakeCall makeCall(std::size_t index, Random &random)
{
    FakeCall call;
    RunAccepted &accepted = call.accepted;
    accepted.tenant = AccountId("t" + std::to_string(index % tenants));
    accepted.service = serviceName(random.below(services));
    accepted.idempotencyKey = "k" + std::to_string(index);
    accepted.payload = accepted.idempotencyKey;
    accepted.idempotent = random.below(2) == 0;
    accepted.declared = {static_cast<double>(1 + random.below(8)), 2'000 + random.below(14'000), 0};
    accepted.declaredDuration =
            Milliseconds{20'000 + static_cast<std::int64_t>(random.below(60'000))};
    call.actual.peak = accepted.declared;
    call.actual.duration = accepted.declaredDuration;
    return call;
}

std::vector<FakeCall> makeCalls(std::size_t count, Random &random)
{
    std::vector<FakeCall> calls;
    for (std::size_t i = 0; i < count; ++i) {
        calls.push_back(makeCall(i, random));
    }
    return calls;
}

void fill(Zone &zone, const std::vector<FakeWorker> &workers, const std::vector<FakeCall> &calls,
          Milliseconds spread)
{
    for (const FakeWorker &worker : workers) {
        zone.addWorker(worker);
    }
    zone.addOwners(owners);
    zone.calls = calls;
    const auto range = static_cast<std::uint64_t>(spread.count()) + 1;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        zone.callByKey[calls[i].accepted.idempotencyKey] = i;
        const auto at = Milliseconds{static_cast<std::int64_t>(zone.random.below(range))};
        zone.timeline.after(at, [&zone, i] { zone.submit(i); });
    }
    zone.start(Milliseconds{200}, Milliseconds{1'000});
}

void runFor(Zone &zone, Milliseconds duration)
{
    zone.timeline.runUntil(zone.timeline.now() + duration);
}

MeasureLine quantity(const std::string &caseName, const std::string &name, const std::string &unit,
                     double naive, double now, std::optional<double> target, std::uint64_t seed,
                     const std::string &better = "lower")
{
    MeasureLine line;
    line.caseName = caseName;
    line.quantity = name;
    line.unit = unit;
    line.better = better;
    line.naive = naive;
    line.now = now;
    line.target = target;
    line.seed = seed;
    return line;
}

std::uint64_t finishedCalls(const Zone &zone)
{
    return static_cast<std::uint64_t>(
            std::count_if(zone.calls.begin(), zone.calls.end(),
                          [](const FakeCall &call) { return call.stage == RunStage::Finished; }));
}

// The lines that the cases of log and ownership share: the promises, runs lost and doubled, and
// records a run, where the naive figure is one record for each entry.
std::vector<MeasureLine> guaranteeLines(const std::string &caseName, Zone &zone,
                                        const NaiveOutcome &naive, std::uint64_t seed)
{
    const RunsState state = zone.finalState();
    std::uint64_t open = 0;
    for (const auto &[ordinal, run] : state.runs) {
        zone.history.push_back({zone.timeline.now(), history::RunKnownAtEnd{run.id()}});
        open += isFinal(run.stage) ? 0 : 1;
    }
    std::uint64_t entries = 0;
    for (const auto &logged : zone.log) {
        entries += logged.record.entries.size();
    }
    const auto calls = static_cast<double>(zone.calls.size());
    const auto lost = history::checkNoAcceptedRunLost(zone.history);
    const auto doubled = history::checkNonIdempotentOnce(zone.history);
    const auto violations = [](const history::CheckResult &result) {
        return static_cast<double>(result.violations.size());
    };
    std::vector<MeasureLine> lines = {
            quantity(caseName, "runs-lost", "runs",
                     violations(history::checkNoAcceptedRunLost(naive.history)), violations(lost),
                     0, seed),
            quantity(caseName, "runs-doubled", "runs",
                     violations(history::checkNonIdempotentOnce(naive.history)),
                     violations(doubled), 0, seed),
            quantity(caseName, "records-a-run", "records", static_cast<double>(entries) / calls,
                     static_cast<double>(zone.log.size()) / calls, std::nullopt, seed),
            quantity(caseName, "runs-left-open", "runs",
                     calls - static_cast<double>(naive.finished), static_cast<double>(open),
                     std::nullopt, seed)};
    for (const auto &result : {lost, doubled, history::checkCancelledNeverStarts(zone.history),
                               history::checkVerdictsTrue(zone.history)}) {
        MeasureLine line;
        line.caseName = caseName;
        line.promise = result.guarantee;
        line.checked = result.checked;
        line.violations = result.violations.size();
        line.seed = seed;
        lines.push_back(line);
    }
    return lines;
}

// Correct sizes up to a factor of eight: four between services, two between runs of a service.
void distortSizes(std::vector<FakeCall> &calls, Random &random)
{
    const auto factor = [&](double octaves) {
        return std::exp2((random.unit() * 2 - 1) * octaves);
    };
    std::map<ServiceId, std::array<double, 3>> biases;
    for (std::size_t s = 0; s < services; ++s) {
        biases[serviceName(s)] = {factor(2), factor(2), factor(2)};
    }
    for (FakeCall &call : calls) {
        const auto &[cpus, memory, duration] = biases[call.accepted.service];
        const RunAccepted &declared = call.accepted;
        call.actual.peak.cpus = std::min(60.0, declared.declared.cpus * cpus * factor(1));
        call.actual.peak.memoryMegabytes = static_cast<std::uint64_t>(
                std::min(110'000.0, static_cast<double>(declared.declared.memoryMegabytes) * memory
                                            * factor(1)));
        call.actual.duration = Milliseconds{static_cast<std::int64_t>(
                static_cast<double>(declared.declaredDuration.count()) * duration * factor(1))};
    }
}

}  // namespace

std::vector<MeasureLine> runBadWorkers(std::uint64_t seed)
{
    const std::string name = "bad-workers";
    constexpr Milliseconds duration{20 * 60 * 1000};
    Random random(seed);
    std::vector<FakeWorker> workers = makeWorkers(60);
    for (std::size_t i = 0; i < 3; ++i) {
        workers[i * 20 + random.below(20)].failsAll = true;
    }
    std::vector<FakeCall> calls = makeCalls(6'000, random);
    for (FakeCall &call : calls) {
        call.accepted.idempotent = true;
    }
    const NaiveOutcome naive =
            dispatchDirectly(workers, calls, duration, Milliseconds{200}, random, false);
    Zone zone(seed, RunPolicy{}, FaultRates{});
    fill(zone, workers, calls, Milliseconds{duration.count() / 2});
    double slowest = 0;
    const TimePoint begin = zone.timeline.now();
    std::map<HostId, TimePoint> firstSeen;
    while (zone.timeline.now() < begin + duration) {
        runFor(zone, Milliseconds{1'000});
        for (const auto &[host, at] : zone.quarantinedAt) {
            firstSeen.try_emplace(host, at);
        }
    }
    std::uint64_t attempts = 0;
    std::uint64_t wasted = 0;
    std::uint64_t wrong = 0;
    for (const FakeWorker &worker : zone.workers) {
        attempts += worker.startedTasks;
        wasted += worker.wastedTasks;
        const auto seen = firstSeen.find(worker.host);
        if (worker.failsAll) {
            const TimePoint at = seen == firstSeen.end() ? zone.timeline.now() : seen->second;
            slowest = std::max(slowest, static_cast<double>((at - begin).count()) / 1000);
        } else {
            wrong += seen == firstSeen.end() ? 0 : 1;
        }
    }
    const auto share = [](std::uint64_t part, std::uint64_t all) {
        return static_cast<double>(part) / static_cast<double>(std::max<std::uint64_t>(1, all));
    };
    return {quantity(name, "attempts-wasted", "ratio", share(naive.wasted, naive.attempts),
                     share(wasted, attempts), 0.02, seed),
            quantity(name, "time-to-quarantine", "s", static_cast<double>(duration.count()) / 1000,
                     slowest, std::nullopt, seed),
            quantity(name, "good-workers-quarantined", "workers", 0, static_cast<double>(wrong), 0,
                     seed),
            quantity(name, "runs-finished", "runs", static_cast<double>(naive.finished),
                     static_cast<double>(finishedCalls(zone)), std::nullopt, seed, "higher")};
}

std::vector<MeasureLine> runWrongSizes(std::uint64_t seed)
{
    const std::string name = "wrong-sizes";
    constexpr Milliseconds duration{15 * 60 * 1000};
    Random random(seed);
    const std::vector<FakeWorker> workers = makeWorkers(20);
    std::vector<FakeCall> calls = makeCalls(6'000, random);
    distortSizes(calls, random);
    const Milliseconds step{200};
    const auto ideal = dispatchDirectly(workers, calls, duration, step, random, true);
    const auto naive = dispatchDirectly(workers, calls, duration, step, random, false);
    Zone zone(seed, RunPolicy{}, FaultRates{});
    fill(zone, workers, calls, Milliseconds{2'000});
    runFor(zone, duration);
    std::uint64_t overfull = 0;
    for (const FakeWorker &worker : zone.workers) {
        overfull += worker.overfullSteps;
    }
    const auto perIdeal = [&](std::uint64_t finished) {
        return static_cast<double>(finished) / static_cast<double>(ideal.finished);
    };
    return {quantity(name, "finished-over-ideal", "ratio", perIdeal(naive.finished),
                     perIdeal(finishedCalls(zone)), 0.9, seed, "higher"),
            quantity(name, "overfull", "times", static_cast<double>(naive.overfullSteps),
                     static_cast<double>(overfull), 0, seed)};
}

std::vector<MeasureLine> runCancelWave(std::uint64_t seed)
{
    constexpr Milliseconds spread{10'000};
    constexpr Milliseconds cancelAt{30'000};
    constexpr Milliseconds duration{10 * 60 * 1000};
    Random random(seed);
    const std::vector<FakeWorker> workers = makeWorkers(20);
    const std::vector<FakeCall> calls = makeCalls(3'000, random);
    NaiveFaults faults;
    faults.cancelAt = cancelAt;
    const auto naive = dispatchWithFaults(workers, calls, spread, duration, faults, random);
    Zone zone(seed, RunPolicy{}, FaultRates{});
    fill(zone, workers, calls, spread);
    std::size_t before = 0;
    zone.timeline.after(cancelAt, [&] {
        before = zone.log.size();
        for (std::size_t i = 1; i < calls.size(); i += 2) {
            zone.cancel(i);
        }
    });
    runFor(zone, duration);
    std::uint64_t waves = 0;
    for (std::size_t i = before; i < zone.log.size(); ++i) {
        for (const RunEntry &entry : zone.log[i].record.entries) {
            waves += std::holds_alternative<RunsCancelled>(entry) ? 1 : 0;
        }
    }
    std::vector<MeasureLine> lines = guaranteeLines("cancel-wave", zone, naive, seed);
    lines.push_back(quantity("cancel-wave", "cancel-entries", "entries",
                             static_cast<double>(calls.size()) / 2, static_cast<double>(waves),
                             std::nullopt, seed));
    return lines;
}

namespace {

std::vector<MeasureLine> runWithFaults(const std::string &name, std::uint64_t seed,
                                       const FaultRates &rates,
                                       std::optional<Milliseconds> restartEach)
{
    constexpr Milliseconds spread{120'000};
    constexpr Milliseconds faulty{180'000};
    constexpr Milliseconds duration{15 * 60 * 1000};
    Random random(seed);
    const std::vector<FakeWorker> workers = makeWorkers(20);
    const std::vector<FakeCall> calls = makeCalls(2'000, random);
    const auto naive = dispatchWithFaults(workers, calls, spread, duration,
                                          {rates, restartEach, std::nullopt}, random);
    Zone zone(seed, RunPolicy{}, rates);
    fill(zone, workers, calls, spread);
    std::size_t next = 0;
    if (restartEach) {
        for (Milliseconds at = *restartEach; at < faulty; at += *restartEach) {
            zone.timeline.after(at, [&] { zone.restart(*zone.owners[next++ % owners]); });
        }
    }
    runFor(zone, faulty);
    zone.heal();
    runFor(zone, duration - faulty);
    return guaranteeLines(name, zone, naive, seed);
}

}  // namespace

std::vector<MeasureLine> runLostAppendAnswers(std::uint64_t seed)
{
    FaultRates rates;
    rates.loseMessage = 0.1;
    rates.duplicateMessage = 0.1;
    rates.longestDelay = 500;
    return runWithFaults("lost-append-answers", seed, rates, std::nullopt);
}

std::vector<MeasureLine> runPausedHolders(std::uint64_t seed)
{
    FaultRates rates;
    rates.longestDelay = 50;
    rates.pauseOwner = 0.005;
    rates.longestPause = 30'000;
    return runWithFaults("paused-holders", seed, rates, std::nullopt);
}

std::vector<MeasureLine> runReplacedAll(std::uint64_t seed)
{
    FaultRates rates;
    rates.longestDelay = 50;
    // Each of the eight entry hosts is replaced twice within three minutes.
    return runWithFaults("replaced-all", seed, rates, Milliseconds{11'000});
}

// The log is away for ten minutes. Meanwhile callers go on, and an entry host is replaced every
// minute.
std::vector<MeasureLine> runPlatformAway(std::uint64_t seed)
{
    constexpr Milliseconds before{60'000};
    constexpr Milliseconds away{10 * 60 * 1000};
    constexpr Milliseconds replaceEach{60'000};
    constexpr Milliseconds duration{30 * 60 * 1000};
    Random random(seed);
    const std::vector<FakeWorker> workers = makeWorkers(20);
    const std::vector<FakeCall> calls = makeCalls(2'000, random);
    FaultRates rates;
    rates.longestDelay = 50;
    const auto naive = dispatchWithFaults(workers, calls, before + away, duration,
                                          {rates, replaceEach, std::nullopt}, random);
    Zone zone(seed, RunPolicy{}, rates);
    fill(zone, workers, calls, before + away);
    runFor(zone, before);
    zone.isLogDown = true;
    for (std::size_t minute = 0; minute < 10; ++minute) {
        runFor(zone, replaceEach);
        zone.restart(*zone.owners[minute % owners]);
    }
    zone.heal();
    runFor(zone, duration - before - away);
    return guaranteeLines("platform-away", zone, naive, seed);
}

}  // namespace poplarstream::bench
