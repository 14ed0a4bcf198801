#include "poplarstream/node/workers_duty.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ

#include "poplarstream/adapters/http_server.hpp"  // for HttpServer
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock
#include "worker_channel.hpp"  // for WorkerChannel

namespace poplarstream {
namespace {

constexpr const char *idleList =
        R"({"boot":5,"change":9,"grant":0,"rebooted_for":0,"mode":"in-service","tasks":[]})";

// A worker agent with canned responses. It does not respond to paths without one. Runs on the
// thread of the test, like the duty.
class FakeWorker
{
public:
    explicit FakeWorker(DutyThread &thread)
        : server(std::move(HttpServer::listen(thread.context(), {"127.0.0.1", 0},
                                              [this](HttpRequest request, HttpRespond respond) {
                                                  handle(std::move(request), std::move(respond));
                                              }))
                         .value())
    {}

    HttpEndpoint endpoint() const { return {"127.0.0.1", server.port()}; }

    std::map<std::string, HttpResponse> responses;  // by path
    std::vector<std::string> targets;  // of the requests so far
    std::vector<HttpRespond> held;

private:
    void handle(HttpRequest request, HttpRespond respond)
    {
        targets.push_back(request.target);
        const auto response = responses.find(std::string(targetPath(request.target)));
        if (response == responses.end()) {
            held.push_back(std::move(respond));
        } else {
            respond(response->second);
        }
    }

    HttpServer server;
};

// The duty with two workers, run on the thread of the test.
class WorkersDutyTest : public testing::Test
{
protected:
    WorkersDutyTest()
    {
        auto directory = std::make_shared<HostDirectory>();
        (*directory)[HostId("w1")] = {first.endpoint(), {second.endpoint()}};
        (*directory)[HostId("w2")] = {second.endpoint(), {}};
        duty.setDirectory(std::move(directory));
    }

    template <class Condition>
    void runUntil(Condition isDone)
    {
        // Every call completes within 2 s, so no more events are expected after 4 s without one.
        while (!isDone() && thread.context().run_one_for(std::chrono::seconds(4)) > 0) {}
        ASSERT_TRUE(isDone());
    }

    void runUntilEvents(std::size_t count)
    {
        runUntil([&] { return events.size() >= count; });
    }

