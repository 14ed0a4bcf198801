#include <map>  // for map
#include <set>  // for set

#include <fmt/format.h>  // for format

#include "check_support.hpp"  // for forEachEvent, addViolation

namespace poplarstream::history {

CheckResult checkNoAcceptedRunLost(History history)
{
    CheckResult result{"no-accepted-run-lost", 0, {}};
    std::set<RunId> known;
    forEachEvent<RunKnownAtEnd>(history, [&](const auto &e, std::size_t) { known.insert(e.run); });
    forEachEvent<RunCompletionResponse>(history,
                                        [&](const auto &e, std::size_t) { known.insert(e.run); });
    forEachEvent<RunAcceptedResponse>(history, [&](const auto &e, std::size_t i) {
        ++result.checked;
        if (!known.contains(e.run)) {
            addViolation(
                    result, i,
                    fmt::format("run {} was accepted but is not known at the end", e.run.text()));
        }
    });
    return result;
}

CheckResult checkNonIdempotentOnce(History history)
{
    CheckResult result{"non-idempotent-once", 0, {}};
    std::set<RunId> idempotent;
    forEachEvent<RunAcceptedResponse>(history, [&](const auto &e, std::size_t) {
        if (e.isIdempotent) {
            idempotent.insert(e.run);
        }
    });
    std::set<RunId> executed;
    forEachEvent<RunExecuted>(history, [&](const auto &e, std::size_t i) {
        if (idempotent.contains(e.run) || e.isContinued) {
            return;
        }
        ++result.checked;
        if (!executed.insert(e.run).second) {
            addViolation(result, i,
                         fmt::format("run {} was executed again on {} with token {}.{}",
                                     e.run.text(), e.worker.text(), e.token.offset, e.token.index));
        }
    });
    return result;
}

CheckResult checkCancelledNeverStarts(History history)
{
    CheckResult result{"cancelled-never-starts", 0, {}};
    std::set<RunId> cancelled;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (const auto *completion = std::get_if<RunCompletionResponse>(&history[i].body)) {
            if (completion->isCancelled) {
                ++result.checked;
                cancelled.insert(completion->run);
            }
        } else if (const auto *executed = std::get_if<RunExecuted>(&history[i].body)) {
            if (cancelled.contains(executed->run)) {
                addViolation(result, i,
                             fmt::format("cancelled run {} started on {}", executed->run.text(),
                                         executed->worker.text()));
            }
        }
    }
    return result;
}

CheckResult checkVerdictsTrue(History history)
{
    CheckResult result{"verdicts-true", 0, {}};
    std::set<RunId> executed;
    forEachEvent<RunExecuted>(history, [&](const auto &e, std::size_t) { executed.insert(e.run); });
    forEachEvent<RunCompletionResponse>(history, [&](const auto &e, std::size_t i) {
        if (e.verdict == Verdict::MayHaveRun) {
            return;
        }
        ++result.checked;
        if ((e.verdict == Verdict::NotRun) == executed.contains(e.run)) {
            addViolation(result, i,
                         fmt::format("run {} was incorrectly reported as {}", e.run.text(),
                                     verdictText(e.verdict)));
        }
    });
    return result;
}

std::vector<CheckResult> checkAll(History history)
{
    return {checkNoAcceptedRunLost(history),
            checkNonIdempotentOnce(history),
            checkCancelledNeverStarts(history),
            checkVerdictsTrue(history),
            checkOnePool(history),
            checkAvailabilityBudget(history),
            checkRightAnswers(history),
            checkNoWorkForLeaving(history),
            checkConfigNeverReverts(history),
            checkNoRequestCut(history)};
}

}  // namespace poplarstream::history
