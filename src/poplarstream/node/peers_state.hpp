#pragma once

#include <algorithm>  // for max

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "peer_ports.hpp"  // for openTransport, peerAddress, knownPeers
#include "peer_requests.hpp"  // for forwardCall, takeRequest
#include "poplarstream/node/mailbox.hpp"  // for Mailbox
#include "poplarstream/node/peer_membership.hpp"  // for PeerMembership
#include "poplarstream/node/peer_messages.hpp"  // for peerMessageJson, readPeerMessage
#include "poplarstream/node/peer_view.hpp"  // for isSameView, peerChanges, stateHolders
#include "poplarstream/node/peers_duty.hpp"  // for PeersDuty
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for peerSeen, peerSuspected

namespace poplarstream {

inline constexpr Milliseconds tickPeriod{1'000};
// Evidence that arrives together is judged once.
inline constexpr Milliseconds evidenceDelay{20};
// A rack that leaves is more news than one heartbeat holds. Heartbeats out of turn, at most one
// each half second, bring all of it to the peers within 2 s of the first evidence; with one
// heartbeat a second, the last part came after 2,023 ms.
inline constexpr Milliseconds earlyHeartbeatAfter{500};
inline constexpr Milliseconds stateTimeout{10'000};
inline constexpr std::size_t mailboxSize = 4'096;

using PeerInput = std::variant<PeerMessage, MinionEvidence>;

struct PeersDuty::State : std::enable_shared_from_this<PeersDuty::State>
{
    State(DutyThread &dutyThread, PeersSettings peersSettings,
          std::function<bool(ControlInput &&)> sendInput)
        : thread(dutyThread)
        , settings(std::move(peersSettings))
        , send(std::move(sendInput))
        , known(makePeerMembership({settings.self, settings.zone}, settings.incarnation,
                                   knownPeers(settings.peers), clock.now()))
        , mailbox(dutyThread, "peers", mailboxSize,
                  [this](PeerInput &&input) {
                      std::visit([this](const auto &part) { take(part); }, input);
                  })
        , tickTimer(dutyThread.context())
        , evidenceTimer(dutyThread.context())
        , heartbeatTimer(dutyThread.context())
    {}

    Result<Address> listen()
    {
        const RequestPorts ports{clock, settings.zone, PeerSettings{}.requestBytes, send};
        const PeerHandlers handlers{
                .message =
                        [this](const nlohmann::json &json) {
                            // Throws for an unreadable message, which the transport then counts.
                            mailbox.trySend(readPeerMessage(json).value());
                        },
                .request = [ports](const nlohmann::json &json,
                                   const PeerReply &reply) { takeRequest(ports, json, reply); }};
        auto opened = openTransport(settings.listen, handlers);
        if (!opened) {
            return opened.failure();
        }
        transport.emplace(std::move(opened.value().transport));
        publishIfChanged(clock.now());
        after(tickTimer, Milliseconds{0}, &State::onTick);
        return opened.value().address;
    }

    // -- time --

    void onTick()
    {
        after(tickTimer, tickPeriod, &State::onTick);
        const TimePoint now = clock.now();
        advance(known, now);
        sendHeartbeats(now);
        const DigestRound round = takeDigests(known, now);
        post(round.targets, peerMessageJson(round.digest));
        logChanges(now);
        publishIfChanged(now);
    }

    // Calls `action` on the duty's thread after the delay, unless the duty has ended.
    void after(boost::asio::steady_timer &timer, Milliseconds delay, void (State::*action)())
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), action](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self) {
                (self.get()->*action)();
            }
        });
    }

    // Judges new evidence shortly after it came.
    void judgeSoon()
    {
        if (!std::exchange(isJudgePending, true)) {
            after(evidenceTimer, evidenceDelay, &State::judge);
        }
    }

    void judge()
    {
        isJudgePending = false;
        publishIfChanged(clock.now());
    }

    // Sends a heartbeat out of turn, for news that the peers do not have yet.
    void hurryHeartbeat()
    {
        if (!std::exchange(isHurrying, true)) {
            const Milliseconds wait = lastHeartbeat + earlyHeartbeatAfter - clock.now();
            after(heartbeatTimer, std::max(evidenceDelay, wait), &State::heartbeatOutOfTurn);
        }
    }

    void heartbeatOutOfTurn()
    {
        isHurrying = false;
        const TimePoint now = clock.now();
        if (now - lastHeartbeat >= earlyHeartbeatAfter) {
            sendHeartbeats(now);
        } else if (hasNews) {
            hurryHeartbeat();
        }
    }

    // -- messages and evidence --

    void sendHeartbeats(TimePoint now)
    {
        lastHeartbeat = now;
        std::vector<EntryHostId> targets;
        for (const auto &[id, peer] : settings.peers) {
            if (peer.zone == settings.zone && id != settings.self) {
                targets.push_back(id);
            }
        }
        const membership::Heartbeat heartbeat = takeHeartbeat(known, now);
        post(targets, peerMessageJson(heartbeat));
        hasNews = heartbeat.gossipUpdates.size() >= membership::maxGossipUpdates;
        if (hasNews) {
            hurryHeartbeat();
        }
    }

    void post(const std::vector<EntryHostId> &targets, const nlohmann::json &message)
    {
        for (const EntryHostId &target : targets) {
            transport->post(peerAddress(settings.peers.at(target).address), message);
        }
    }

    void take(const PeerMessage &message)
    {
        if (receive(known, message, clock.now())) {
            judgeSoon();
        }
    }

    void take(const MinionEvidence &seen)
    {
        if (poplarstream::note(known, seen, clock.now())) {
            hasNews = true;
            judgeSoon();
            hurryHeartbeat();
        }
    }

    void setLeaving()
    {
        known.isLeaving = true;
        const TimePoint now = clock.now();
        sendHeartbeats(now);
        publishIfChanged(now);
    }

    void setPeers(std::map<EntryHostId, PeerSetting> peers)
    {
        for (const auto &[id, old] : settings.peers) {
            const auto found = peers.find(id);
            if (found == peers.end() || found->second.address != old.address) {
                transport->forget(peerAddress(old.address));
            }
        }
        settings.peers = std::move(peers);
        membership::setKnownPeers(known.table, knownPeers(settings.peers));
        publishIfChanged(clock.now());
    }

    // -- views --

    void publishIfChanged(TimePoint now)
    {
        // A pause of this process must not look like silence of its peers.
        membership::advance(known.table, now);
        PeerView next = viewOf(known, now);
        if (published && isSameView(*published, next)) {
            return;
        }
        // A view that a full mailbox refuses differs from `published` at the next tick, too.
        if (send(PeerView(next))) {
            published = std::move(next);
        }
    }

    void logChanges(TimePoint now)
    {
        SeenPeers after = seenPeers(known.table, now);
        const PeerChanges changes = peerChanges(seenBefore, after, known.table);
        for (const EntryHostId &peer : changes.seen) {
            logEvent(events::peerSeen,
                     {{"peer", peer.text()}, {"incarnation", fmt::format("{}", after.at(peer))}});
        }
        for (const EntryHostId &peer : changes.suspected) {
            logEvent(events::peerSuspected, {{"peer", peer.text()}});
        }
        seenBefore = std::move(after);
    }

    // -- requests --

    void forward(const EntryHostId &peer, RunCall call)
    {
        const auto found = settings.peers.find(peer);
        if (found == settings.peers.end()) {
            refuseCall(call, "the entry host of the run's zone is not known");
            return;
        }
        forwardCall(*transport, peerAddress(found->second.address), std::move(call), clock.now());
    }

    void askState(const std::string &stream)
    {
        const auto holders = stateHolders(known.table, stream, clock.now());
        if (holders.empty() || pendingStates.contains(stream)) {
            return;
        }
        const EntryHostId &peer = holders[stateAsks++ % holders.size()];
        const bool isSent = transport->ask(
                peerAddress(settings.peers.at(peer).address), peerRequestJson(StateRequest{stream}),
                stateTimeout, [weak = weak_from_this(), stream](const nlohmann::json *reply) {
                    if (const auto self = weak.lock()) {
                        self->onStateReply(stream, reply);
                    }
                });
        if (isSent) {
            pendingStates.insert(stream);
        }
    }

    // On a thread of the transport.
    void onStateReply(const std::string &stream, const nlohmann::json *reply)
    {
        if (reply != nullptr) {
            if (auto text = readStateReply(*reply)) {
                // The control duty asks again when its mailbox is full now.
                send(PeerState{stream, std::move(text).value()});
            }
        }
        thread.post([weak = weak_from_this(), stream] {
            if (const auto self = weak.lock()) {
                self->pendingStates.erase(stream);
            }
        });
    }

    DutyThread &thread;
    PeersSettings settings;
    std::function<bool(ControlInput &&)> send;
    ProcessClock clock;
    PeerMembership known;
    bool hasNews = false;  // that the last heartbeat did not hold
    bool isJudgePending = false;
    bool isHurrying = false;
    TimePoint lastHeartbeat;
    std::optional<PeerView> published;
    SeenPeers seenBefore;
    std::set<std::string> pendingStates;
    std::size_t stateAsks = 0;
    Mailbox<PeerInput> mailbox;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer evidenceTimer;
    boost::asio::steady_timer heartbeatTimer;
    std::optional<PeerTransport> transport;
};

}  // namespace poplarstream