    TimedWorkerCommand revokeBy(TimePoint validUntil) const
    {
        return {RevokeTask{task}, validUntil};
    }
    TimePoint later() const { return clock.now() + Milliseconds{60'000}; }

    const TaskRef task{RunId("a-1"), {7, 2}, HostId("w1")};
    ProcessClock clock;
    DutyThread thread{"workers"};
    FakeWorker first{thread};
    FakeWorker second{thread};
    std::vector<WorkerEvent> events;
    WorkersDuty duty{thread, [this](WorkerEvent event) { events.push_back(std::move(event)); }};
};

// Guards against a paused process that sends a command after its lease has expired, when another
// owner may already act. The pause comes before the command is handled, before the connection is
// requested, or while it is being opened.
TEST_F(WorkersDutyTest, SendsNoCommandAfterItsDeadline)
{
    first.responses["/drain"] = jsonResponse(200, "{}");
    first.responses["/tasks/revoke"] = jsonResponse(200, R"({"state":"running","boot":5})");
    for (int steps = 0; steps <= 2; ++steps) {
        SCOPED_TRACE("paused after " + std::to_string(steps) + " steps");
        FakeWorker worker(thread);
        worker.responses = first.responses;
        auto directory = std::make_shared<HostDirectory>();
        (*directory)[HostId("w1")] = {worker.endpoint(), {}};
        duty.setDirectory(std::move(directory));
        thread.context().poll();
        thread.context().restart();
        events.clear();
        const TimePoint validUntil = clock.now() + Milliseconds{20};
        const maintenance::HostCommand drain{maintenance::CommandKind::Drain, HostId("w1"), 3};
        duty.send({{drain, validUntil}});
        for (int i = 0; i < steps; ++i) {
            thread.context().run_one();
        }
        while (clock.now() <= validUntil) {}
        duty.send({revokeBy(later())});
        runUntilEvents(1);
        EXPECT_EQ(worker.targets, std::vector<std::string>{"/tasks/revoke"});
    }
}

// Guards against an observation that the response does not prove, and against a refused start that
// is mistaken for a completion.
TEST_F(WorkersDutyTest, ReportsResponses)
{
    first.responses["/tasks"] = jsonResponse(409, "{}");
    first.responses["/tasks/stop"] = jsonResponse(409, "{}");
    first.responses["/tasks/revoke"] = jsonResponse(200, R"({"state":"never-started","boot":5})");
    duty.send({{StartTask{.task = task}, later()}, {StopTask{task}, later()}, revokeBy(later())});
    runUntilEvents(2);
    EXPECT_EQ(first.targets, (std::vector<std::string>{"/tasks", "/tasks/stop", "/tasks/revoke"}));
    EXPECT_EQ(std::get<TaskObservation>(events[0]).state, TaskState::Refused);
    EXPECT_EQ(std::get<TaskObservation>(events[1]).state, TaskState::NeverStarted);
    EXPECT_EQ(std::get<TaskObservation>(events[1]).workerBoot, 5U);
    EXPECT_EQ(std::get<TaskObservation>(events[1]).task, task);
}

// Guards against an unresponsive worker that delays the others or is not reported as unresponsive.
TEST_F(WorkersDutyTest, ReportsUnresponsiveWorkers)
{
    second.responses["/tasks"] = jsonResponse(200, idleList);
    duty.poll({{HostId("w1"), false}, {HostId("w2"), false}, {HostId("w3"), false}});
    runUntilEvents(3);
    std::map<HostId, WorkerStatus> seen;
    for (const WorkerEvent &event : events) {
        seen[std::get<WorkerStatus>(event).host] = std::get<WorkerStatus>(event);
    }
    EXPECT_EQ(std::get<WorkerStatus>(events[2]).host, HostId("w1"))
            << "the unresponsive worker is reported last";
    EXPECT_FALSE(seen[HostId("w1")].hasResponded);
    EXPECT_EQ(seen[HostId("w1")].fault, httpErrorText(HttpError::DeadlinePassed));
    EXPECT_TRUE(seen[HostId("w2")].hasResponded);
    EXPECT_EQ(seen[HostId("w2")].boot, 5U);
    EXPECT_FALSE(seen[HostId("w2")].areMinionsHealthy.has_value());
    EXPECT_FALSE(seen[HostId("w3")].hasResponded) << "a host that is not configured";
}

// Guards against a host that returns to service while one of its minions fails, and against
// completed tasks that are sent again with every poll.
TEST_F(WorkersDutyTest, ProbesMinions)
{
    first.responses["/tasks"] = jsonResponse(200, idleList);
    for (const unsigned status : {200U, 500U}) {
        second.responses["/health"] = jsonResponse(status, "{}");
        events.clear();
        duty.send({{maintenance::HostCommand{maintenance::CommandKind::Probe, HostId("w1"), 0},
                    timePoint(0)}});
        runUntilEvents(1);
        EXPECT_EQ(std::get<WorkerStatus>(events[0]).areMinionsHealthy, status == 200);
    }
    EXPECT_EQ(first.targets,
              (std::vector<std::string>{"/tasks?boot=0&since=0", "/tasks?boot=5&since=9"}));
}

// Guards against one measurement that is counted as two. Usage does not grow between them, so a
// worker that is filling up would look steady.
TEST_F(WorkersDutyTest, DistinguishesMeasurements)
{
    const auto poll = [&](int ageMs, int memoryMb) {
        std::string list = idleList;
        list.pop_back();
        list += R"(,"usage":{"memory_mb":)" + std::to_string(memoryMb) + R"(,"age_ms":)"
                + std::to_string(ageMs) + "}}";
        first.responses["/tasks"] = jsonResponse(200, list);
        events.clear();
        duty.poll({{HostId("w1"), false}});
        runUntilEvents(1);
        return std::get<WorkerStatus>(events.at(0)).usage->at;
    };
    const TimePoint measured = poll(5'000, 10);
    EXPECT_EQ(poll(4'900, 10), measured);
    EXPECT_GT(poll(4'900, 11), measured);
    EXPECT_GT(poll(1'000, 11), measured + Milliseconds{2'000});
}

// Guards against a late response that is mistaken for that of the next call.
TEST_F(WorkersDutyTest, DropsLateResponses)
{
    SCOPED_TRACE("a call without a response before its deadline");
    WorkerChannel channel(thread.context(), first.endpoint(), Milliseconds{100});
    std::vector<HttpOutcome> outcomes;
    const auto call = [&](const std::string &target) {
        channel.call({{"GET", target, {}, {}, {}},
                      [] { return true; },
                      [&](HttpOutcome outcome) { outcomes.push_back(std::move(outcome)); }});
    };
    call("/slow");
    runUntil([&] { return outcomes.size() == 1; });
    EXPECT_EQ(outcomes[0].delivery, HttpDelivery::MayHaveBeenSent);
    {
        SCOPED_TRACE("the late response arrives during the next call, which still gets its own");
        ASSERT_EQ(first.held.size(), 1U);
        first.responses["/next"] = jsonResponse(200, "next");
        call("/next");
        first.held.front()(jsonResponse(200, "late"));
        runUntil([&] { return outcomes.size() == 2; });
        EXPECT_EQ(outcomes[1].response.body, "next");
    }
}

}  // namespace
}  // namespace poplarstream
