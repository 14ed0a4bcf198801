#include "poplarstream/adapters/worker_protocol.hpp"

#include <array>  // for array
#include <limits>  // for numeric_limits
#include <stdexcept>  // for invalid_argument

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson

namespace poplarstream {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 7> taskStateTexts{
        "", "never-started", "running", "succeeded", "failed", "stopped", "checkpointed"};

// A year. Larger durations could overflow when added to a time.
constexpr std::uint64_t maxMilliseconds = 366ULL * 24 * 3600 * 1000;
constexpr double maxAmount = 1e12;

json jsonOf(const FencingToken &token)
{
    return {{"offset", token.offset}, {"index", token.index}};
}

json jsonOf(const TaskRef &task)
{
    return {{"run", task.run.text()}, {"token", jsonOf(task.token)}};
}

HttpRequest post(std::string_view target, const json &body)
{
    HttpRequest request{"POST", std::string(target), {}, {}, {}};
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
}

struct RequestWriter
{
    HttpRequest operator()(const StartTask &start) const
    {
        json body = jsonOf(start.task);
        body.update({{"boot", start.workerBoot},
                     {"service", start.service.text()},
                     {"payload", start.payload},
                     {"checkpoint", start.checkpoint},
                     {"cpus", start.size.cpus},
                     {"memory_mb", start.size.memoryMegabytes},
                     {"accelerators", start.size.accelerators},
                     {"lease_ms", start.lease.count()}});
        return post("/tasks", body);
    }
    HttpRequest operator()(const RenewLeases &renewal) const
    {
        json body{{"tokens", json::array()}, {"lease_ms", renewal.lease.count()}};
        for (const FencingToken &token : renewal.tokens) {
            body["tokens"].push_back(jsonOf(token));
        }
        return post("/tasks/renew", body);
    }
    HttpRequest operator()(const RevokeTask &revocation) const
    {
        return post("/tasks/revoke", jsonOf(revocation.task));
    }
    HttpRequest operator()(const StopTask &stop) const
    {
        return post("/tasks/stop", jsonOf(stop.task));
    }
    HttpRequest operator()(const ThrottleTask &throttle) const
    {
        json body = jsonOf(throttle.task);
        body["cpus"] = throttle.cpus;
        return post("/tasks/throttle", body);
    }
    HttpRequest operator()(const CheckpointTask &checkpoint) const
    {
        return post("/tasks/checkpoint", jsonOf(checkpoint.task));
    }
};

// An integer that fits the type; 0 if it is absent.
template <class Number>
Number integerFrom(const json &object, const char *key,
                   std::uint64_t maximum = std::numeric_limits<Number>::max())
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return 0;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > maximum) {
        throw std::invalid_argument(std::string(key) + " is out of range");
    }
    return static_cast<Number>(found->get<std::uint64_t>());
}

// Workers may report fractions of a resource, since usage is an average.
double amountFrom(const json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return 0;
    }
    const double amount = found->is_number() ? found->get<double>() : -1;
    if (!(amount >= 0 && amount <= maxAmount)) {
        throw std::invalid_argument(std::string(key) + " is out of range");
    }
    return amount;
}

Milliseconds durationFrom(const json &object, const char *key)
{
    return Milliseconds{integerFrom<std::int64_t>(object, key, maxMilliseconds)};
}

Resources resourcesFrom(const json &object)
{
    if (!object.is_object()) {
        throw std::invalid_argument("resources are not an object");
    }
    return {amountFrom(object, "cpus"), static_cast<std::uint64_t>(amountFrom(object, "memory_mb")),
            integerFrom<std::uint32_t>(object, "accelerators")};
}

FencingToken tokenFrom(const json &object)
{
    const json &token = object.at("token");
    if (!token.is_object() || !token.contains("offset") || !token.contains("index")) {
        throw std::invalid_argument("token is not an offset and an index");
    }
    return {integerFrom<Offset>(token, "offset"), integerFrom<std::uint32_t>(token, "index")};
}

// Reads the fields that task list elements and responses to commands have in common.
TaskObservation observationFrom(const TaskRef &task, std::uint64_t boot, const json &item)
{
    const auto state = taskStateFromText(item.at("state").get<std::string>());
    if (!state) {
        throw std::invalid_argument("unknown task state");
    }
    TaskObservation observation{task, boot, *state, {}, {}, {}, {}};
    observation.result = item.value("result", "");
    observation.checkpoint = item.value("checkpoint", "");
    if (const auto peak = item.find("peak"); peak != item.end()) {
        observation.peak = resourcesFrom(*peak);
    }
    observation.ran = durationFrom(item, "ran_ms");
    return observation;
}

void readMode(TaskList &list, const std::string &mode)
{
    if (mode != "in-service" && mode != "draining" && mode != "drained") {
        throw std::invalid_argument("unknown mode");
    }
    list.isDraining = mode != "in-service";
    list.isDrained = mode == "drained";
}

