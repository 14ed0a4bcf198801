#include "poplarstream/node/demand_probe.hpp"

#include <algorithm>  // for find, max
#include <cmath>  // for exp
#include <map>  // for map

#include <boost/asio/steady_timer.hpp>  // for steady_timer

namespace poplarstream {

namespace {

constexpr Milliseconds probePeriod{2'000};
constexpr Milliseconds sustainedTime{120'000};

}  // namespace

PoolDemands estimateDemand(const ServingView &view, std::span<const traffic::ServiceView> services)
{
    // Configured slots and hosts of each pool. A host without minions does not count.
    std::map<PoolId, double> slots;
    std::map<PoolId, double> hosts;
    for (const HostConfig &host : view.configuration->hosts) {
        if (!host.minions.empty()) {
            slots[host.pool] += static_cast<double>(host.slots * host.minions.size());
            hosts[host.pool] += 1;
        }
    }
    PoolDemands demands;
    for (const PoolConfig &pool : view.configuration->pools) {
        double busy = 0;
        for (const traffic::ServiceView &service : services) {
            const bool isServed = std::find(pool.services.begin(), pool.services.end(), service.id)
                                  != pool.services.end();
            busy += isServed ? service.queued + service.inFlight : 0;
        }
        const double slotsPerHost = hosts[pool.id] > 0 ? slots[pool.id] / hosts[pool.id] : 0;
        const double hostsNeeded =
                slotsPerHost > 0 ? busy * view.traffic.livePeers / slotsPerHost : 0;
        demands[pool.id] = {hostsNeeded, hostsNeeded};
    }
    return demands;
}

void updateDemand(PoolDemands &demands, const PoolDemands &now, Milliseconds elapsed)
{
    const double keep = std::exp(-static_cast<double>(elapsed.count())
                                 / static_cast<double>(sustainedTime.count()));
    for (const auto &[pool, demand] : now) {
        PoolDemand &known = demands[pool];
        known.now = demand.now;
        known.sustained = keep * known.sustained + (1 - keep) * demand.now;
    }
    std::erase_if(demands, [&](const auto &entry) { return !now.contains(entry.first); });
}

struct DemandProbe::State : std::enable_shared_from_this<DemandProbe::State>
{
    State(DutyThread &dutyThread, CallersDuty &callersDuty,
          std::function<void(DemandReport)> onReport)
        : thread(dutyThread)
        , callers(callersDuty)
        , report(std::move(onReport))
        , timer(dutyThread.context())
    {}

    void schedule()
    {
        timer.expires_after(probePeriod);
        timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (error || !self) {
                return;
            }
            self->schedule();
            self->probe();
        });
    }

    void probe()
    {
        if (!view) {
            return;
        }
        callers.report("", [self = shared_from_this()](const CallersReport &callersReport) {
            self->thread.post([self, services = callersReport.services] {
                updateDemand(self->demands, estimateDemand(*self->view, services), probePeriod);
                self->report({self->demands});
            });
        });
    }

    DutyThread &thread;
    CallersDuty &callers;
    std::function<void(DemandReport)> report;
    boost::asio::steady_timer timer;
    std::shared_ptr<const ServingView> view;
    PoolDemands demands;
};

DemandProbe::DemandProbe(DutyThread &thread, CallersDuty &callers,
                         std::function<void(DemandReport)> report)
    : state_(std::make_shared<State>(thread, callers, std::move(report)))
{}

DemandProbe::~DemandProbe() = default;

void DemandProbe::start()
{
    state_->schedule();
}

void DemandProbe::setView(std::shared_ptr<const ServingView> view)
{
    state_->view = std::move(view);
}

}  // namespace poplarstream
