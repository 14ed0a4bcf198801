#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <span>  // for span

#include "poplarstream/node/callers_duty.hpp"  // for CallersDuty
#include "poplarstream/node/control_duty.hpp"  // for DemandReport
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread
#include "poplarstream/node/serving_view.hpp"  // for ServingView

namespace poplarstream {

// What the pools are asked for, in hosts, from the requests in progress of one entry host. The
// balancer spreads callers evenly, so the whole demand is about `livePeers` times its part.
PoolDemands estimateDemand(const ServingView &view, std::span<const traffic::ServiceView> services);

// The sustained demand follows the present one as a mean over about two minutes. `elapsed` is the
// time since the last update.
void updateDemand(PoolDemands &demands, const PoolDemands &now, Milliseconds elapsed);

// Asks the callers duty for its load every few seconds and reports the demand of each pool.
class DemandProbe
{
public:
    DemandProbe(DutyThread &thread, CallersDuty &callers, std::function<void(DemandReport)> report);
    ~DemandProbe();
    DemandProbe(const DemandProbe &) = delete;
    DemandProbe &operator=(const DemandProbe &) = delete;

    // Call before the thread starts.
    void start();

    // On the thread of the probe.
    void setView(std::shared_ptr<const ServingView> view);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
