#include "poplarstream/engine/placement.hpp"

#include <algorithm>  // for find
#include <tuple>  // for tuple, make_tuple

#include "poplarstream/engine/attempts.hpp"  // for capacityUsedBy, stepOf

namespace poplarstream::engine {

namespace {

template <class Map, class Key>
int countAt(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

// Fillers disturb the tasks that serve beside them, so the two are kept apart.
bool disturbs(const Site &site, const jobs::StepSpec &step)
{
    return (step.fills && site.hostsServing)
           || (step.target > Milliseconds{0} && site.hostsFillers);
}

// Smaller is better. Nothing goes where it has to be moved away from soon. Long-running tasks share
// workers with others of their kind, but spread over racks; all fill the fullest worker, so that
// idle workers can be given away.
std::tuple<int, int, int, int, std::int64_t> costOf(const Site &site, const jobs::StepSpec &step,
                                                    const Spread &spread)
{
    const WorkerEntry &entry = site.worker->entry;
    const bool isRemote = !step.affinityRack.empty() && entry.rack.text() != step.affinityRack;
    const int onRack = step.longRunning ? countAt(spread.onRack, entry.rack) : 0;
    const bool isFresh = step.longRunning && !site.hostsLasting;
    return {isRemote ? 1 : 0, site.worker->isDueForMaintenance ? 1 : 0, isFresh ? 1 : 0, onRack,
            site.room.cpuMilli};
}

}  // namespace

std::vector<Site> openSites(Engine &engine, const ServiceId &service, TimePoint now)
{
    std::vector<Site> sites;
    for (auto &[incarnation, worker] : engine.workers) {
        const bool mayStart = worker.entry.service == service && worker.isListed && !worker.isGone
                              && worker.reachability == Reachability::Reachable
                              && !worker.entry.isDraining && !worker.isCordoned
                              && worker.unexpectedAttempts.empty() && worker.suspectUntil <= now;
        if (!mayStart) {
            continue;
        }
        Site site;
        site.worker = &worker;
        site.room = worker.entry.capacity;
        site.room -= worker.used;
        for (const auto &[ref, settledBy] : worker.attempts) {
            const jobs::StepSpec &step = stepOf(engine.jobs.at(ref.task.job), ref.task);
            site.hostsLasting = site.hostsLasting || step.longRunning;
            site.hostsServing = site.hostsServing || step.target > Milliseconds{0};
            site.hostsFillers = site.hostsFillers || step.fills;
        }
        sites.push_back(site);
    }
    return sites;
}

Spread spreadOf(const Engine &engine, const jobs::Occurrence &occurrence, int step)
{
    Spread spread;
    for (const jobs::Task &task : occurrence.steps[static_cast<std::size_t>(step)]) {
        for (const jobs::Attempt &attempt : task.attempts) {
            ++spread.onWorker[attempt.worker];
            const auto worker = engine.workers.find(attempt.worker);
            if (worker != engine.workers.end()) {
                ++spread.onRack[worker->second.entry.rack];
            }
        }
    }
    return spread;
}

bool isSuitable(const Site &site, const jobs::StepSpec &step)
{
    const auto &labels = site.worker->entry.labels;
    return step.requiredLabel.empty()
           || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
}

Site *chooseSite(std::vector<Site> &sites, const jobs::StepSpec &step, const Spread &spread,
                 const std::vector<WorkerIncarnation> &avoid, const RackId *rack)
{
    const jobs::Resources need = capacityUsedBy(step);
    Site *best = nullptr;
    for (Site &site : sites) {
        const WorkerIncarnation &incarnation = site.worker->entry.incarnation;
        const bool isFull =
                step.antiAffinity > 0 && countAt(spread.onWorker, incarnation) >= step.antiAffinity;
        if (!need.fits(site.room) || isFull || !isSuitable(site, step) || disturbs(site, step)
            || (rack != nullptr && site.worker->entry.rack != *rack)
            || std::find(avoid.begin(), avoid.end(), incarnation) != avoid.end()) {
            continue;
        }
        if (best == nullptr || costOf(site, step, spread) < costOf(*best, step, spread)) {
            best = &site;
        }
    }
    return best;
}

}  // namespace poplarstream::engine
