#pragma once

#include <cstdint>  // for uint64_t
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/history/event.hpp"  // for Event

namespace poplarstream::history {

// An event that violates a guarantee. `event` is its index in the history.
struct Violation
{
    std::size_t event = 0;
    std::string what;
};

// The result of one check. `checked` counts the events that could have violated the guarantee; if
// it is 0, the absence of violations proves nothing.
struct CheckResult
{
    std::string guarantee;
    std::uint64_t checked = 0;
    std::vector<Violation> violations;
};

using History = std::span<const Event>;

// Every accepted run is known to the log at the end, or its completion was reported to the caller.
CheckResult checkNoAcceptedRunLost(History history);

// A non-idempotent run is executed at most once. Continuing from a checkpoint does not count as
// another execution.
CheckResult checkNonIdempotentOnce(History history);

// No worker starts a run after its cancellation was reported to the caller.
CheckResult checkCancelledNeverStarts(History history);

// A run reported as not-run is never executed, neither before nor after the report; a run reported
// as ran was executed.
CheckResult checkVerdictsTrue(History history);

// A host is in at most one pool at any time.
CheckResult checkOnePool(History history);

// No planned absence begins in excess of the budget of its pool.
CheckResult checkAvailabilityBudget(History history);

// Each response is complete and belongs to the request that received it.
CheckResult checkRightAnswers(History history);

// An endpoint receives no new work later than `grace` after the first sign that it is leaving.
CheckResult checkNoWorkForLeaving(History history, Milliseconds grace = Milliseconds{2000});

// No process reverts to an older version of the configuration.
CheckResult checkConfigNeverReverts(History history);

// No request is aborted by the planned stop of an endpoint.
CheckResult checkNoRequestCut(History history);

// Runs all of the above checks.
std::vector<CheckResult> checkAll(History history);

}  // namespace poplarstream::history
