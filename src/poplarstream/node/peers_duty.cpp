#include "poplarstream/node/peers_duty.hpp"

#include "peers_state.hpp"  // for PeersDuty::State

namespace poplarstream {

PeersDuty::PeersDuty(DutyThread &thread, PeersSettings settings,
                     std::function<bool(ControlInput &&)> send)
    : state_(std::make_shared<State>(thread, std::move(settings), std::move(send)))
{}

PeersDuty::~PeersDuty()
{
    // Waits for running handlers, which use the other members and the control duty. Posted actions
    // that never ran may keep the rest of the state alive a little longer.
    state_->transport.reset();
}

Result<Address> PeersDuty::listen()
{
    return state_->listen();
}

void PeersDuty::setPeers(std::map<EntryHostId, PeerSetting> peers)
{
    state_->thread.post([state = state_, peers = std::move(peers)]() mutable {
        state->setPeers(std::move(peers));
    });
}

void PeersDuty::forward(EntryHostId peer, RunCall call)
{
    state_->thread.post([state = state_, peer = std::move(peer), call = std::move(call)]() mutable {
        state->forward(peer, std::move(call));
    });
}

void PeersDuty::requestState(std::string stream)
{
    state_->thread.post(
            [state = state_, stream = std::move(stream)] { state->requestState(stream); });
}

void PeersDuty::setLogState(std::vector<ZoneId> lostZones, bool isLogReachable)
{
    state_->thread.post(
            [state = state_, lostZones = std::move(lostZones), isLogReachable]() mutable {
                state->membership.lostZones = std::move(lostZones);
                state->membership.isLogReachable = isLogReachable;
            });
}

void PeersDuty::recordMinionEvidence(MinionEvidence evidence)
{
    state_->mailbox.trySend(std::move(evidence));
}

void PeersDuty::setSubjects(std::shared_ptr<const ServingView> view)
{
    state_->thread.post([state = state_, view = std::move(view)]() mutable {
        state->membership.subjects = std::move(view);
    });
}

void PeersDuty::recordPlatformState(std::vector<PlatformHost> hosts)
{
    state_->thread.post([state = state_, hosts = std::move(hosts)] {
        poplarstream::recordPlatformState(state->membership, hosts, state->clock.now());
        state->scheduleAssessment();
    });
}

void PeersDuty::setLeaving()
{
    state_->thread.post([state = state_] { state->setLeaving(); });
}

}  // namespace poplarstream
