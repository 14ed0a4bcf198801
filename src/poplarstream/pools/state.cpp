#include "poplarstream/pools/state.hpp"

namespace poplarstream::pools {

std::optional<ServiceId> standbyPool(const engine::Engine &engine)
{
    for (const auto &[id, service] : engine.services) {
        if (service.isStandby) {
            return id;
        }
    }
    return {};
}

engine::Worker *workerOf(engine::Engine &engine, const Machine &machine)
{
    const auto incarnation = engine.newestIncarnations.find(machine.worker);
    if (incarnation == engine.newestIncarnations.end()) {
        return nullptr;
    }
    const auto worker = engine.workers.find(incarnation->second);
    return worker == engine.workers.end() ? nullptr : &worker->second;
}

bool isEmpty(const engine::Worker *worker)
{
    return worker == nullptr || (worker->attempts.empty() && worker->unexpectedAttempts.empty());
}

}  // namespace poplarstream::pools
