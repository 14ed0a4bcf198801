#include "fleet/worker.hpp"

#include <algorithm>  // for max
#include <stdexcept>  // for invalid_argument

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for serve, systemMilliseconds, steadyMilliseconds

namespace poplarstream::standins {

namespace {

using nlohmann::json;

FencingToken tokenFrom(const json &body)
{
    const json &token = body.at("token");
    return {token.at("offset").get<Offset>(), token.at("index").get<std::uint32_t>()};
}

json jsonOf(const FencingToken &token)
{
    return {{"offset", token.offset}, {"index", token.index}};
}

std::string runOf(const json &body)
{
    return body.at("run").get<std::string>();
}

HttpResponse fault(unsigned status, const std::string &text)
{
    return jsonResponse(status, json{{"error", text}}.dump());
}

}  // namespace

Worker::Worker(boost::asio::io_context &io, FleetContext &context, const WorkerOptions &options,
               WorkerEvents events)
    : io_(io)
    , context_(context)
    , options_(options)
    , events_(std::move(events))
{}

void Worker::open()
{
    server_.emplace(serve(io_, "worker " + options_.name, options_.endpoint,
                          [this](const HttpRequest &request, HttpRespond respond) {
                              handle(request, std::move(respond));
                          }));
}

void Worker::close()
{
    server_.reset();
    unanswered_.clear();
    for (auto &[id, run] : runs_) {
        if (run.task && run.task->isActive()) {
            note("run-lost", id, *run.task);
            run.task->state = TaskState::Stopped;
        }
    }
}

void Worker::setFault(Fault fault, double factor)
{
    fault_ = fault;
    factor_ = fault == Fault::Slow ? factor : 1;
}

std::size_t Worker::runningTasks() const
{
    std::size_t count = 0;
    for (const auto &[id, run] : runs_) {
        count += run.task && run.task->isActive() ? 1 : 0;
    }
    return count;
}

void Worker::note(const std::string &event, const std::string &run, const Task &task)
{
    context_.history.write({{"kind", event},
                            {"run", run},
                            {"token", jsonOf(task.token)},
                            {"service", task.service},
                            {"worker", options_.name},
                            {"time_ms", systemMilliseconds()}});
}

void Worker::end(const std::string &run, Task &task, TaskState state)
{
    task.state = state;
    if (state == TaskState::Finished) {
        task.result = json{{"nonce", task.work.nonce}, {"worker", options_.name}}.dump();
    }
    note("run-" + std::string(taskStateText(state)), run, task);
}

void Worker::tick(std::int64_t nowMs, std::int64_t elapsedMs)
{
    for (auto &[id, run] : runs_) {
        if (!run.task || !run.task->isActive()) {
            continue;
        }
        Task &task = *run.task;
        const double speed = (task.state == TaskState::Throttled ? 0.5 : 1) / factor_;
        task.remainingMs -= static_cast<double>(elapsedMs) * speed;
        if (task.leaseUntilMs < nowMs) {
            end(id, task, TaskState::Lapsed);
        } else if (fault_ == Fault::FailsAll) {
            end(id, task, TaskState::Failed);
        } else if (task.remainingMs <= 0) {
            end(id, task, TaskState::Finished);
        }
    }
    noteOverfull();
}

// Records the start of a time in which tasks use more memory than the worker has.
void Worker::noteOverfull()
{
    double memoryMb = 0;
    for (const auto &[id, run] : runs_) {
        if (run.task && run.task->isActive()) {
            memoryMb += run.task->declaredMemoryMb * run.task->work.sizeFactor;
        }
    }
    const bool isOverfull = options_.memoryMb > 0 && memoryMb > options_.memoryMb;
    if (isOverfull && !isOverfull_) {
        context_.history.write({{"kind", "overfull"},
                                {"worker", options_.name},
                                {"memory_mb", memoryMb},
                                {"time_ms", systemMilliseconds()}});
    }
    isOverfull_ = isOverfull;
}

void Worker::handle(const HttpRequest &request, HttpRespond respond)
{
    if (fault_ == Fault::Silent) {
        unanswered_.push_back(std::move(respond));
        return;
    }
    try {
        const json body = request.body.empty() ? json::object() : json::parse(request.body);
        respond(route(request.method, std::string(targetPath(request.target)), body));
    } catch (const std::exception &error) {
        respond(fault(400, error.what()));
    }
}

HttpResponse Worker::route(const std::string &method, const std::string &path, const json &body)
{
    if (method == "GET") {
        return path == "/tasks" ? list() : path == "/health" ? health() : fault(404, "unknown");
    }
    if (path == "/tasks") {
        return start(body);
    }
    if (path == "/tasks/renew") {
        return renew(body);
    }
    if (path == "/tasks/revoke") {
        return revoke(body);
    }
    if (path.starts_with("/tasks/")) {
        return act(path.substr(7), body);
    }
    if (path == "/drain" || path == "/resume" || path == "/reboot") {
        (path == "/drain" ? events_.drain : path == "/resume" ? events_.resume : events_.reboot)();
        return jsonResponse(202, "{}");
    }
    return fault(404, "unknown");
}

HttpResponse Worker::start(const json &body)
{
    const FencingToken token = tokenFrom(body);
    const std::string id = runOf(body);
    Run &run = runs_[id];
    if (token < run.newest || (run.revoked && token <= *run.revoked)) {
        return fault(409, "fenced");
    }
    if (run.task && run.task->token == token) {
        return jsonResponse(200, "{}");  // a repeated start
    }
    if (isDraining_) {
        return fault(503, "draining");
    }
    run.newest = token;
    if (run.task && run.task->isActive()) {
        end(id, *run.task, TaskState::Stopped);
    }
    Task task;
    task.token = token;
    task.service = body.value("service", "");
    task.work = readWork(context_, body.value("payload", ""), task.service);
    task.remainingMs = task.work.milliseconds;
    if (const auto saved = context_.checkpoints.find(id); saved != context_.checkpoints.end()) {
        task.remainingMs = saved->second;
        context_.checkpoints.erase(saved);
    }
    task.declaredCpus = body.value("cpus", 0.0);
    task.declaredMemoryMb = body.value("memory_mb", 0.0);
    task.startedMs = steadyMilliseconds();
    task.leaseUntilMs = task.startedMs + body.at("lease_ms").get<std::int64_t>();
    run.task = std::move(task);
    run.started.insert(token);
    note("run-started", id, *run.task);
    return jsonResponse(201, "{}");
}

HttpResponse Worker::renew(const json &body)
{
    const std::int64_t until = steadyMilliseconds() + body.at("lease_ms").get<std::int64_t>();
    json lost = json::array();
    for (const json &item : body.at("tokens")) {
        if (Task *task = activeTask(item)) {
            task->leaseUntilMs = std::max(task->leaseUntilMs, until);
        } else {
            lost.push_back(item);
        }
    }
    return jsonResponse(200, json{{"lost", lost}}.dump());
}

// Fences the token if its task has not started; otherwise only tells the state.
HttpResponse Worker::revoke(const json &body)
{
    const FencingToken token = tokenFrom(body);
    Run &run = runs_[runOf(body)];
    if (run.started.contains(token)) {
        const bool isRunning = run.task->token == token && run.task->isActive();
        const char *state = isRunning ? "running" : "finished";
        return jsonResponse(200, json{{"state", state}}.dump());
    }
    run.revoked = run.revoked ? std::max(*run.revoked, token) : token;
    return jsonResponse(200, R"({"state":"never-started"})");
}

HttpResponse Worker::act(const std::string &action, const json &body)
{
    Task *task = activeTask(body);
    if (task == nullptr) {
        return fault(409, "no such task");
    }
    if (action == "stop") {
        end(runOf(body), *task, TaskState::Stopped);
    } else if (action == "throttle") {
        task->state = TaskState::Throttled;
    } else if (action == "checkpoint") {
        context_.checkpoints[runOf(body)] = task->remainingMs;
        end(runOf(body), *task, TaskState::Checkpointed);
    } else {
        return fault(404, "unknown");
    }
    return jsonResponse(200, "{}");
}

HttpResponse Worker::list() const
{
    json tasks = json::array();
    const std::int64_t seenMs = steadyMilliseconds() - context_.usageLagMs;
    for (const auto &[id, run] : runs_) {
        if (!run.task) {
            continue;
        }
        const Task &task = *run.task;
        // The use of a task is unknown, and given as declared, until the lag has passed.
        const double factor = task.startedMs <= seenMs ? task.work.sizeFactor : 1;
        json item{{"run", id},
                  {"token", jsonOf(task.token)},
                  {"state", taskStateText(task.state)},
                  {"result", task.result}};
        if (task.isActive()) {
            item["usage"] = {{"cpus", task.declaredCpus * factor},
                             {"memory_mb", task.declaredMemoryMb * factor}};
        }
        tasks.push_back(std::move(item));
    }
    return jsonResponse(200, json{{"tasks", tasks}}.dump());
}

HttpResponse Worker::health() const
{
    const std::size_t tasks = runningTasks();
    const char *state = !isDraining_ ? "in-service" : tasks > 0 ? "draining" : "drained";
    return jsonResponse(200, json{{"state", state}, {"tasks", tasks}}.dump());
}

// The running task of that run and token; null if it has ended or was never started.
Worker::Task *Worker::activeTask(const json &body)
{
    const auto place = runs_.find(runOf(body));
    if (place == runs_.end() || !place->second.task || !place->second.task->isActive()
        || place->second.task->token != tokenFrom(body)) {
        return nullptr;
    }
    return &*place->second.task;
}

}  // namespace poplarstream::standins
