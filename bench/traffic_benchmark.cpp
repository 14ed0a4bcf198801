#include <benchmark/benchmark.h>  // for BENCHMARK
#include <deque>  // for deque
#include <string>  // for to_string
#include <vector>  // for vector

#include "poplarstream/traffic/state_view.hpp"  // for formatAttemptId
#include "poplarstream/traffic/urgent_path.hpp"  // for admit, onResponse, tick

namespace poplarstream::bench {

namespace {

using traffic::Actions;

// One entry host with `tenants` tenants, 5 services and 40 minions in one pool, all connected.
struct Bench
{
    explicit Bench(std::size_t tenants)
        : state(1, 1)
    {
        traffic::TrafficSettings settings;
        settings.entryHost = EntryHostId("e");
        settings.ownZone = ZoneId("a");
        traffic::PoolSettings pool{PoolId("p"), {}};
        for (int i = 0; i < 5; ++i) {
            settings.services.push_back({ServiceId("s" + std::to_string(i)), false});
            pool.services.push_back(settings.services.back().id);
        }
        settings.pools = {pool};
        for (std::size_t i = 0; i < tenants; ++i) {
            settings.tenants.push_back({AccountId("tenant-" + std::to_string(i)), 1, 1e9});
        }
        for (int i = 0; i < 40; ++i) {
            settings.minions.push_back(
                    {MinionId("m" + std::to_string(i)), PoolId("p"), ZoneId("a"), 8, 8});
        }
        Actions out;
        configure(state, settings, now, out);
        perform(out);
        for (const auto &tenant : settings.tenants) {
            requests.push_back({ServiceId("s0"), tenant.id, 1, now, 500});
        }
    }

    // Opens connections, answers probes and remembers what was sent.
    void perform(Actions &out)
    {
        while (!out.empty()) {
            Actions more;
            for (const auto &action : out) {
                if (const auto *open = std::get_if<traffic::OpenConnection>(&action)) {
                    onConnected(state, open->connection, now, more);
                } else if (const auto *probe = std::get_if<traffic::SendProbe>(&action)) {
                    onProbeResponse(state, probe->connection, true, {0, 8, false}, now, more);
                } else if (const auto *sent = std::get_if<traffic::Dispatch>(&action)) {
                    dispatches.push_back(*sent);
                }
            }
            out.swap(more);
        }
    }

    void admitNext(Actions &out)
    {
        traffic::Request &request = requests[next++ % requests.size()];
        request.deadline = now + Milliseconds{3600};
        admit(state, request, now, out);
    }

    void answerFirst(Actions &out)
    {
        const traffic::Dispatch sent = dispatches.front();
        dispatches.pop_front();
        const std::string text = formatAttemptId(state, sent.attempt);
        onResponse(state, sent.connection, {text, traffic::ResponseKind::Ok, {4, 8, false}}, now,
                   out);
    }

    traffic::TrafficState state;
    TimePoint now = timePoint(1000);
    std::vector<traffic::Request> requests;
    std::deque<traffic::Dispatch> dispatches;
    std::size_t next = 0;
};

// Time passes one millisecond for each 32 requests, and a tick comes every 10 ms.
void passTime(Bench &bench, std::uint64_t count, Actions &out)
{
    if (count % 32 == 0) {
        bench.now += Milliseconds{1};
        if (count % 320 == 0) {
            tick(bench.state, bench.now, out);
            bench.perform(out);
        }
    }
}

// The whole life of a request on an entry host with room: admission, routing, answer, timers.
void admitRouteAnswer(benchmark::State &run)
{
    Bench bench(static_cast<std::size_t>(run.range(0)));
    Actions out;
    std::uint64_t count = 0;
    for (auto _ : run) {
        bench.admitNext(out);
        bench.perform(out);
        bench.answerFirst(out);
        bench.perform(out);
        passTime(bench, ++count, out);
    }
}

// The same with a backlog of two requests of each tenant: admission joins a queue, and each answer
// picks the next request among all tenants.
void admitRouteAnswerWithBacklog(benchmark::State &run)
{
    Bench bench(static_cast<std::size_t>(run.range(0)));
    Actions out;
    for (std::size_t i = 0; i < 400 + 2 * bench.requests.size(); ++i) {
        bench.admitNext(out);
        bench.perform(out);
    }
    std::uint64_t count = 0;
    for (auto _ : run) {
        bench.admitNext(out);
        bench.perform(out);
        if (!bench.dispatches.empty()) {
            bench.answerFirst(out);
            bench.perform(out);
        }
        passTime(bench, ++count, out);
    }
    run.counters["queued"] = bench.state.queued;
}

BENCHMARK(admitRouteAnswer)->Arg(10)->Arg(340)->Arg(3400);
BENCHMARK(admitRouteAnswerWithBacklog)->Arg(10)->Arg(340)->Arg(3400);

}  // namespace

}  // namespace poplarstream::bench

BENCHMARK_MAIN();
