#pragma once

#include <optional>  // for optional
#include <vector>  // for vector

#include "candidates.hpp"  // for Need
#include "poplarstream/maintenance/budget_usage.hpp"  // for BudgetUsage
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView

namespace poplarstream::maintenance {

// A host of the spare pool to be moved to a pool of a wave. `kind` includes a reboot when a wave
// needs one of the host anyway.
struct LoanChoice
{
    std::size_t host = 0;
    std::size_t target = 0;
    std::size_t wave = 0;
    AbsenceKind kind = AbsenceKind::Move;
};

// The loans that shorten the roll-out by more than their moves cost, in the configured weights:
// weight_rollout * (time saved / time without) > weight_moves * (2 moves a loan / hosts to do).
// A loan helps only where the demand, not the budget, limits the pool, since the budget is a number
// of hosts. `tally` must be one of the sustained demand.
std::vector<LoanChoice> chooseLoans(const FleetView &view, const BudgetUsage &tally,
                                    const std::vector<std::optional<Need>> &needs);

}  // namespace poplarstream::maintenance
