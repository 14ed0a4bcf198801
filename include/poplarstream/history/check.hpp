#pragma once

#include <cstdint>  // for uint64_t
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/history/event.hpp"  // for Event

namespace poplarstream::history {

// An event that breaks a guarantee. `event` is its position in the history.
struct Violation
{
    std::size_t event = 0;
    std::string what;
};

// The outcome of one check. `checked` counts the events that could have broken the guarantee, so
// that a history without any does not look like a proof.
struct CheckResult
{
    std::string guarantee;
    std::uint64_t checked = 0;
    std::vector<Violation> violations;
};

using History = std::span<const Event>;

// Every accepted run is known to the log at the end, or its end was answered.
CheckResult checkNoAcceptedRunLost(History history);

// A non-idempotent run is executed at most once; continuing from a checkpoint is not another
// execution.
CheckResult checkNonIdempotentOnce(History history);

// After a caller was told that its run is cancelled, no worker begins it.
CheckResult checkCancelledNeverStarts(History history);

// A run that was answered as not-run is executed neither before nor after; one that was answered
// as ran was executed.
CheckResult checkVerdictsTrue(History history);

// A host is in one pool at any moment.
CheckResult checkOnePool(History history);

// No planned absence begins beyond the budget of its pool.
CheckResult checkAvailabilityBudget(History history);

// Each answer is complete and belongs to the request that it was given to.
CheckResult checkRightAnswers(History history);

// An endpoint gets no new work later than `grace` after the first evidence that it leaves.
CheckResult checkNoWorkForLeaving(History history, Milliseconds grace = Milliseconds{2000});

// No process goes back to an older version of the configuration.
CheckResult checkConfigNeverReverts(History history);

// No request is cut at an endpoint that was stopped as planned.
CheckResult checkNoRequestCut(History history);

// All of the above.
std::vector<CheckResult> checkAll(History history);

}  // namespace poplarstream::history