TaskList listFrom(const HostId &host, const json &body, TimePoint requestedAt)
{
    TaskList list;
    list.cursor = {integerFrom<std::uint64_t>(body, "boot"),
                   integerFrom<std::uint64_t>(body, "change")};
    if (list.cursor.boot == 0) {
        throw std::invalid_argument("no boot");
    }
    list.grant = integerFrom<Offset>(body, "grant");
    list.rebootedFor = integerFrom<Offset>(body, "rebooted_for");
    if (body.contains("undrained")) {
        list.undrained = integerFrom<Offset>(body, "undrained");
    }
    readMode(list, body.at("mode").get<std::string>());
    if (const auto usage = body.find("usage"); usage != body.end()) {
        list.usage = {requestedAt - durationFrom(*usage, "age_ms"), resourcesFrom(*usage), {}};
    }
    for (const json &item : body.at("tasks")) {
        const TaskRef task{RunId(item.at("run").get<std::string>()), tokenFrom(item), host};
        list.tasks.push_back(observationFrom(task, list.cursor.boot, item));
        if (const auto usage = item.find("usage"); list.usage && usage != item.end()) {
            list.usage->tasks.push_back({task.token, resourcesFrom(*usage)});
        }
    }
    return list;
}

// Whether the worker certainly did not accept a start: no byte was sent, or the status is 409
// (fenced, or another boot) or 503 (draining).
bool isCertainlyRejected(const HttpOutcome &outcome)
{
    const unsigned status = outcome.response.status;
    return outcome.delivery == HttpDelivery::NotSent
           || (outcome.delivery == HttpDelivery::Answered && (status == 409 || status == 503));
}

const TaskRef *taskOf(const WorkerCommand &command)
{
    return std::visit(
            [](const auto &content) -> const TaskRef * {
                if constexpr (requires { content.task; }) {
                    return &content.task;
                } else {
                    return nullptr;
                }
            },
            command);
}

}  // namespace

std::string_view taskStateText(TaskState state)
{
    return taskStateTexts.at(static_cast<std::size_t>(state));
}

std::optional<TaskState> taskStateFromText(std::string_view text)
{
    for (std::size_t i = 1; i < taskStateTexts.size(); ++i) {
        if (taskStateTexts.at(i) == text) {
            return static_cast<TaskState>(i);
        }
    }
    return std::nullopt;
}

const HostId &workerOf(const WorkerCommand &command)
{
    const TaskRef *const task = taskOf(command);
    return task != nullptr ? task->worker : std::get<RenewLeases>(command).worker;
}

HttpRequest requestOf(const WorkerCommand &command)
{
    return std::visit(RequestWriter{}, command);
}

HttpRequest grantRequest(std::string_view target, Offset grant)
{
    return post(target, {{"grant", grant}});
}

HttpRequest taskListRequest(const TaskListCursor &cursor)
{
    HttpRequest request;
    request.target = "/tasks?boot=" + std::to_string(cursor.boot)
                     + "&since=" + std::to_string(cursor.change);
    return request;
}

std::optional<TaskObservation> observationOf(const WorkerCommand &command,
                                             const HttpOutcome &outcome)
{
    const TaskRef *const task = taskOf(command);
    if (task == nullptr) {
        return std::nullopt;
    }
    if (std::holds_alternative<StartTask>(command) && isCertainlyRejected(outcome)) {
        TaskObservation refused;
        refused.task = *task;
        refused.state = TaskState::Refused;
        return refused;
    }
    const unsigned status = outcome.response.status;
    if (outcome.delivery != HttpDelivery::Answered) {
        return std::nullopt;
    }
    if (status < 200 || status >= 300) {
        return std::nullopt;
    }
    try {
        const json body = parseBoundedJson(outcome.response.body).value_or(json());
        TaskObservation observation =
                observationFrom(*task, integerFrom<std::uint64_t>(body, "boot"), body);
        const bool isRevocation = std::holds_alternative<RevokeTask>(command);
        // Only after a revocation does the worker guarantee that it will not start the task, and
        // the guarantee needs the boot to be compared with that of the claim.
        if (observation.state == TaskState::NeverStarted
            && (!isRevocation || observation.workerBoot == 0)) {
            return std::nullopt;
        }
        return observation;
    } catch (const std::exception &) {
        return std::nullopt;  // not a valid response of this protocol
    }
}

Result<TaskList> taskListFromJson(const HostId &host, std::string_view text, TimePoint requestedAt)
{
    try {
        return listFrom(host, parseBoundedJson(text).value_or(json()), requestedAt);
    } catch (const std::exception &error) {
        return Failure{std::string("invalid list of tasks: ") + error.what(), "tasks"};
    }
}

}  // namespace poplarstream
