#include "poplarstream/engine/account_use.hpp"

#include "poplarstream/engine/attempts.hpp"  // for findJob

namespace poplarstream::engine {

namespace {

// Empty if the job or the step of the run is not known. The run is stopped, so that it does not
// last.
AccountNeed needOf(Engine &engine, const TaskRef &task)
{
    const jobs::Job *const job = findJob(engine, task.job);
    if (job == nullptr || task.step < 0) {
        return {};
    }
    const auto &steps = job->submission.spec.steps;
    const auto step = static_cast<std::size_t>(task.step);
    return step < steps.size() ? AccountNeed{job->submission.account, steps[step].need}
                               : AccountNeed{};
}

void subtract(std::map<AccountId, jobs::Resources> &uses, const AccountNeed &run)
{
    const auto use = uses.find(run.account);
    if (use == uses.end()) {
        return;
    }
    use->second -= run.need;
    if (use->second == jobs::Resources{}) {
        uses.erase(use);
    }
}

}  // namespace

void countUse(Engine &engine, const AccountNeed &run)
{
    if (run.account.isEmpty()) {
        return;
    }
    engine.accountUse[run.account] += run.need;
    if (run.isLongRunning) {
        engine.longRunningUse[run.account] += run.need;
    }
}

void uncountUse(Engine &engine, const AccountNeed &run)
{
    subtract(engine.accountUse, run);
    if (run.isLongRunning) {
        subtract(engine.longRunningUse, run);
    }
}

bool addUnexpected(Engine &engine, Worker &worker, const AttemptRef &ref)
{
    const auto [place, isNew] = worker.unexpectedAttempts.try_emplace(ref);
    if (isNew) {
        place->second = needOf(engine, ref.task);
        countUse(engine, place->second);
    }
    return isNew;
}

void forgetUnexpected(Engine &engine, Worker &worker, const AttemptRef &ref)
{
    const auto found = worker.unexpectedAttempts.find(ref);
    if (found != worker.unexpectedAttempts.end()) {
        uncountUse(engine, found->second);
        worker.unexpectedAttempts.erase(found);
    }
}

}  // namespace poplarstream::engine
