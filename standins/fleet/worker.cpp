#include "fleet/worker.hpp"

#include <algorithm>  // for max
#include <charconv>  // for from_chars

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for serve, systemMilliseconds, steadyMilliseconds
#include "poplarstream/adapters/worker_protocol.hpp"  // for taskStateText

namespace poplarstream::standins {

namespace {

using nlohmann::json;

// Ended tasks in one answer; the reader asks for the rest with its next poll.
constexpr std::size_t maxListedEnded = 128;

FencingToken tokenFrom(const json &token)
{
    return {token.at("offset").get<Offset>(), token.at("index").get<std::uint32_t>()};
}

json jsonOf(const FencingToken &token)
{
    return {{"offset", token.offset}, {"index", token.index}};
}

json jsonOf(const Resources &resources)
{
    return {{"cpus", resources.cpus},
            {"memory_mb", resources.memoryMegabytes},
            {"accelerators", resources.accelerators}};
}

HttpResponse fault(unsigned status, const std::string &text)
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

Task taskFrom(FleetContext &context, const json &body)
{
    Task task;
    task.run = body.at("run").get<std::string>();
    task.token = tokenFrom(body.at("token"));
    task.service = body.value("service", "");
    task.work = readWork(context, body.value("payload", ""), task.service);
    task.remainingMs = task.work.milliseconds;
    if (const std::string checkpoint = body.value("checkpoint", ""); !checkpoint.empty()) {
        task.remainingMs = json::parse(checkpoint).at("remaining_ms").get<double>();
        task.isContinued = true;
    }
    task.declared = {body.value("cpus", 0.0), body.value("memory_mb", std::uint64_t{0}),
                     body.value("accelerators", 0U)};
    task.cpuLimit = task.declared.cpus * task.work.sizeFactor;
    task.startedMs = steadyMilliseconds();
    task.startedWallMs = systemMilliseconds();
    task.leaseUntilMs = task.startedMs + body.at("lease_ms").get<std::int64_t>();
    return task;
}

}  // namespace

Worker::Worker(boost::asio::io_context &io, FleetContext &context, const WorkerOptions &options,
               WorkerEvents events)
    : io_(io)
    , context_(context)
    , options_(options)
    , events_(std::move(events))
    , book_(context, options.name)
{}

void Worker::open()
{
    // The time keeps boots apart over a restart of this program too.
    boot_ = std::max(boot_ + 1, static_cast<std::uint64_t>(systemMilliseconds()));
    isDraining_ = false;
    server_.emplace(serve(io_, "worker " + options_.name, options_.endpoint,
                          [this](const HttpRequest &request, HttpRespond respond) {
                              handle(request, std::move(respond));
                          }));
}

void Worker::close()
{
    server_.reset();
    unanswered_.clear();
    book_.forget();
    isOverfull_ = false;
}

void Worker::setFault(Fault fault, double factor)
{
    fault_ = fault;
    factor_ = fault == Fault::Slow ? factor : 1;
}

bool Worker::isDrained() const
{
    return isDraining_ && runningTasks() == 0 && events_.areMinionsIdle();
}

void Worker::tick(std::int64_t nowMs, std::int64_t elapsedMs)
{
    book_.tick(nowMs, elapsedMs, fault_, factor_);
    noteOverfull();
}

// Records the start of a time in which tasks use more memory than the worker has.
void Worker::noteOverfull()
{
    const auto memoryMb = static_cast<double>(book_.usage().memoryMegabytes);
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
        respond(fault(400, error.what()));
    }
}

HttpResponse Worker::route(const HttpRequest &request)
{
    const std::string path(targetPath(request.target));
    if (request.method == "GET") {
        return path == "/tasks"    ? list(request.target)
               : path == "/health" ? jsonResponse(200, "{}")
                                   : fault(404, "unknown");
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
        return act(path.substr(7), body);
    }
    return obey(path, body.at("grant").get<Offset>());
}

HttpResponse Worker::start(const json &body)
{
    Task task = taskFrom(context_, body);
    if (book_.isFenced(task.run, task.token)) {
        return fault(409, "the token is lower than the newest, or revoked");
    }
    const auto boot = body.value("boot", std::uint64_t{0});
    if (boot != 0 && boot != boot_) {
        return fault(409, "the claim was made for another boot");
    }
    if (const Task *known = book_.find(task.token)) {
        return stateOf(*known, 200);
    }
    if (isDraining_) {
        return fault(503, "draining");
    }
    return stateOf(book_.start(std::move(task)), 201);
}

