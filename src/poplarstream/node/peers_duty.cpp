#include "poplarstream/node/peers_duty.hpp"

#include <boost/asio/steady_timer.hpp>  // for steady_timer

#include "poplarstream/node/caller_request.hpp"  // for errorResponse
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock

namespace poplarstream {

struct PeersDuty::State : std::enable_shared_from_this<PeersDuty::State>
{
    State(DutyThread &dutyThread, PeersSettings peersSettings,
          std::function<bool(ControlInput &&)> sendInput)
        : thread(dutyThread)
        , settings(std::move(peersSettings))
        , send(std::move(sendInput))
    {}

    void publishView()
    {
        PeerView view;
        view.zoneLive = {settings.self};
        view.allLive = {settings.self};
        for (const auto &[id, peer] : settings.peers) {
            view.zones[id] = peer.zone;
        }
        view.zones[settings.self] = settings.zone;
        send(std::move(view));
    }

    DutyThread &thread;
    PeersSettings settings;
    std::function<bool(ControlInput &&)> send;
};

PeersDuty::PeersDuty(DutyThread &thread, PeersSettings settings,
                     std::function<bool(ControlInput &&)> send)
    : state_(std::make_shared<State>(thread, std::move(settings), std::move(send)))
{}

PeersDuty::~PeersDuty() = default;

Result<Address> PeersDuty::listen()
{
    state_->publishView();
    return state_->settings.listen;
}

void PeersDuty::forward(EntryHostId, RunCall call)
{
    std::visit(
            [](const auto &request) {
                request.reply(errorResponse(503, Verdict::NotRun, "no peer can be reached"));
            },
            call);
}

void PeersDuty::askState(std::string) {}

void PeersDuty::tell(std::vector<ZoneId>, bool) {}

void PeersDuty::note(MinionEvidence) {}

void PeersDuty::setSubjects(std::shared_ptr<const ServingView>) {}

void PeersDuty::note(std::vector<PlatformHost>) {}

void PeersDuty::setLeaving() {}

}  // namespace poplarstream
