#include "poplarstream/runs/worker_view.hpp"

#include <algorithm>  // for lower_bound, binary_search

namespace poplarstream {

const WorkerView *findWorker(const FleetView &fleet, const HostId &host)
{
    const auto found = std::lower_bound(
            fleet.workers.begin(), fleet.workers.end(), host,
            [](const WorkerView &worker, const HostId &id) { return worker.host < id; });
    return found != fleet.workers.end() && found->host == host ? &*found : nullptr;
}

bool serves(const WorkerView &worker, const ServiceId &service)
{
    return std::binary_search(worker.services.begin(), worker.services.end(), service);
}

bool fitsInto(const Resources &required, const Resources &available)
{
    return required.cpus <= available.cpus && required.memoryMegabytes <= available.memoryMegabytes
           && required.accelerators <= available.accelerators;
}

}  // namespace poplarstream
