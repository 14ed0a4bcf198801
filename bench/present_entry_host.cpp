#include <memory>  // for make_shared
#include <variant>  // for visit

#include "poplarstream/traffic/state_view.hpp"  // for formatAttemptId
#include "poplarstream/traffic/urgent_path.hpp"  // for admit, tick, onResponse
#include "traffic_world.hpp"

namespace poplarstream::bench {

namespace {

using traffic::Actions;
using traffic::ConnectionNumber;
using traffic::RequestNumber;

template <class... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

traffic::TrafficSettings settingsOf(const World &world, std::size_t entry)
{
    const WorldSetup &setup = world.setup();
    traffic::TrafficSettings settings = setup.settings;
    const std::size_t zone = setup.entryZones[entry];
    settings.entryHost = EntryHostId("e" + std::to_string(entry));
    settings.ownZone = setup.zones[zone];
    settings.livePeers = static_cast<std::uint32_t>(setup.entryZones.size());
    for (std::size_t other = 0; other < setup.zones.size(); ++other) {
        settings.zones.push_back(
                {setup.zones[other], Milliseconds{(setup.roundTrip[zone][other] + 500) / 1000}});
    }
    return settings;
}

struct Present
{
    Present(World &worldOfHost, std::size_t index)
        : world(worldOfHost)
        , entry(index)
        , state(index + 1, index + 77)
    {
        const auto &minions = world.setup().settings.minions;
        for (std::size_t i = 0; i < minions.size(); ++i) {
            minionIndex[minions[i].id.text()] = i;
        }
    }

    // Carries the actions out. `answerOf` is the request whose answer is at hand.
    void perform(const Actions &actions, std::size_t answerOf)
    {
        const auto visitor =
                Overloaded{[&](const traffic::OpenConnection &a) {
                               world.open(entry, static_cast<std::uint64_t>(a.connection),
                                          minionIndex[a.minion.text()]);
                           },
                           [&](const traffic::Dispatch &a) {
                               world.send(entry, static_cast<std::uint64_t>(a.connection),
                                          formatAttemptId(state, a.attempt), callers[a.request]);
                           },
                           [&](const traffic::SendProbe &a) {
                               world.probe(entry, static_cast<std::uint64_t>(a.connection));
                           },
                           [&](const traffic::CloseConnection &a) {
                               world.close(entry, static_cast<std::uint64_t>(a.connection));
                           },
                           [&](const traffic::DeliverResponse &a) {
                               world.finish(callers[a.request], answerOutcome, answerOf);
                               callers.erase(a.request);
                           },
                           [&](const traffic::FailRequest &a) {
                               world.finish(callers[a.request],
                                            a.verdict == Verdict::NotRun ? Outcome::NotRun
                                                                         : Outcome::MayHaveRun,
                                            0);
                               callers.erase(a.request);
                           }};
        for (const auto &action : actions) {
            std::visit(visitor, action);
        }
    }

    World &world;
    std::size_t entry;
    Outcome answerOutcome = Outcome::Answered;
    traffic::TrafficState state;
    std::unordered_map<std::string, std::size_t> minionIndex;
    std::unordered_map<RequestNumber, std::size_t> callers;
};

}  // namespace

EntryHost presentEntryHost(World &world, std::size_t entry)
{
    auto host = std::make_shared<Present>(world, entry);
    // The network is not there before the world is; the first tick opens the connections.
    auto isConfigured = std::make_shared<bool>(false);
    const auto act = [host](std::size_t answerOf, auto &&command) {
        Actions out;
        command(host->state, host->world.now(), out);
        host->perform(out, answerOf);
    };
    EntryHost functions;
    functions.admit = [host](std::size_t index) {
        const CallerRequest &caller = host->world.request(index);
        const WorldSetup &setup = host->world.setup();
        const KindOfWork &work = setup.work[caller.kind];
        const traffic::Request request{setup.settings.services[work.service].id,
                                       setup.settings.tenants[caller.tenant].id, work.urgency,
                                       timePoint(caller.deadline / 1000), 500};
        Actions out;
        const RequestNumber number = traffic::admit(host->state, request, host->world.now(), out);
        host->callers[number] = index;
        host->perform(out, 0);
    };
    functions.connected = [act](std::uint64_t connection) {
        act(0, [&](auto &state, TimePoint now, Actions &out) {
            traffic::onConnected(state, static_cast<ConnectionNumber>(connection), now, out);
        });
    };
    functions.connectionFailed = [act](std::uint64_t connection) {
        act(0, [&](auto &state, TimePoint now, Actions &out) {
            traffic::onConnectionFailure(state, static_cast<ConnectionNumber>(connection), true,
                                         now, out);
        });
    };
    functions.answered = [act, host](std::uint64_t connection, const std::string &id,
                                     std::size_t answerOf, traffic::ResponseKind kind,
                                     const traffic::LoadReport &load) {
        host->answerOutcome =
                kind == traffic::ResponseKind::Ok ? Outcome::Answered : Outcome::Failed;
        act(answerOf, [&](auto &state, TimePoint now, Actions &out) {
            traffic::onResponse(state, static_cast<ConnectionNumber>(connection), {id, kind, load},
                                now, out);
        });
    };
    functions.probed = [act](std::uint64_t connection, const traffic::LoadReport &load) {
        act(0, [&](auto &state, TimePoint now, Actions &out) {
            traffic::onProbeResponse(state, static_cast<ConnectionNumber>(connection), true, load,
                                     now, out);
        });
    };
    functions.tick = [act, host, isConfigured] {
        act(0, [&](auto &state, TimePoint now, Actions &out) {
            if (!*isConfigured) {
                *isConfigured = true;
                traffic::configure(state, settingsOf(host->world, host->entry), now, out);
            }
            traffic::tick(state, now, out);
        });
    };
    return functions;
}

}  // namespace poplarstream::bench
