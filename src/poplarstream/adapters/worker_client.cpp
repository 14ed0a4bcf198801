#include "poplarstream/adapters/worker_client.hpp"

#include <array>  // for array

#include "poplarstream/adapters/bounded_json.hpp"  // for parseBoundedJson
#include "poplarstream/adapters/http_client.hpp"  // for HttpClient, HttpOutcome

namespace poplarstream {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 7> taskStateTexts{
        "running", "throttled", "checkpointed", "finished", "failed", "lapsed", "stopped"};

json jsonOf(const TaskKey &key)
{
    return {{"run", key.run.text()},
            {"token", {{"offset", key.token.offset}, {"index", key.token.index}}}};
}

TaskKey keyFrom(const json &item)
{
    const json &token = item.at("token");
    return {RunId(item.at("run").get<std::string>()),
            {token.at("offset").get<Offset>(), token.at("index").get<std::uint32_t>()}};
}

TaskReport reportFrom(const json &item)
{
    TaskReport report;
    report.key = keyFrom(item);
    const auto state = item.at("state").get<std::string>();
    const auto *const place = std::find(taskStateTexts.begin(), taskStateTexts.end(), state);
    if (place == taskStateTexts.end()) {
        throw std::invalid_argument("unknown task state");
    }
    report.state = static_cast<TaskState>(place - taskStateTexts.begin());
    if (item.contains("usage")) {
        report.usedCpus = item["usage"].value("cpus", 0.0);
        report.usedMemoryMegabytes = item["usage"].value("memory_mb", 0.0);
    }
    report.result = item.value("result", "");
    return report;
}

WorkerOutcome workerOutcomeOf(const HttpOutcome &outcome)
{
    if (outcome.delivery != HttpDelivery::Answered) {
        return {outcome.delivery == HttpDelivery::NotSent ? WorkerReply::NotSent
                                                          : WorkerReply::Unknown,
                std::string(faultText(outcome.fault))};
    }
    const unsigned status = outcome.response.status;
    const std::string detail = "status " + std::to_string(status);
    if (status >= 200 && status < 300) {
        return {WorkerReply::Done, detail};
    }
    // A fault inside the agent may come after the start of the task.
    if (status == 500) {
        return {WorkerReply::Unknown, detail};
    }
    return {status == 409 ? WorkerReply::Fenced : WorkerReply::Refused, detail};
}

RevokeOutcome revokeOutcomeOf(const HttpOutcome &outcome)
{
    RevokeOutcome result{workerOutcomeOf(outcome), std::nullopt};
    if (result.outcome.reply != WorkerReply::Done) {
        return result;
    }
    const auto body = parseBoundedJson(outcome.response.body);
    const std::string state = body && body->is_object() ? body->value("state", json()).dump() : "";
    if (state == R"("never-started")") {
        result.state = RevokedState::NeverStarted;
    } else if (state == R"("running")") {
        result.state = RevokedState::Running;
    } else if (state == R"("finished")") {
        result.state = RevokedState::Finished;
    } else {
        result.outcome = {WorkerReply::Unknown, "invalid answer"};
    }
    return result;
}

RenewOutcome renewOutcomeOf(const HttpOutcome &outcome)
{
    RenewOutcome result{workerOutcomeOf(outcome), {}};
    if (result.outcome.reply != WorkerReply::Done) {
        return result;
    }
    try {
        const json body = parseBoundedJson(outcome.response.body).value_or(json());
        for (const json &item : body.at("lost")) {
            result.lost.push_back(keyFrom(item));
        }
    } catch (const json::exception &) {
        result = {{WorkerReply::Unknown, "invalid answer"}, {}};
    }
    return result;
}

Result<WorkerHealth> healthOf(const HttpOutcome &outcome)
{
    const WorkerOutcome reply = workerOutcomeOf(outcome);
    if (reply.reply != WorkerReply::Done) {
        return Failure{reply.detail, ""};
    }
    try {
        const json body = parseBoundedJson(outcome.response.body).value_or(json());
        return WorkerHealth{body.at("state").get<std::string>(), body.value("tasks", 0U)};
    } catch (const json::exception &) {
        return Failure{"invalid answer", "state"};
    }
}

std::string_view actionTarget(TaskAction action)
{
    switch (action) {
    case TaskAction::Throttle:
        return "/tasks/throttle";
    case TaskAction::Checkpoint:
        return "/tasks/checkpoint";
    case TaskAction::Stop:
        break;
    }
    return "/tasks/stop";
}

std::string textOf(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string_view taskStateText(TaskState state)
{
    return taskStateTexts[static_cast<std::size_t>(state)];
}

Result<std::vector<TaskReport>> taskReportsFromJson(std::string_view text)
{
    try {
        std::vector<TaskReport> reports;
        const json body = parseBoundedJson(text).value_or(json());
        for (const json &item : body.at("tasks")) {
            reports.push_back(reportFrom(item));
        }
        return reports;
    } catch (const std::exception &fault) {
        return Failure{std::string("invalid list of tasks: ") + fault.what(), "tasks"};
    }
}

WorkerClient makeWorkerClient(HttpClient &client, Milliseconds deadline)
{
    // Sends a request and passes the outcome through `read` to the caller.
    const auto call = [&client, deadline](const HttpEndpoint &endpoint, std::string method,
                                          std::string_view target, std::string body, auto read,
                                          auto done) {
        HttpRequest request{std::move(method), std::string(target), {}, std::move(body), {}};
        request.headers.push_back({"Content-Type", "application/json"});
        client.send(endpoint, std::move(request), {deadline, {}},
                    [read, done](const HttpOutcome &outcome) { done(read(outcome)); });
    };

    WorkerClient workers;
    workers.start = [call](const HttpEndpoint &endpoint, const TaskStart &task, const auto &done) {
        json body = jsonOf(task.key);
        body.update({{"service", task.service.text()},
                     {"payload", task.payload},
                     {"cpus", task.declared.cpus},
                     {"memory_mb", task.declared.memoryMegabytes},
                     {"accelerators", task.declared.accelerators},
                     {"lease_ms", task.lease.count()}});
        call(endpoint, "POST", "/tasks", textOf(body), workerOutcomeOf, done);
    };
    workers.renew = [call](const HttpEndpoint &endpoint, const std::vector<TaskKey> &keys,
                           Milliseconds lease, const auto &done) {
        json body{{"tokens", json::array()}, {"lease_ms", lease.count()}};
        for (const TaskKey &key : keys) {
            body["tokens"].push_back(jsonOf(key));
        }
        call(endpoint, "POST", "/tasks/renew", textOf(body), renewOutcomeOf, done);
    };
    workers.tasks = [call](const HttpEndpoint &endpoint, const auto &done) {
        const auto read = [](const HttpOutcome &outcome) -> Result<std::vector<TaskReport>> {
            const WorkerOutcome reply = workerOutcomeOf(outcome);
            if (reply.reply != WorkerReply::Done) {
                return Failure{reply.detail, ""};
            }
            return taskReportsFromJson(outcome.response.body);
        };
        call(endpoint, "GET", "/tasks", "", read, done);
    };
    workers.revoke = [call](const HttpEndpoint &endpoint, const TaskKey &key, const auto &done) {
        call(endpoint, "POST", "/tasks/revoke", textOf(jsonOf(key)), revokeOutcomeOf, done);
    };
    workers.act = [call](const HttpEndpoint &endpoint, TaskAction action, const TaskKey &key,
                         const auto &done) {
        call(endpoint, "POST", actionTarget(action), textOf(jsonOf(key)), workerOutcomeOf, done);
    };
    workers.drain = [call](const HttpEndpoint &endpoint, const auto &done) {
        call(endpoint, "POST", "/drain", "", workerOutcomeOf, done);
    };
    workers.resume = [call](const HttpEndpoint &endpoint, const auto &done) {
        call(endpoint, "POST", "/resume", "", workerOutcomeOf, done);
    };
    workers.reboot = [call](const HttpEndpoint &endpoint, const auto &done) {
        call(endpoint, "POST", "/reboot", "", workerOutcomeOf, done);
    };
    workers.health = [call](const HttpEndpoint &endpoint, const auto &done) {
        call(endpoint, "GET", "/health", "", healthOf, done);
    };
    return workers;
}

}  // namespace poplarstream
