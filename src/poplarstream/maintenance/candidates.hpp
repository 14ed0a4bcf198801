#pragma once

#include <cstdint>  // for uint32_t
#include <optional>  // for optional
#include <tuple>  // for tuple
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/maintenance/budget_usage.hpp"  // for BudgetUsage
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView

namespace poplarstream::maintenance {

// The absence that a host still needs. If several running waves include the host, one absence
// serves all of them.
struct AbsenceNeed
{
    AbsenceKind kind = AbsenceKind::Reboot;
    std::size_t target = BudgetUsage::noPool;
    std::size_t wave = 0;  // index in the view
    Milliseconds duration{0};  // expected length of the absence
    bool isShared = false;  // serves more than one wave
    bool isLoanReturn = false;
};

// The needed absence of each host of the view, if any, including hosts that are away. Hosts whose
// drain was abandoned recently have none.
std::vector<std::optional<AbsenceNeed>> absenceNeeds(const FleetView &view,
                                                     const BudgetUsage &usage, TimePoint now);

// The expected length of an absence.
Milliseconds expectedDuration(const HostView &host, AbsenceKind kind, const Policy &policy);

// Whether an absence of `duration` may start at `now`: `now` is inside the window, and the absence
// ends before the window does, unless it is longer than the whole window.
bool isInWindow(const std::optional<DayWindow> &window, TimePoint now, Milliseconds duration);

// The next time at or after `now` at which the window opens.
TimePoint nextOpening(const DayWindow &window, TimePoint now);

// Selects the next host to leave among those that the budget allows, in this order:
// - with rack headroom, from the rack with the most hosts in service, since that frees headroom
//   soonest;
// - the longest absence first (Graham 1969);
// - from racks that already have hosts away, so that the loss of such a rack costs less;
// - by id.
// Caches the best choice of each pool until invalidate() is called.
class CandidateSelector
{
public:
    CandidateSelector(const FleetView &view, const BudgetUsage &usage,
                      const std::vector<std::optional<AbsenceNeed>> &needs);

    // The index of the host to leave next, if any. The host stays a candidate until it is removed.
    std::optional<std::size_t> next(TimePoint now);
    void remove(std::size_t host);
    // Drops the cached choices that depend on a pool. Must be called for the pools of a host that
    // left or returned.
    void invalidate(std::size_t pool);
    void invalidateAll();
    bool isEmpty() const { return remaining_ == 0; }

private:
    struct Bucket
    {
        std::size_t group = 0;
        std::size_t target = BudgetUsage::noPool;
        std::vector<std::size_t> hosts;  // shortest first, so that the longest is at the back
    };
    struct PoolQueue
    {
        std::vector<Bucket> buckets;
        bool isCurrent = false;
        std::optional<std::size_t> best;
    };

    std::optional<std::size_t> bestOf(std::size_t pool, TimePoint now) const;
    std::optional<std::size_t> bestOf(const Bucket &bucket, TimePoint now) const;
    // The host with the greatest key leaves first.
    using Key = std::tuple<std::uint32_t, Milliseconds, bool, std::size_t>;
    Key keyOf(std::size_t host) const;

    const FleetView &view_;
    const BudgetUsage &usage_;
    const std::vector<std::optional<AbsenceNeed>> &needs_;
    std::vector<PoolQueue> queues_;
    std::vector<std::vector<std::size_t>> sourcesOf_;  // [target]: pools with hosts that move there
    std::size_t remaining_ = 0;
};

}  // namespace poplarstream::maintenance
