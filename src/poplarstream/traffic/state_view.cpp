#include "poplarstream/traffic/state_view.hpp"

#include <fmt/format.h>  // for format

namespace poplarstream::traffic {

std::string formatRequestId(const TrafficState &state, RequestNumber request)
{
    return fmt::format("{:x}-{:x}", state.incarnation, static_cast<std::uint64_t>(request));
}

std::string formatAttemptId(const TrafficState &state, AttemptNumber attempt)
{
    return fmt::format("{:x}-{:x}", state.incarnation, static_cast<std::uint64_t>(attempt));
}

bool isIdle(const TrafficState &state)
{
    return state.requests.size() == 0;
}

std::vector<MinionView> minionViews(const TrafficState &state)
{
    std::vector<MinionView> views;
    for (const Minion &minion : state.minions) {
        if (minion.configured) {
            views.push_back({minion.settings.id, minion.inFlight, minion.limit,
                             static_cast<std::uint32_t>(minion.connections.size()),
                             minion.reachable, minion.leaving, minion.ejected});
        }
    }
    return views;
}

std::vector<ServiceView> serviceViews(const TrafficState &state)
{
    std::vector<ServiceView> views;
    for (const Service &service : state.services) {
        std::uint32_t reachable = 0;
        for (const auto *group : {&service.ownZoneMinions, &service.remoteMinions}) {
            for (const MinionIndex index : *group) {
                reachable += state.minions[index].reachable ? 1 : 0;
            }
        }
        if (service.configured) {
            views.push_back({service.settings.id, service.queue.count, service.inFlight,
                             service.serviceTime.mean, reachable});
        }
    }
    return views;
}

}  // namespace poplarstream::traffic
