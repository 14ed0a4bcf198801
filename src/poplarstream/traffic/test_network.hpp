#pragma once

#include <algorithm>  // for none_of
#include <map>  // for map
#include <set>  // for set
#include <string>  // for to_string
#include <vector>  // for vector

#include "poplarstream/traffic/state_view.hpp"  // for formatAttemptId
#include "poplarstream/traffic/urgent_path.hpp"  // for configure, admit, tick

namespace poplarstream::traffic {

// An entry host on a simulated network. Records all actions and every violation of the guarantees
// that hold under any sequence of events.
struct TestNetwork
{
    struct Sent
    {
        RequestNumber request{};
        ConnectionNumber connection{};
        MinionId minion;
    };

    // Minions m0, m1, ... in zone a (zone b from `firstRemote` on), services "once" (not
    // idempotent) and "again" (idempotent), tenants t0 ... t3.
    explicit TestNetwork(std::size_t minions, std::size_t firstRemote = ~std::size_t{0})
        : state(0xabc, 7)
    {
        settings.entryHost = EntryHostId("e");
        settings.ownZone = ZoneId("a");
        settings.services = {{ServiceId("once"), false, 1, Milliseconds{20}},
                             {ServiceId("again"), true, 1, Milliseconds{20}}};
        settings.pools = {{PoolId("p"), {ServiceId("once"), ServiceId("again")}}};
        settings.zones = {{ZoneId("a"), Milliseconds{0}}, {ZoneId("b"), Milliseconds{1}}};
        for (std::size_t i = 0; i < 4; ++i) {
            settings.tenants.push_back({AccountId("t" + std::to_string(i)), 1, 0});
        }
        for (std::size_t i = 0; i < minions; ++i) {
            settings.minions.push_back({MinionId("m" + std::to_string(i)), PoolId("p"),
                                        ZoneId(i < firstRemote ? "a" : "b"), 8, 64});
        }
    }

    void start()
    {
        configure(state, settings, now, actions);
        runActions();
        connectAll();
        advance(20);
    }

    // Establishes all pending connections and responds to all pending probes.
    void connectAll()
    {
        for (int i = 0; i < 3; ++i) {
            for (const ConnectionNumber connection : std::set(connecting)) {
                connecting.erase(connection);
                onConnected(state, connection, now, actions);
                runActions();
            }
            respondToProbes();
        }
    }

    void respondToProbes()
    {
        for (const ConnectionNumber connection : std::set(probing)) {
            probing.erase(connection);
            onProbeResponse(state, connection, true, {1, 8, leaving.contains(open[connection])},
                            now, actions);
            runActions();
        }
    }

    RequestNumber submit(const std::string &service, std::size_t tenant, int deadline)
    {
        const bool isNonIdempotent = service == "once";
        const RequestNumber number =
                admit(state,
                      {ServiceId(service), AccountId("t" + std::to_string(tenant)), 0,
                       now + Milliseconds{deadline}, 10},
                      now, actions);
        deadlines[number] = now + Milliseconds{deadline};
        if (isNonIdempotent) {
            nonIdempotent.insert(number);
        }
        runActions();
        return number;
    }

    // Sends a response with the id of `attempt` on `connection`.
    void respond(AttemptNumber attempt, ConnectionNumber connection,
                 ResponseKind kind = ResponseKind::Ok, const LoadReport &load = {})
    {
        const std::string text = formatAttemptId(state, attempt);
        const Sent target = sent.contains(attempt) ? sent[attempt] : Sent{};
        respondingTo = target.request;
        onResponse(state, connection, {text, kind, load}, now, actions);
        if (kind == ResponseKind::Refused) {
            possiblyStarted[target.request].erase(attempt);
        }
        sent.erase(attempt);
        runActions();
        respondingTo = {};
    }

    void respondOnOwnConnection(AttemptNumber attempt, ResponseKind kind = ResponseKind::Ok,
                                const LoadReport &load = {})
    {
        respond(attempt, sent[attempt].connection, kind, load);
    }

