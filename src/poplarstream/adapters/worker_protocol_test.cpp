#include "poplarstream/adapters/worker_protocol.hpp"

#include <gtest/gtest.h>  // for TEST, EXPECT_EQ
#include <nlohmann/json.hpp>  // for json
#include <rapidcheck.h>  // for rc::check

namespace poplarstream {
namespace {

using nlohmann::json;

const TaskRef task{RunId("a-1"), {7, 2}, HostId("w1")};

HttpOutcome answered(unsigned status, std::string body)
{
    return {HttpDelivery::Answered, HttpError::None, {status, {}, std::move(body)}};
}

json validList()
{
    const json resources{{"cpus", 1.5}, {"memory_mb", 200}, {"accelerators", 1}};
    json usage = resources;
    usage["age_ms"] = 40;
    return {{"boot", 5},
            {"change", 9},
            {"grant", 3},
            {"rebooted_for", 2},
            {"mode", "drained"},
            {"usage", usage},
            {"tasks",
             {{{"run", "a-1"},
               {"token", {{"offset", 7}, {"index", 2}}},
               {"state", "running"},
               {"ran_ms", 11},
               {"usage", resources}},
              {{"run", "a-2"},
               {"token", {{"offset", 8}, {"index", 0}}},
               {"state", "checkpointed"},
               {"result", "r"},
               {"checkpoint", "c"},
               {"peak", resources}}}}};
}

// Guards against fields that are lost or swapped in parsing.
TEST(WorkerProtocol, ReadsTaskList)
{
    const auto list = taskListFromJson(HostId("w1"), validList().dump(), timePoint(1'000));
    ASSERT_TRUE(list.hasValue());
    EXPECT_EQ(list.value().cursor.boot, 5U);
    EXPECT_EQ(list.value().cursor.change, 9U);
    EXPECT_EQ(list.value().grant, 3U);
    EXPECT_EQ(list.value().rebootedFor, 2U);
    EXPECT_TRUE(list.value().isDraining && list.value().isDrained);
    ASSERT_TRUE(list.value().usage.has_value());
    EXPECT_EQ(list.value().usage->at, timePoint(960));
    ASSERT_EQ(list.value().usage->tasks.size(), 1U);
    EXPECT_EQ(list.value().usage->tasks.front().usage, (Resources{1.5, 200, 1}));
    ASSERT_EQ(list.value().tasks.size(), 2U);
    EXPECT_EQ(list.value().tasks.front().task, task);
    EXPECT_EQ(list.value().tasks.front().ran, Milliseconds{11});
    EXPECT_EQ(list.value().tasks.back().state, TaskState::Checkpointed);
    EXPECT_EQ(list.value().tasks.back().checkpoint, "c");
    EXPECT_EQ(list.value().tasks.back().peak, (Resources{1.5, 200, 1}));
}

// A task that cannot be parsed must not be dropped from the list: it would look lost and be started
// again.
TEST(WorkerProtocol, RejectsInvalidLists)
{
    for (const char *const patch :
         {R"({"boot":0})", R"({"boot":-1})", R"({"boot":null})", R"({"mode":"gone"})",
          R"({"grant":1.5})", R"({"tasks":null})", R"({"tasks":[{}]})", R"({"usage":7})",
          R"({"tasks":[{"run":"a","token":{"offset":1},"state":"running"}]})",
          R"({"tasks":[{"run":"a","token":{"offset":1,"index":4294967296},"state":"running"}]})",
          R"({"tasks":[{"run":"a","token":{"offset":1,"index":0},"state":"refused"}]})",
          R"({"tasks":[{"run":"a","token":{"offset":1,"index":0},"state":""}]})",
          R"({"usage":{"cpus":-1}})", R"({"usage":{"memory_mb":1e300}})",
          R"({"usage":{"age_ms":9223372036854775807}})"}) {
        SCOPED_TRACE(patch);
        json list = validList();
        list.merge_patch(json::parse(patch));
        EXPECT_FALSE(taskListFromJson(HostId("w1"), list.dump(), timePoint(0)).hasValue());
    }
}

// Whatever a broken worker sends must not cause a crash or an undefined conversion.
TEST(WorkerProtocol, SurvivesAnyBytes)
{
    const auto read = [](const std::string &text) {
        const auto list = taskListFromJson(HostId("w1"), text, timePoint(0));
        if (list) {
            RC_ASSERT(list.value().cursor.boot != 0U);
        }
        observationOf(RevokeTask{task}, answered(200, text));
        observationOf(StartTask{.task = task}, answered(200, text));
    };
    EXPECT_TRUE(rc::check("random bytes", [&](const std::string &text) { read(text); }));
    EXPECT_TRUE(rc::check("changed and cut bytes", [&](std::uint8_t byte) {
        std::string text = validList().dump();
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(byte);
        read(text);
        read(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
    }));
    EXPECT_TRUE(rc::check("values of another kind", [&] {
        const json whole = validList();
        const json flat = whole.flatten();
        const auto place = std::next(flat.begin(), *rc::gen::inRange<int>(0, flat.size()));
        const json value = *rc::gen::element<json>(
                nullptr, true, -1, 1e18, 18'446'744'073'709'551'615U, "", "x", json::array(),
                json::object(), json::array({json::array({1})}));
        json changed = whole;
        changed[json::json_pointer(place.key())] = value;
        read(changed.dump());
    }));
}

// Drawing too much from a response could start a run twice or report it as ended.
TEST(WorkerProtocol, ObservesOnlyWhatAResponseProves)
{
    const StartTask start{.task = task};
    const RevokeTask revoke{task};
    const auto stateOf = [](const WorkerCommand &command, const HttpOutcome &outcome) {
        const auto seen = observationOf(command, outcome);
        return seen ? std::optional(seen->state) : std::nullopt;
    };
    {
        SCOPED_TRACE("status 409");
        EXPECT_EQ(stateOf(start, answered(409, "")), TaskState::Refused);
        // No byte was sent: without this, a start on a connection closed by a reboot ended the run
        // as may-have-run.
        EXPECT_EQ(stateOf(start, {HttpDelivery::NotSent, HttpError::ConnectionLost, {}}),
                  TaskState::Refused);
        // A draining worker: without this, a run that was never accepted ended as may-have-run.
        EXPECT_EQ(stateOf(start, answered(503, "")), TaskState::Refused);
        EXPECT_EQ(stateOf(revoke, answered(409, "")), std::nullopt);
        EXPECT_EQ(stateOf(StopTask{task}, answered(409, "")), std::nullopt);
        EXPECT_EQ(stateOf(RenewLeases{HostId("w1"), {}, {}}, answered(409, "")), std::nullopt);
    }
    {
        SCOPED_TRACE("no response, or another status");
        EXPECT_EQ(stateOf(revoke, {HttpDelivery::NotSent, HttpError::Refused, {}}), std::nullopt);
        EXPECT_EQ(stateOf(start, {HttpDelivery::MayHaveBeenSent, HttpError::DeadlinePassed, {}}),
                  std::nullopt);
        EXPECT_EQ(stateOf(start, answered(500, R"({"state":"running","boot":1})")), std::nullopt);
    }
    {
        SCOPED_TRACE("a revocation");
        const auto never = answered(200, R"({"state":"never-started","boot":4})");
        EXPECT_EQ(stateOf(revoke, never), TaskState::NeverStarted);
        EXPECT_EQ(observationOf(revoke, never)->workerBoot, 4U);
        EXPECT_EQ(stateOf(revoke, answered(200, R"({"state":"succeeded","boot":4})")),
                  TaskState::Succeeded);
        EXPECT_EQ(stateOf(revoke, answered(200, R"({"state":"never-started"})")), std::nullopt);
        EXPECT_EQ(stateOf(revoke, answered(200, "{}")), std::nullopt);
        EXPECT_EQ(stateOf(start, never), std::nullopt);
    }
}

}  // namespace
}  // namespace poplarstream
