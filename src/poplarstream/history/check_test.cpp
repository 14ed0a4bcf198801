#include "poplarstream/history/check.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

namespace poplarstream::history {
namespace {

Event at(std::int64_t ms, EventBody body)
{
    return {timePoint(ms), std::move(body)};
}

const RunId order("a-1");
const RunId invoice("a-2");
const HostId host("h");
const PoolId pool("p");

// A history without violations that exercises every check.
std::vector<Event> validHistory()
{
    return {at(0, RunAcceptedResponse{order, true}),
            at(1, RunAcceptedResponse{invoice, false}),
            at(2, RunExecuted{order, host, {1, 0}, false}),
            at(3, RunExecuted{order, host, {2, 0}, false}),
            at(4, RunExecuted{invoice, host, {3, 0}, false}),
            at(5, RunExecuted{invoice, host, {4, 0}, true}),
            at(6, RunCompletionResponse{order, Verdict::Ran, false}),
            at(7, RunKnownAtEnd{invoice}),
            at(8, PoolJoined{host, pool}),
            at(9, PoolLeft{host, pool}),
            at(9, PoolJoined{host, PoolId("q")}),
            at(10, BudgetSet{pool, 1}),
            at(11, AbsenceBegan{host, pool, true}),
            at(12, AbsenceBegan{HostId("failed"), pool, false}),
            at(13, AbsenceEnded{host}),
            at(14, RequestSent{RequestId("q1"), 7}),
            at(15, ResponseReceived{RequestId("q1"), 7, true}),
            at(16, EndpointLeaving{"m"}),
            at(2016, WorkSent{"m"}),
            at(2017, ConfigInForce{"e", 4}),
            at(2018, ConfigInForce{"e", 4}),
            at(2019, PlannedStop{"m"}),
            at(2020, RequestCut{RequestId("q2"), "crashed"})};
}

std::uint64_t violations(const std::vector<Event> &history, const std::string &guarantee)
{
    std::uint64_t count = 0;
    for (const CheckResult &result : checkAll(history)) {
        if (result.guarantee == guarantee) {
            count += result.violations.size();
        } else {
            EXPECT_TRUE(result.violations.empty()) << result.guarantee;
        }
    }
    return count;
}

// Guards against a check that reports allowed behaviour as a violation, or that checks nothing.
TEST(HistoryCheck, AcceptsValidHistory)
{
    for (const CheckResult &result : checkAll(validHistory())) {
        EXPECT_TRUE(result.violations.empty()) << result.guarantee;
        EXPECT_GT(result.checked + (result.guarantee == "cancelled-never-starts" ? 1 : 0), 0U)
                << result.guarantee;
    }
}

// Guards against a check that misses a violation: each case adds one to the valid history, and only
// the check of that guarantee must report it.
TEST(HistoryCheck, ReportsEachInjectedViolation)
{
    struct InjectedViolation
    {
        std::string guarantee;
        std::vector<Event> events;
    };
    const RunId other("a-3");
    const std::vector<InjectedViolation> cases = {
            {"no-accepted-run-lost", {at(3000, RunAcceptedResponse{other, false})}},
            {"non-idempotent-once", {at(3000, RunExecuted{invoice, HostId("g"), {9, 0}, false})}},
            {"cancelled-never-starts",
             {at(3000, RunCompletionResponse{other, Verdict::MayHaveRun, true}),
              at(3001, RunExecuted{other, host, {9, 0}, false})}},
            {"verdicts-true", {at(3000, RunCompletionResponse{invoice, Verdict::NotRun, false})}},
            {"verdicts-true", {at(3000, RunCompletionResponse{other, Verdict::Ran, false})}},
            {"verdicts-true",
             {at(3000, RunCompletionResponse{other, Verdict::NotRun, false}),
              at(3001, RunExecuted{other, host, {9, 0}, false})}},
            {"one-pool", {at(3000, PoolJoined{host, PoolId("r")})}},
            {"one-pool", {at(3000, PoolLeft{host, pool})}},
            {"availability-budget", {at(3000, AbsenceBegan{host, pool, true})}},
            {"right-answer", {at(3000, ResponseReceived{RequestId("q1"), 8, true})}},
            {"right-answer", {at(3000, ResponseReceived{RequestId("q1"), 7, false})}},
            {"right-answer", {at(3000, ResponseReceived{RequestId("q9"), 7, true})}},
            {"no-work-for-leaving", {at(3000, WorkSent{"m"})}},
            {"config-never-reverts", {at(3000, ConfigInForce{"e", 3})}},
            {"no-request-cut", {at(3000, RequestCut{RequestId("q3"), "m"})}},
    };
    for (const InjectedViolation &injected : cases) {
        SCOPED_TRACE("injected violation of " + injected.guarantee);
        std::vector<Event> history = validHistory();
        history.insert(history.end(), injected.events.begin(), injected.events.end());
        EXPECT_EQ(violations(history, injected.guarantee), 1U);
    }
}

}  // namespace
}  // namespace poplarstream::history
