#include <map>  // for map
#include <set>  // for set

#include <fmt/format.h>  // for format

#include "check_support.hpp"  // for forEach, violate

namespace poplarstream::history {

CheckResult checkNoAcceptedRunLost(History history)
{
    CheckResult result{"no-accepted-run-lost", 0, {}};
    std::set<RunId> kept;
    forEach<RunKnownAtEnd>(history, [&](const auto &e, std::size_t) { kept.insert(e.run); });
    forEach<RunCompletionResponse>(history,
                                   [&](const auto &e, std::size_t) { kept.insert(e.run); });
    forEach<RunAcceptedResponse>(history, [&](const auto &e, std::size_t i) {
        ++result.checked;
        if (!kept.contains(e.run)) {
            violate(result, i, fmt::format("run {} was accepted and is not known", e.run.text()));
        }
    });
    return result;
}

CheckResult checkNonIdempotentOnce(History history)
{
    CheckResult result{"non-idempotent-once", 0, {}};
    std::set<RunId> idempotent;
    forEach<RunAcceptedResponse>(history, [&](const auto &e, std::size_t) {
        if (e.isIdempotent) {
            idempotent.insert(e.run);
        }
    });
    std::set<RunId> executed;
    forEach<RunExecuted>(history, [&](const auto &e, std::size_t i) {
        if (idempotent.contains(e.run) || e.isContinued) {
            return;
        }
        ++result.checked;
        if (!executed.insert(e.run).second) {
            violate(result, i,
                    fmt::format("run {} was executed again at {} under {}.{}", e.run.text(),
                                e.worker.text(), e.token.offset, e.token.index));
        }
    });
    return result;
}

CheckResult checkCancelledNeverStarts(History history)
{
    CheckResult result{"cancelled-never-starts", 0, {}};
    std::set<RunId> cancelled;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (const auto *end = std::get_if<RunCompletionResponse>(&history[i].body)) {
            if (end->isCancelled) {
                ++result.checked;
                cancelled.insert(end->run);
            }
        } else if (const auto *executed = std::get_if<RunExecuted>(&history[i].body)) {
            if (cancelled.contains(executed->run)) {
                violate(result, i,
                        fmt::format("cancelled run {} began at {}", executed->run.text(),
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
    forEach<RunExecuted>(history, [&](const auto &e, std::size_t) { executed.insert(e.run); });
    forEach<RunCompletionResponse>(history, [&](const auto &e, std::size_t i) {
        if (e.verdict == Verdict::MayHaveRun) {
            return;
        }
        ++result.checked;
        if ((e.verdict == Verdict::NotRun) == executed.contains(e.run)) {
            violate(result, i,
                    fmt::format("run {} was answered as {}, which is wrong", e.run.text(),
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
