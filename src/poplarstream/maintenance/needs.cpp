#include <algorithm>  // for binary_search, min

#include "poplarstream/maintenance/candidates.hpp"

namespace poplarstream::maintenance {
namespace {

constexpr Milliseconds day{24 * 60 * 60 * 1000};

Milliseconds windowLength(const DayWindow &window)
{
    return window.end > window.start ? window.end - window.start : window.end + day - window.start;
}

Milliseconds timeOfDay(TimePoint time)
{
    const Milliseconds since = time.time_since_epoch() % day;
    return since < Milliseconds{0} ? since + day : since;
}

AbsenceKind mergedKind(AbsenceKind a, AbsenceKind b)
{
    return a == b ? a : AbsenceKind::RebootAndMove;
}

bool isLoan(const FleetView &view, const HostId &host)
{
    for (const WaveView &wave : view.waves) {
        for (const Loan &loan : wave.loans) {
            if (loan.host == host) {
                return true;
            }
        }
    }
    return false;
}

// The absence that one wave still needs of a host, if any.
std::optional<AbsenceNeed> needOfWave(const FleetView &view, const BudgetUsage &usage,
                                      std::size_t waveIndex, std::size_t hostIndex)
{
    const WaveView &wave = view.waves[waveIndex];
    const HostView &host = view.hosts[hostIndex];
    const std::size_t target = usage.poolIndex(wave.target);
    const bool needsMove =
            hasMove(wave.action) && host.pool != wave.target && target != BudgetUsage::noPool;
    const bool needsReboot = hasReboot(wave.action)
                             && !std::binary_search(wave.done.begin(), wave.done.end(), host.id);
    if (!needsMove && !needsReboot) {
        return std::nullopt;
    }
    AbsenceNeed need;
    need.wave = waveIndex;
    need.target = needsMove ? target : BudgetUsage::noPool;
    need.kind = !needsMove    ? AbsenceKind::Reboot
                : needsReboot ? AbsenceKind::RebootAndMove
                              : AbsenceKind::Move;
    return need;
}

void mergeNeed(std::optional<AbsenceNeed> &into, const AbsenceNeed &other)
{
    if (!into) {
        into = other;
        return;
    }
    into->isShared = true;
    if (into->target == BudgetUsage::noPool && other.target != BudgetUsage::noPool) {
        // The request is made for the wave that moves the host, since that wave decides the target.
        into->target = other.target;
        into->wave = other.wave;
        into->kind = mergedKind(into->kind, other.kind);
    } else if (hasReboot(other.kind)) {
        into->kind = mergedKind(into->kind, AbsenceKind::Reboot);
    }
}

bool isCoolingDown(const FleetView &view, const HostView &host, TimePoint now)
{
    return host.lastAbandoned && now < *host.lastAbandoned + view.policy.drainRetryDelay;
}

std::vector<std::vector<std::size_t>> runningWavesOfPools(const FleetView &view,
                                                          const BudgetUsage &usage)
{
    std::vector<std::vector<std::size_t>> waves(view.pools.size());
    for (std::size_t w = 0; w < view.waves.size(); ++w) {
        if (view.waves[w].state != WaveState::Running) {
            continue;
        }
        for (const PoolId &pool : view.waves[w].pools) {
            if (const std::size_t index = usage.poolIndex(pool); index != BudgetUsage::noPool) {
                waves[index].push_back(w);
            }
        }
    }
    return waves;
}

// Returns loans once the borrowing pool needs no more absences, or the wave is not running.
void addLoanReturns(const FleetView &view, const BudgetUsage &usage,
                    std::vector<std::optional<AbsenceNeed>> &needs)
{
    std::vector<bool> isBusy(view.pools.size());
    for (std::size_t i = 0; i < needs.size(); ++i) {
        if (needs[i] && view.hosts[i].state != HostState::Failed) {
            isBusy[usage.poolOf(i)] = true;
        }
    }
    for (std::size_t w = 0; w < view.waves.size(); ++w) {
        for (const Loan &loan : view.waves[w].loans) {
            const auto it = std::lower_bound(
                    view.hosts.begin(), view.hosts.end(), loan.host,
                    [](const HostView &host, const HostId &id) { return host.id < id; });
            const std::size_t home = usage.poolIndex(loan.from);
            if (it == view.hosts.end() || it->id != loan.host || it->pool != loan.to
                || home == BudgetUsage::noPool) {
                continue;
            }
            const auto host = static_cast<std::size_t>(it - view.hosts.begin());
            if (!isBusy[usage.poolOf(host)] || view.waves[w].state != WaveState::Running) {
                needs[host] = AbsenceNeed{AbsenceKind::Move,
                                          home,
                                          w,
                                          expectedDuration(*it, AbsenceKind::Move, view.policy),
                                          false,
                                          true};
            }
        }
    }
}

}  // namespace

Milliseconds expectedDuration(const HostView &host, AbsenceKind kind, const Policy &policy)
{
    const Milliseconds longestDrain = policy.drainTimeout * (1 + policy.drainExtensions);
    Milliseconds duration = std::min(host.remainingWork, longestDrain);
    if (hasReboot(kind)) {
        duration += policy.rebootTime;
    }
    if (hasMove(kind)) {
        duration += policy.moveTime;
    }
    return duration;
}

bool isInWindow(const std::optional<DayWindow> &window, TimePoint now, Milliseconds duration)
{
    if (!window) {
        return true;
    }
    const Milliseconds length = windowLength(*window);
    Milliseconds elapsed = timeOfDay(now) - window->start;
    if (elapsed < Milliseconds{0}) {
        elapsed += day;
    }
    return elapsed < length && (duration > length || elapsed + duration <= length);
}

TimePoint nextOpening(const DayWindow &window, TimePoint now)
{
    Milliseconds wait = window.start - timeOfDay(now);
    if (wait < Milliseconds{0}) {
        wait += day;
    }
    return now + wait;
}

std::vector<std::optional<AbsenceNeed>> absenceNeeds(const FleetView &view,
                                                     const BudgetUsage &usage, TimePoint now)
{
    const auto wavesOfPools = runningWavesOfPools(view, usage);
    std::vector<std::optional<AbsenceNeed>> needs(view.hosts.size());
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const HostView &host = view.hosts[i];
        const std::size_t pool = usage.poolOf(i);
        if (pool == BudgetUsage::noPool || wavesOfPools[pool].empty() || isLoan(view, host.id)
            || isCoolingDown(view, host, now)) {
            continue;
        }
        for (const std::size_t wave : wavesOfPools[pool]) {
            if (const auto need = needOfWave(view, usage, wave, i)) {
                mergeNeed(needs[i], *need);
            }
        }
        if (needs[i]) {
            needs[i]->duration = expectedDuration(host, needs[i]->kind, view.policy);
        }
    }
    addLoanReturns(view, usage, needs);
    return needs;
}

}  // namespace poplarstream::maintenance
