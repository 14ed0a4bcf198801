#include "fleet/worker.hpp"

#include <algorithm>  // for max
#include <charconv>  // for from_chars

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for startServer, systemMilliseconds, steadyMilliseconds
#include "poplarstream/adapters/worker_protocol.hpp"  // for taskStateText

namespace poplarstream::standins {

namespace {

using nlohmann::json;

// Ended tasks per response; the client gets the rest with its next poll.
constexpr std::size_t maxListedEnded = 128;

FencingToken parseToken(const json &token)
{
    return {token.at("offset").get<Offset>(), token.at("index").get<std::uint32_t>()};
}

json toJson(const FencingToken &token)
{
    return {{"offset", token.offset}, {"index", token.index}};
}

json toJson(const Resources &resources)
{
    return {{"cpus", resources.cpus},
            {"memory_mb", resources.memoryMegabytes},
            {"accelerators", resources.accelerators}};
}

HttpResponse errorResponse(unsigned status, const std::string &text)
{
    return jsonResponse(status, json{{"error", text}}.dump());
}

std::uint64_t queryNumber(const std::string &target, std::string_view name)
{
    std::uint64_t number = 0;
    if (const auto text = queryValue(target, name)) {
        std::from_chars(text->data(), text->data() + text->size(), number);
    }
    return number;
}

Task parseTask(FleetContext &context, const json &body)
{
    Task task;
    task.run = body.at("run").get<std::string>();
    task.token = parseToken(body.at("token"));
    task.service = body.value("service", "");
    task.work = parseWork(context, body.value("payload", ""), task.service);
    task.remainingMs = task.work.durationMs;
    if (const std::string checkpoint = body.value("checkpoint", ""); !checkpoint.empty()) {
        task.remainingMs = json::parse(checkpoint).at("remaining_ms").get<double>();
        task.isContinued = true;
    }
    task.declared = {body.value("cpus", 0.0), body.value("memory_mb", std::uint64_t{0}),
                     body.value("accelerators", 0U)};
    task.cpuLimit = task.declared.cpus * task.work.sizeFactor;
    task.startedMs = steadyMilliseconds();
    task.startedUnixMs = systemMilliseconds();
    task.leaseUntilMs = task.startedMs + body.at("lease_ms").get<std::int64_t>();
    return task;
}

}  // namespace

Worker::Worker(boost::asio::io_context &io, FleetContext &context, const WorkerOptions &options,
               WorkerCallbacks callbacks)
    : io_(io)
    , context_(context)
    , options_(options)
    , callbacks_(std::move(callbacks))
    , taskTable_(context, options.name)
{}

void Worker::open()
{
    // The clock keeps boot numbers unique across restarts of this program.
    bootNumber_ = std::max(bootNumber_ + 1, static_cast<std::uint64_t>(systemMilliseconds()));
    isDraining_ = false;
    server_.emplace(startServer(io_, "worker " + options_.name, options_.endpoint,
                                [this](const HttpRequest &request, HttpRespond respond) {
                                    handle(request, std::move(respond));
                                }));
}

void Worker::close()
{
    server_.reset();
    unanswered_.clear();
    taskTable_.loseAllTasks();
    isOverfull_ = false;
}

void Worker::setFault(Fault fault, double factor)
{
    fault_ = fault;
    factor_ = fault == Fault::Slow ? factor : 1;
}

bool Worker::isDrained() const
{
    return isDraining_ && runningTasks() == 0 && callbacks_.areMinionsIdle();
}

void Worker::tick(std::int64_t nowMs, std::int64_t elapsedMs)
{
    taskTable_.tick(nowMs, elapsedMs, fault_, factor_);
    recordOverfull();
}

// Records the start of each period in which the tasks use more memory than the worker has.
void Worker::recordOverfull()
{
    const auto memoryMb = static_cast<double>(taskTable_.usage().memoryMegabytes);
    const bool isOverfull = options_.memoryMb > 0 && memoryMb > options_.memoryMb;
    if (isOverfull && !isOverfull_) {
        context_.history.write({{"kind", "overfull"},
                                {"host", options_.name},
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
        respond(route(request));
    } catch (const std::exception &error) {
        respond(errorResponse(400, error.what()));
    }
}

HttpResponse Worker::route(const HttpRequest &request)
{
    const std::string path(targetPath(request.target));
    if (request.method == "GET") {
        return path == "/tasks"    ? list(request.target)
               : path == "/health" ? jsonResponse(200, "{}")
                                   : errorResponse(404, "unknown");
    }
    const json body = json::parse(request.body);
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
        return controlTask(path.substr(7), body);
    }
    return executeHostCommand(path, body.at("grant").get<Offset>());
}

HttpResponse Worker::start(const json &body)
{
    Task task = parseTask(context_, body);
    if (taskTable_.isFenced(task.run, task.token)) {
        return errorResponse(409, "the token is lower than the newest, or revoked");
    }
    const auto boot = body.value("boot", std::uint64_t{0});
    if (boot != 0 && boot != bootNumber_) {
        return errorResponse(409, "the claim was made for another boot");
    }
    if (const Task *known = taskTable_.find(task.token)) {
        return taskResponse(*known, 200);
    }
    if (isDraining_) {
        return errorResponse(503, "draining");
    }
    return taskResponse(taskTable_.start(std::move(task)), 201);
}

HttpResponse Worker::renew(const json &body)
{
    const std::int64_t until = steadyMilliseconds() + body.at("lease_ms").get<std::int64_t>();
    json lost = json::array();
    for (const json &token : body.at("tokens")) {
        if (!taskTable_.renew(parseToken(token), until)) {
            lost.push_back(token);
        }
    }
    return jsonResponse(200, json{{"lost", lost}}.dump());
}

// Fences the token if its task has not started; otherwise only returns the state of the task.
HttpResponse Worker::revoke(const json &body)
{
    const FencingToken token = parseToken(body.at("token"));
    if (taskTable_.revoke(body.at("run").get<std::string>(), token)) {
        return jsonResponse(200, json{{"state", "never-started"}, {"boot", bootNumber_}}.dump());
    }
    const Task *const task = taskTable_.find(token);
    return task != nullptr ? taskResponse(*task, 200)
                           : errorResponse(410, "the result is not kept any more");
}

HttpResponse Worker::controlTask(const std::string &action, const json &body)
{
    Task *const task = taskTable_.find(parseToken(body.at("token")));
    if (task == nullptr || task->run != body.at("run").get<std::string>()) {
        return errorResponse(409, "no such task");
    }
    if (!task->isActive()) {
        return taskResponse(*task, 200);
    }
    if (action == "stop") {
        taskTable_.stop(*task);
    } else if (action == "throttle") {
        task->cpuLimit = body.at("cpus").get<double>();
    } else if (action == "checkpoint") {
        taskTable_.checkpoint(*task);
    } else {
        return errorResponse(404, "unknown");
    }
    return taskResponse(*task, 200);
}

HttpResponse Worker::executeHostCommand(const std::string &command, Offset grant)
{
    if (command != "/drain" && command != "/undrain" && command != "/reboot") {
        return errorResponse(404, "unknown");
    }
    if (grant < newestGrant_) {
        return errorResponse(409, "the grant is older than the newest");
    }
    if (command != "/undrain" && lastUndrainGrant_ && grant <= *lastUndrainGrant_) {
        return errorResponse(409, "the absence of this grant is over");
    }
    if (command == "/reboot") {
        if (grant != 0 && lastRebootGrant_ == grant) {
            return jsonResponse(200, "{}");  // a repeated command
        }
        if (!isDrained()) {
            return errorResponse(409, "not drained");
        }
    }
    newestGrant_ = grant;
    if (command == "/reboot") {
        callbacks_.reboot(grant);
    } else {
        if (command == "/undrain") {
            lastUndrainGrant_ = grant;
        }
        setDraining(command == "/drain");
    }
    return jsonResponse(200, "{}");
}

void Worker::setDraining(bool isDraining)
{
    if (isDraining_ != isDraining) {
        isDraining_ = isDraining;
        callbacks_.setDraining(isDraining);
    }
}

json Worker::taskJson(const Task &task) const
{
    const std::int64_t nowMs = steadyMilliseconds();
    json item{{"run", task.run},
              {"token", toJson(task.token)},
              {"state", taskStateText(task.state)},
              {"ran_ms", (task.isActive() ? nowMs : task.endedMs) - task.startedMs}};
    if (task.isActive()) {
        const UsageSample *const sample = taskTable_.visibleUsage(nowMs);
        if (sample != nullptr && sample->tasks.contains(task.token)) {
            item["usage"] = toJson(sample->tasks.at(task.token));
        }
        return item;
    }
    item["peak"] = toJson(task.usage());
    if (!task.result.empty()) {
        item["result"] = task.result;
    }
    if (!task.checkpoint.empty()) {
        item["checkpoint"] = task.checkpoint;
    }
    return item;
}

HttpResponse Worker::taskResponse(const Task &task, unsigned status) const
{
    json body = taskJson(task);
    body["boot"] = bootNumber_;
    return jsonResponse(status, body.dump());
}

HttpResponse Worker::list(const std::string &target) const
{
    const bool isSameBoot = queryNumber(target, "boot") == bootNumber_;
    std::uint64_t lastListedChange = 0;
    json tasks = json::array();
    const std::uint64_t since = isSameBoot ? queryNumber(target, "since") : 0;
    for (const Task *const task : taskTable_.list(since, maxListedEnded, lastListedChange)) {
        tasks.push_back(taskJson(*task));
    }
    json body{{"boot", bootNumber_},
              {"change", lastListedChange},
              {"grant", newestGrant_},
              {"rebooted_for", lastRebootGrant_},
              {"mode", !isDraining_  ? "in-service"
                       : isDrained() ? "drained"
                                     : "draining"},
              {"tasks", tasks}};
    if (lastUndrainGrant_) {
        body["undrained"] = *lastUndrainGrant_;
    }
    const std::int64_t nowMs = steadyMilliseconds();
    if (const UsageSample *const sample = taskTable_.visibleUsage(nowMs)) {
        body["usage"] = toJson(sample->total);
        body["usage"]["age_ms"] = nowMs - sample->atMs;
    }
    return jsonResponse(200, body.dump());
}

}  // namespace poplarstream::standins