HttpResponse Worker::renew(const json &body)
{
    const std::int64_t until = steadyMilliseconds() + body.at("lease_ms").get<std::int64_t>();
    json lost = json::array();
    for (const json &token : body.at("tokens")) {
        if (!book_.renew(tokenFrom(token), until)) {
            lost.push_back(token);
        }
    }
    return jsonResponse(200, json{{"lost", lost}}.dump());
}

// Fences the token if its task has not started; otherwise only tells the state.
HttpResponse Worker::revoke(const json &body)
{
    const FencingToken token = tokenFrom(body.at("token"));
    if (book_.revoke(body.at("run").get<std::string>(), token)) {
        return jsonResponse(200, json{{"state", "never-started"}, {"boot", boot_}}.dump());
    }
    const Task *const task = book_.find(token);
    return task != nullptr ? stateOf(*task, 200) : fault(410, "the result is not kept any more");
}

HttpResponse Worker::act(const std::string &action, const json &body)
{
    Task *const task = book_.find(tokenFrom(body.at("token")));
    if (task == nullptr || task->run != body.at("run").get<std::string>()) {
        return fault(409, "no such task");
    }
    if (!task->isActive()) {
        return stateOf(*task, 200);
    }
    if (action == "stop") {
        book_.stop(*task);
    } else if (action == "throttle") {
        task->cpuLimit = body.at("cpus").get<double>();
    } else if (action == "checkpoint") {
        book_.checkpoint(*task);
    } else {
        return fault(404, "unknown");
    }
    return stateOf(*task, 200);
}

HttpResponse Worker::obey(const std::string &command, Offset grant)
{
    if (command != "/drain" && command != "/undrain" && command != "/reboot") {
        return fault(404, "unknown");
    }
    if (grant < grant_) {
        return fault(409, "the grant is older than the newest");
    }
    if (command != "/undrain" && undrained_ && grant <= *undrained_) {
        return fault(409, "the absence of this grant is over");
    }
    if (command == "/reboot") {
        if (grant != 0 && rebootedFor_ == grant) {
            return jsonResponse(200, "{}");  // a repeated command
        }
        if (!isDrained()) {
            return fault(409, "not drained");
        }
    }
    grant_ = grant;
    if (command == "/reboot") {
        events_.reboot(grant);
    } else {
        if (command == "/undrain") {
            undrained_ = grant;
        }
        setDraining(command == "/drain");
    }
    return jsonResponse(200, "{}");
}

void Worker::setDraining(bool isDraining)
{
    if (isDraining_ != isDraining) {
        isDraining_ = isDraining;
        events_.setDraining(isDraining);
    }
}

json Worker::describe(const Task &task) const
{
    const std::int64_t nowMs = steadyMilliseconds();
    json item{{"run", task.run},
              {"token", jsonOf(task.token)},
              {"state", taskStateText(task.state)},
              {"ran_ms", (task.isActive() ? nowMs : task.endedMs) - task.startedMs}};
    if (task.isActive()) {
        const UsageSample *const sample = book_.visibleUsage(nowMs);
        if (sample != nullptr && sample->tasks.contains(task.token)) {
            item["usage"] = jsonOf(sample->tasks.at(task.token));
        }
        return item;
    }
    item["peak"] = jsonOf(task.usage());
    if (!task.result.empty()) {
        item["result"] = task.result;
    }
    if (!task.checkpoint.empty()) {
        item["checkpoint"] = task.checkpoint;
    }
    return item;
}

HttpResponse Worker::stateOf(const Task &task, unsigned status) const
{
    json body = describe(task);
    body["boot"] = boot_;
    return jsonResponse(status, body.dump());
}

HttpResponse Worker::list(const std::string &target) const
{
    const bool isSameBoot = queryNumber(target, "boot") == boot_;
    std::uint64_t place = 0;
    json tasks = json::array();
    const std::uint64_t since = isSameBoot ? queryNumber(target, "since") : 0;
    for (const Task *const task : book_.list(since, maxListedEnded, place)) {
        tasks.push_back(describe(*task));
    }
    json body{{"boot", boot_},
              {"change", place},
              {"grant", grant_},
              {"rebooted_for", rebootedFor_},
              {"mode", !isDraining_  ? "in-service"
                       : isDrained() ? "drained"
                                     : "draining"},
              {"tasks", tasks}};
    if (undrained_) {
        body["undrained"] = *undrained_;
    }
    const std::int64_t nowMs = steadyMilliseconds();
    if (const UsageSample *const sample = book_.visibleUsage(nowMs)) {
        body["usage"] = jsonOf(sample->total);
        body["usage"]["age_ms"] = nowMs - sample->atMs;
    }
    return jsonResponse(200, body.dump());
}

}  // namespace poplarstream::standins
