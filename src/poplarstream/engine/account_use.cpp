#include "poplarstream/engine/account_use.hpp"

#include "poplarstream/engine/attempts.hpp"  // for findJob

namespace poplarstream::engine {

namespace {

// Empty if the job or the step of the run is not known.
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

}  // namespace

void countUse(Engine &engine, const AccountNeed &run)
{
    if (!run.account.isEmpty()) {
        engine.accountUse[run.account] += run.need;
    }
}

void uncountUse(Engine &engine, const AccountNeed &run)
{
    const auto use = engine.accountUse.find(run.account);
    if (use == engine.accountUse.end()) {
        return;
    }
    use->second -= run.need;
    if (use->second == jobs::Resources{}) {
        engine.accountUse.erase(use);
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
