#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <span>  // for span

#include "poplarstream/node/callers_duty.hpp"  // for CallersDuty
#include "poplarstream/node/control_duty.hpp"  // for DemandReport
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread
#include "poplarstream/node/serving_view.hpp"  // for ServingView

namespace poplarstream {

// Estimates the demand on each pool, in hosts, from the requests in progress at one entry host. The
// load balancer spreads callers evenly, so the total is about `livePeers` times the local demand.
PoolDemands estimateDemand(const ServingView &view, std::span<const traffic::ServiceView> services);

// Updates the demands. The sustained demand is an exponential moving average of the current one
// with a time constant of two minutes. `elapsed` is the time since the last update.
void updateDemand(PoolDemands &demands, const PoolDemands &now, Milliseconds elapsed);

// Reads the load of the callers duty every two seconds and reports the demand on each pool.
class DemandProbe
{
public:
    DemandProbe(DutyThread &thread, CallersDuty &callers, std::function<void(DemandReport)> report);
    ~DemandProbe();
    DemandProbe(const DemandProbe &) = delete;
    DemandProbe &operator=(const DemandProbe &) = delete;

    // Must be called before the thread starts.
    void start();

    // Must be called on the thread of the probe.
    void setView(std::shared_ptr<const ServingView> view);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
