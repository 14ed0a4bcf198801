#include "poplarstream/edge/account_metrics.hpp"

#include <algorithm>  // for partial_sort, min, count_if
#include <limits>  // for numeric_limits
#include <map>  // for map
#include <string_view>  // for string_view
#include <tuple>  // for tie
#include <utility>  // for pair
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/engine/account_caps.hpp"  // for useOf
#include "poplarstream/jobs/queries.hpp"  // for isStepReady, isWaiting
#include "poplarstream/telemetry/request_histograms.hpp"  // for prometheusLabel

namespace poplarstream::edge {

namespace {

// Bounds the lines; a deployment may have hundreds of accounts.
constexpr std::size_t maxAccounts = 10;

struct AccountFigures
{
    jobs::Resources use;
    jobs::Resources limits;
    std::int64_t waitingTasks = 0;
    std::int64_t jobsBeyondRate = 0;
    std::int64_t held = 0;
};

using Figures = std::pair<AccountId, AccountFigures>;

std::int64_t waitingTasksOf(const jobs::Job &job)
{
    std::int64_t waiting = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (jobs::isStepReady(job, occurrence, static_cast<int>(i))) {
                const auto &tasks = occurrence.steps[i];
                waiting += std::count_if(tasks.begin(), tasks.end(), jobs::isWaiting);
            }
        }
    }
    return waiting;
}

// Of all accounts that are configured or have jobs.
std::vector<Figures> figuresOf(const engine::Engine &engine)
{
    std::map<AccountId, AccountFigures> figures;
    for (const auto &[id, limits] : engine.accountLimits) {
        figures[id].limits = limits;
    }
    for (const auto &[id, use] : engine.accountUse) {
        figures[id].use = use;
    }
    for (const auto &[id, hold] : engine.capHolds) {
        figures[id].held = 1;
    }
    for (const jobs::Job *const job : engine.waiting) {
        if (job->submission.account.isEmpty() || jobs::isFinal(job->state)) {
            continue;
        }
        AccountFigures &account = figures[job->submission.account];
        const std::int64_t waiting = waitingTasksOf(*job);
        account.waitingTasks += waiting;
        account.jobsBeyondRate += waiting > 0 && job->isBeyondRate ? 1 : 0;
    }
    return {figures.begin(), figures.end()};
}

void add(AccountFigures &sum, const AccountFigures &account)
{
    sum.use += account.use;
    sum.waitingTasks += account.waitingTasks;
    sum.jobsBeyondRate += account.jobsBeyondRate;
    sum.held += account.held;
}

void appendUse(std::string &text, const std::string &labels, const AccountFigures &account)
{
    text += fmt::format("poplar_account_used{{{0},resource=\"cpu_milli\"}} {1}\n"
                        "poplar_account_used{{{0},resource=\"memory_mb\"}} {2}\n"
                        "poplar_account_used{{{0},resource=\"gpus\"}} {3}\n"
                        "poplar_account_waiting_tasks{{{0}}} {4}\n"
                        "poplar_account_jobs_beyond_rate{{{0}}} {5}\n"
                        "poplar_account_held{{{0}}} {6}\n",
                        labels, account.use.cpuMilli, account.use.memoryMb, account.use.gpus,
                        account.waitingTasks, account.jobsBeyondRate, account.held);
}

void appendLimits(std::string &text, const std::string &labels, const jobs::Resources &limits)
{
    const auto append = [&](std::string_view resource, std::int64_t limit) {
        if (limit != std::numeric_limits<std::int64_t>::max()) {
            text += fmt::format("poplar_account_limit{{{},resource=\"{}\"}} {}\n", labels, resource,
                                limit);
        }
    };
    append("cpu_milli", limits.cpuMilli);
    append("memory_mb", limits.memoryMb);
    append("gpus", limits.gpus);
}

}  // namespace

std::string accountMetrics(const engine::Engine &engine, int shard)
{
    std::vector<Figures> accounts = figuresOf(engine);
    const std::size_t shown = std::min(accounts.size(), maxAccounts);
    std::partial_sort(accounts.begin(), accounts.begin() + static_cast<std::ptrdiff_t>(shown),
                      accounts.end(), [](const Figures &a, const Figures &b) {
                          return std::tie(b.second.use.cpuMilli, b.second.waitingTasks, a.first)
                                 < std::tie(a.second.use.cpuMilli, a.second.waitingTasks, b.first);
                      });
    std::string text;
    AccountFigures rest;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const auto &[id, account] = accounts[i];
        if (i >= shown) {
            add(rest, account);
            continue;
        }
        const std::string labels =
                fmt::format("shard=\"{}\",account=\"{}\"", shard, prometheusLabel(id.text()));
        appendUse(text, labels, account);
        appendLimits(text, labels, account.limits);
    }
    if (accounts.size() > shown) {
        appendUse(text, fmt::format("shard=\"{}\",rest=\"{}\"", shard, accounts.size() - shown),
                  rest);
    }
    return text;
}

}  // namespace poplarstream::edge
