#pragma once

#include <optional>  // for optional
#include <vector>  // for vector

#include "candidates.hpp"  // for AbsenceNeed
#include "poplarstream/maintenance/budget_usage.hpp"  // for BudgetUsage
#include "poplarstream/maintenance/fleet_view.hpp"  // for FleetView

namespace poplarstream::maintenance {

// A host to lend from the spare pool to a pool of a wave. `kind` includes a reboot if a wave needs
// to reboot the host anyway.
struct LoanChoice
{
    std::size_t host = 0;
    std::size_t target = 0;
    std::size_t wave = 0;
    AbsenceKind kind = AbsenceKind::Move;
};

// The loans that shorten the roll-out by more than their moves cost, by the configured weights:
// weight_rollout * (time saved / time without loans)
//     > weight_moves * (2 moves per loan / hosts with open work).
// A loan helps only if the demand rather than the budget limits the pool, since the budget is a
// number of hosts. `usage` must use the sustained demand.
std::vector<LoanChoice> chooseLoans(const FleetView &view, const BudgetUsage &usage,
                                    const std::vector<std::optional<AbsenceNeed>> &needs);

}  // namespace poplarstream::maintenance
