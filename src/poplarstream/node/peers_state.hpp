#pragma once

#include <algorithm>  // for max

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "peer_ports.hpp"  // for openTransport, peerAddress, knownPeers
#include "peer_requests.hpp"  // for forwardCall, handlePeerRequest
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
// Evidence that arrives within this time is assessed together.
inline constexpr Milliseconds evidenceDelay{20};
// The evidence on a leaving rack does not fit into one heartbeat. Early heartbeats, at most one per
// half second, deliver all of it to the peers within 2 s of the first evidence; with one heartbeat
// per second, the last part arrived after 2,023 ms.
inline constexpr Milliseconds earlyHeartbeatInterval{500};
inline constexpr Milliseconds stateTimeout{10'000};
inline constexpr std::size_t mailboxCapacity = 4'096;

using PeerInput = std::variant<PeerMessage, MinionEvidence>;

struct PeersDuty::State : std::enable_shared_from_this<PeersDuty::State>
{
    State(DutyThread &dutyThread, PeersSettings peersSettings,
          std::function<bool(ControlInput &&)> sendInput)
        : thread(dutyThread)
        , settings(std::move(peersSettings))
        , send(std::move(sendInput))
        , membership(makePeerMembership({settings.self, settings.zone}, settings.incarnation,
                                        knownPeers(settings.peers), clock.now()))
        , mailbox(dutyThread, "peers", mailboxCapacity,
                  [this](PeerInput &&input) {
                      std::visit([this](const auto &part) { handle(part); }, input);
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
                            // Throws if the message is unreadable; the transport counts that.
                            mailbox.trySend(readPeerMessage(json).value());
                        },
                .request =
                        [ports](const nlohmann::json &json, const PeerReply &reply) {
                            handlePeerRequest(ports, json, reply);
                        }};
        auto opened = openTransport(settings.listen, handlers);
        if (!opened) {
            return opened.failure();
        }
        transport.emplace(std::move(opened.value().transport));
        publishIfChanged(clock.now());
        schedule(tickTimer, Milliseconds{0}, &State::onTick);
        return opened.value().address;
    }

    // -- timers --

    void onTick()
    {
        schedule(tickTimer, tickPeriod, &State::onTick);
        const TimePoint now = clock.now();
        advance(membership, now);
        sendHeartbeats(now);
        const DigestRound round = prepareDigests(membership, now);
        post(round.targets, peerMessageJson(round.digest));
        logChanges(now);
        publishIfChanged(now);
    }

    // Calls `action` on the duty's thread after the delay, unless the duty has been destroyed.
    void schedule(boost::asio::steady_timer &timer, Milliseconds delay, void (State::*action)())
    {
        timer.expires_after(delay);
        timer.async_wait([weak = weak_from_this(), action](boost::system::error_code error) {
            const auto self = weak.lock();
            if (!error && self) {
                (self.get()->*action)();
            }
        });
    }

    // Assesses new evidence after a short delay.
    void scheduleAssessment()
    {
        if (!std::exchange(isAssessmentPending, true)) {
            schedule(evidenceTimer, evidenceDelay, &State::assessEvidence);
        }
    }

    void assessEvidence()
    {
        isAssessmentPending = false;
        publishIfChanged(clock.now());
    }

    // Sends the next heartbeat early, because there is evidence that the peers do not have yet.
    void scheduleEarlyHeartbeat()
    {
        if (!std::exchange(isEarlyHeartbeatPending, true)) {
            const Milliseconds wait = lastHeartbeat + earlyHeartbeatInterval - clock.now();
            schedule(heartbeatTimer, std::max(evidenceDelay, wait), &State::sendEarlyHeartbeat);
        }
    }

    void sendEarlyHeartbeat()
    {
        isEarlyHeartbeatPending = false;
        const TimePoint now = clock.now();
        if (now - lastHeartbeat >= earlyHeartbeatInterval) {
            sendHeartbeats(now);
        } else if (hasUnsentEvidence) {
            scheduleEarlyHeartbeat();
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
        const membership::Heartbeat heartbeat = prepareHeartbeat(membership, now);
        post(targets, peerMessageJson(heartbeat));
        hasUnsentEvidence = heartbeat.gossipUpdates.size() >= membership::maxGossipUpdates;
        if (hasUnsentEvidence) {
            scheduleEarlyHeartbeat();
        }
    }

    void post(const std::vector<EntryHostId> &targets, const nlohmann::json &message)
    {
        for (const EntryHostId &target : targets) {
            transport->post(peerAddress(settings.peers.at(target).address), message);
        }
    }

    void handle(const PeerMessage &message)
    {
        if (receive(membership, message, clock.now())) {
            scheduleAssessment();
        }
    }

    void handle(const MinionEvidence &seen)
    {
        if (poplarstream::recordMinionEvidence(membership, seen, clock.now())) {
            hasUnsentEvidence = true;
            scheduleAssessment();
            scheduleEarlyHeartbeat();
        }
    }

    void setLeaving()
    {
        membership.isLeaving = true;
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
        membership::setKnownPeers(membership.table, knownPeers(settings.peers));
        publishIfChanged(clock.now());
    }

    // -- views --

    void publishIfChanged(TimePoint now)
    {
        // After a pause of this process, its peers must not be considered unreachable.
        membership::advance(membership.table, now);
        PeerView next = viewOf(membership, now);
        if (published && isSameView(*published, next)) {
            return;
        }
        // If the mailbox is full, `published` stays unchanged and the next tick sends the view
        // again.
        if (send(PeerView(next))) {
            published = std::move(next);
        }
    }

    void logChanges(TimePoint now)
    {
        SeenPeers after = seenPeers(membership.table, now);
        const PeerChanges changes = peerChanges(lastSeenPeers, after, membership.table);
        for (const EntryHostId &peer : changes.seen) {
            logEvent(events::peerSeen,
                     {{"peer", peer.text()}, {"incarnation", fmt::format("{}", after.at(peer))}});
        }
        for (const EntryHostId &peer : changes.suspected) {
            logEvent(events::peerSuspected, {{"peer", peer.text()}});
        }
        lastSeenPeers = std::move(after);
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

    void requestState(const std::string &stream)
    {
        const auto holders = stateHolders(membership.table, stream, clock.now());
        if (holders.empty() || pendingStateRequests.contains(stream)) {
            return;
        }
        const EntryHostId &peer = holders[stateRequestCount++ % holders.size()];
        const bool isSent = transport->sendRequest(
                peerAddress(settings.peers.at(peer).address), peerRequestJson(StateRequest{stream}),
                stateTimeout, [weak = weak_from_this(), stream](const nlohmann::json *reply) {
                    if (const auto self = weak.lock()) {
                        self->onStateReply(stream, reply);
                    }
                });
        if (isSent) {
            pendingStateRequests.insert(stream);
        }
    }

    // Runs on a thread of the transport.
    void onStateReply(const std::string &stream, const nlohmann::json *reply)
    {
        if (reply != nullptr) {
            if (auto text = readStateReply(*reply)) {
                // If its mailbox is full, the control duty requests the state again.
                send(PeerState{stream, std::move(text).value()});
            }
        }
        thread.post([weak = weak_from_this(), stream] {
            if (const auto self = weak.lock()) {
                self->pendingStateRequests.erase(stream);
            }
        });
    }

    DutyThread &thread;
    PeersSettings settings;
    std::function<bool(ControlInput &&)> send;
    ProcessClock clock;
    PeerMembership membership;
    bool hasUnsentEvidence = false;  // that the last heartbeat did not contain
    bool isAssessmentPending = false;
    bool isEarlyHeartbeatPending = false;
    TimePoint lastHeartbeat;
    std::optional<PeerView> published;
    SeenPeers lastSeenPeers;
    std::set<std::string> pendingStateRequests;
    std::size_t stateRequestCount = 0;
    Mailbox<PeerInput> mailbox;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer evidenceTimer;
    boost::asio::steady_timer heartbeatTimer;
    std::optional<PeerTransport> transport;
};

}  // namespace poplarstream
