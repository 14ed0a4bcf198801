#pragma once

#include <cstdint>  // for uint32_t
#include <optional>  // for optional
#include <tuple>  // for tuple
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/maintenance/budget_usage.hpp"  // for BudgetUsage
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView

namespace poplarstream::maintenance {

// What a host still needs. When several running waves name it, one absence serves them all.
struct Need
{
    AbsenceKind kind = AbsenceKind::Reboot;
    std::size_t target = BudgetUsage::noPool;
    std::size_t wave = 0;  // position in the view
    Milliseconds duration{0};  // expected length of the absence
    bool isShared = false;  // serves more than one wave
    bool isLoanReturn = false;
};

// The need of each host of the view, if it has one. Hosts that are away have one as well; hosts
// that gave up a drain a short time ago have none.
std::vector<std::optional<Need>> needsOf(const FleetView &view, const BudgetUsage &tally,
                                         TimePoint now);

// The expected length of an absence.
Milliseconds expectedDuration(const HostView &host, AbsenceKind kind, const Policy &policy);

// Whether an absence of `duration` may start at `now`: inside the window, and over by its end
// unless it is longer than the whole window.
bool isInWindow(const std::optional<DayWindow> &window, TimePoint now, Milliseconds duration);

// The next time at or after `now` at which the window opens.
TimePoint nextOpening(const DayWindow &window, TimePoint now);

// Chooses the next host to leave among those that the tally allows: from the fullest rack first
// where headroom for a rack is kept, since that frees headroom soonest; then the longest absence
// first (Graham 1969); then from racks that have hosts away already, so that the loss of such a
// rack costs less; then by id. Keeps the best choice of each pool until changed() is called.
class Selector
{
public:
    Selector(const FleetView &view, const BudgetUsage &tally,
             const std::vector<std::optional<Need>> &needs);

    // The position of the host to leave next, or nothing. The host stays a candidate until taken.
    std::optional<std::size_t> next(TimePoint now);
    // Removes a host from the candidates.
    void take(std::size_t host);
    // Must be called for the pools of a host that left or came back.
    void changed(std::size_t pool);
    void changedAll();
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
    // The greatest key leaves first.
    using Key = std::tuple<std::uint32_t, Milliseconds, bool, std::size_t>;
    Key keyOf(std::size_t host) const;

    const FleetView &view_;
    const BudgetUsage &tally_;
    const std::vector<std::optional<Need>> &needs_;
    std::vector<PoolQueue> queues_;
    std::vector<std::vector<std::size_t>> sourcesOf_;  // [target]: pools with hosts moving there
    std::size_t remaining_ = 0;
};

}  // namespace poplarstream::maintenance
