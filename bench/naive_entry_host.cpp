#include <algorithm>  // for find, max
#include <memory>  // for make_shared

#include "traffic_world.hpp"

namespace poplarstream::bench {

namespace {

struct NaiveTry
{
    std::size_t request = 0;
    std::uint64_t connection = 0;
};

struct Naive
{
    Naive(World &worldOfHost, std::size_t index)
        : world(worldOfHost)
        , entry(index)
        , random(index + 77)
    {
        std::uint32_t slots = 0;
        for (const auto &minion : world.setup().settings.minions) {
            slots += minion.slots;
        }
        room = std::max<std::size_t>(1, slots / world.setup().entryZones.size());
        idle.resize(world.setup().settings.minions.size());
    }

    // The first-come queue is sent in order while less than this host's part of all slots is used.
    void pump()
    {
        while (inFlight < room && !queue.empty()) {
            const std::size_t request = queue.front();
            queue.pop_front();
            sendTo(request, pick(request));
        }
    }

    std::size_t pick(std::size_t request)
    {
        const auto &setup = world.setup();
        const auto &service =
                setup.settings.services[setup.work[world.request(request).kind].service].id;
        for (;;) {
            const std::size_t minion = random.below(setup.settings.minions.size());
            for (const auto &pool : setup.settings.pools) {
                if (pool.id == setup.settings.minions[minion].pool
                    && std::find(pool.services.begin(), pool.services.end(), service)
                               != pool.services.end()) {
                    return minion;
                }
            }
        }
    }

    void sendTo(std::size_t request, std::size_t minion)
    {
        ++inFlight;
        const std::uint64_t attempt = ++attempts;
        std::uint64_t connection = 0;
        if (idle[minion].empty()) {
            connection = ++connections;
            minionOf[connection] = minion;
            waiting[connection] = {request, attempt};
            world.open(entry, connection, minion);
        } else {
            connection = idle[minion].back();
            idle[minion].pop_back();
        }
        tries[attempt] = {request, connection};
        current[request] = attempt;
        const CallerRequest &caller = world.request(request);
        const Micros wait = (caller.deadline - caller.arrival) / 3;
        world.at(world.nowMicros() + wait, [this, attempt] { timeOut(attempt); });
        if (!waiting.contains(connection)) {
            world.send(entry, connection, std::to_string(attempt), request);
        }
    }

    void timeOut(std::uint64_t attempt)
    {
        const auto found = tries.find(attempt);
        if (found == tries.end()) {
            return;
        }
        const NaiveTry tried = found->second;
        tries.erase(found);
        --inFlight;
        waiting.erase(tried.connection);
        world.close(entry, tried.connection);
        if (++retries[tried.request] <= 3) {
            sendTo(tried.request, pick(tried.request));
        } else {
            world.finish(tried.request, Outcome::MayHaveRun, 0);
        }
        pump();
    }

    void answered(std::uint64_t connection, const std::string &id, std::size_t answerOf,
                  traffic::ResponseKind kind)
    {
        idle[minionOf[connection]].push_back(connection);
        const auto found = tries.find(std::stoull(id));
        if (found == tries.end()) {
            return;
        }
        const std::size_t request = found->second.request;
        tries.erase(found);
        --inFlight;
        if (kind != traffic::ResponseKind::Ok && ++retries[request] <= 3) {
            sendTo(request, pick(request));
        } else {
            world.finish(request,
                         kind == traffic::ResponseKind::Ok ? Outcome::Answered : Outcome::Failed,
                         answerOf);
        }
        pump();
    }

    World &world;
    std::size_t entry;
    Random random;
    std::size_t room = 1;
    std::size_t inFlight = 0;
    std::uint64_t attempts = 0;
    std::uint64_t connections = 0;
    std::deque<std::size_t> queue;
    std::vector<std::vector<std::uint64_t>> idle;
    std::unordered_map<std::uint64_t, std::size_t> minionOf;
    std::unordered_map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> waiting;
    std::unordered_map<std::uint64_t, NaiveTry> tries;
    std::unordered_map<std::size_t, std::uint64_t> current;
    std::unordered_map<std::size_t, int> retries;
};

}  // namespace

EntryHost naiveEntryHost(World &world, std::size_t entry)
{
    auto host = std::make_shared<Naive>(world, entry);
    EntryHost functions;
    functions.admit = [host](std::size_t request) {
        host->queue.push_back(request);
        host->pump();
    };
    functions.connected = [host](std::uint64_t connection) {
        const auto found = host->waiting.find(connection);
        if (found != host->waiting.end()) {
            const auto [request, attempt] = found->second;
            host->waiting.erase(found);
            host->world.send(host->entry, connection, std::to_string(attempt), request);
        }
    };
    functions.connectionFailed = [](std::uint64_t) {};
    functions.answered = [host](std::uint64_t connection, const std::string &id,
                                std::size_t answerOf, traffic::ResponseKind kind,
                                const traffic::LoadReport &) {
        host->answered(connection, id, answerOf, kind);
    };
    functions.probed = [](std::uint64_t, const traffic::LoadReport &) {};
    functions.tick = [] {};
    return functions;
}

}  // namespace poplarstream::bench