    void fail(ConnectionNumber connection, bool bytesSent)
    {
        connecting.erase(connection);
        probing.erase(connection);
        open.erase(connection);
        // A request with a response on another connection was sent.
        bytesSent = bytesSent || std::none_of(sent.begin(), sent.end(), [&](const auto &entry) {
                        return entry.second.connection == connection;
                    });
        for (auto it = sent.begin(); it != sent.end();) {
            if (it->second.connection == connection) {
                if (!bytesSent) {
                    possiblyStarted[it->second.request].erase(it->first);
                }
                it = sent.erase(it);
            } else {
                ++it;
            }
        }
        onConnectionFailure(state, connection, bytesSent, now, actions);
        runActions();
    }

    void advance(int milliseconds)
    {
        now += Milliseconds{milliseconds};
        tick(state, now, actions);
        runActions();
    }

    // Performs the requested actions, in order.
    void runActions()
    {
        for (const Action &action : std::exchange(actions, {})) {
            if (const auto *a = std::get_if<OpenConnection>(&action)) {
                connecting.insert(a->connection);
                open[a->connection] = a->minion;
            } else if (const auto *b = std::get_if<Dispatch>(&action)) {
                recordDispatch(*b);
            } else if (const auto *c = std::get_if<SendProbe>(&action)) {
                probing.insert(c->connection);
            } else if (const auto *d = std::get_if<CloseConnection>(&action)) {
                connecting.erase(d->connection);
                probing.erase(d->connection);
                open.erase(d->connection);
            } else if (const auto *e = std::get_if<DeliverResponse>(&action)) {
                violations += completions[e->request]++ > 0 ? "two results; " : "";
                violations += e->request != respondingTo ? "response to another request; " : "";
            } else if (const auto *f = std::get_if<FailRequest>(&action)) {
                violations += completions[f->request]++ > 0 ? "two results; " : "";
                const bool mayHaveRun = !possiblyStarted[f->request].empty();
                violations += f->verdict == Verdict::NotRun && mayHaveRun
                                      ? "wrong verdict not-run; "
                                      : "";
                finished.push_back(*f);
            }
        }
    }

    void recordDispatch(const Dispatch &dispatch)
    {
        ++dispatched;
        dispatchedRequests.insert(dispatch.request);
        auto &attempts = possiblyStarted[dispatch.request];
        violations += nonIdempotent.contains(dispatch.request) && !attempts.empty()
                              ? "may run twice; "
                              : "";
        violations += leaving.contains(dispatch.minion) ? "sent to a leaving minion; " : "";
        violations += completions[dispatch.request] > 0 ? "sent after its result; " : "";
        // A dispatch within admit() has no deadline yet, since admit() has not returned the number.
        violations += deadlines.contains(dispatch.request) && now > deadlines[dispatch.request]
                              ? "sent after its deadline; "
                              : "";
        violations += !open.contains(dispatch.connection) ? "sent on a closed connection; " : "";
        for (const auto &[attempt, other] : sent) {
            violations += other.connection == dispatch.connection ? "connection in use; " : "";
        }
        attempts.insert(dispatch.attempt);
        sent[dispatch.attempt] = {dispatch.request, dispatch.connection, dispatch.minion};
    }

    TrafficState state;
    TrafficSettings settings;
    TimePoint now = timePoint(1000);
    Actions actions;
    std::set<ConnectionNumber> connecting;
    std::set<ConnectionNumber> probing;
    std::map<ConnectionNumber, MinionId> open;
    std::map<AttemptNumber, Sent> sent;
    std::map<RequestNumber, std::set<AttemptNumber>> possiblyStarted;  // sent and not refused
    std::map<RequestNumber, int> completions;
    std::map<RequestNumber, TimePoint> deadlines;
    std::set<RequestNumber> nonIdempotent;
    std::set<RequestNumber> dispatchedRequests;  // sent at least once
    std::set<MinionId> leaving;
    std::vector<FailRequest> finished;
    RequestNumber respondingTo{};
    std::uint64_t dispatched = 0;
    std::string violations;
};

}  // namespace poplarstream::traffic
