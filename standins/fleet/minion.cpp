#include "fleet/minion.hpp"

#include <cmath>  // for llround

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for startServer, runAfter, systemMilliseconds

namespace poplarstream::standins {

namespace {

std::string headerText(const HttpRequest &request, std::string_view name)
{
    return std::string(headerValue(request.headers, name).value_or(""));
}

}  // namespace

Minion::Minion(boost::asio::io_context &io, FleetContext &context, const MinionOptions &options)
    : io_(io)
    , context_(context)
    , options_(options)
{}

void Minion::open()
{
    server_.emplace(startServer(io_, "minion " + options_.name, options_.endpoint,
                                [this](const HttpRequest &request, HttpRespond respond) {
                                    handle(request, std::move(respond));
                                }));
}

void Minion::close()
{
    for (const auto &[request, nonce] : runningNonces_) {
        recordCutRequest(request, nonce, true);
    }
    for (const PendingRequest &pending : queue_) {
        recordCutRequest(pending.id, pending.work.nonce, false);
    }
    runningNonces_.clear();
    server_.reset();
    ++generation_;
    busy_ = 0;
    queue_.clear();
    unanswered_.clear();
    remotes_.clear();
    silentRemotes_.clear();
}

nlohmann::json Minion::historyLine(const std::string &kind, const std::string &request,
                                   const std::string &nonce) const
{
    return {{"kind", kind},
            {"request", request},
            {"nonce", nonce},
            {"minion", options_.name},
            {"time_ms", systemMilliseconds()}};
}

void Minion::recordCutRequest(const std::string &request, const std::string &nonce, bool isStarted)
{
    nlohmann::json line = historyLine("cut", request, nonce);
    line["started"] = isStarted;
    context_.history.write(line);
}

void Minion::setLeaving(bool isLeaving)
{
    leavingSinceMs_ = isLeaving ? systemMilliseconds() : 0;
}

void Minion::setFault(Fault fault, double factor)
{
    if (fault == Fault::SilentConnections) {
        silentRemotes_.insert(remotes_.begin(), remotes_.end());
        return;
    }
    fault_ = fault;
    factor_ = fault == Fault::Slow ? factor : 1;
    if (fault == Fault::None) {
        silentRemotes_.clear();
    }
}

bool Minion::isSilentFor(const std::string &remote) const
{
    return fault_ == Fault::Silent || silentRemotes_.contains(remote);
}

HttpResponse Minion::makeResponse(unsigned status, const std::string &body,
                                  const std::string &request) const
{
    HttpResponse response = jsonResponse(status, body);
    response.headers.push_back({"Poplar-Load", fmt::format("{}/{}", busy_, options_.slots)});
    if (!request.empty()) {
        response.headers.push_back({"Poplar-Request-Id", request});
    }
    if (leavingSinceMs_ != 0) {
        response.headers.push_back({"Poplar-State", "leaving"});
    }
    return response;
}

void Minion::handle(const HttpRequest &request, HttpRespond respond)
{
    remotes_.insert(request.remote);
    if (isSilentFor(request.remote)) {
        unanswered_.push_back(std::move(respond));
        return;
    }
    if (targetPath(request.target) == "/health") {
        respond(makeResponse(fault_ == Fault::FailsAll ? 500 : 200, "{}", ""));
        return;
    }
    const std::string id = headerText(request, "Poplar-Request-Id");
    if (request.method != "POST" || request.target != "/work" || id.empty()) {
        respond(makeResponse(400, R"({"error":"expected POST /work with Poplar-Request-Id"})", id));
        return;
    }
    const std::string service = headerText(request, "Poplar-Service");
    const Work work = parseWork(context_, request.body, service);
    context_.history.write(historyLine("work", id, work.nonce));
    if (fault_ == Fault::FailsAll) {
        context_.history.write({{"kind", "execution"},
                                {"request", id},
                                {"nonce", work.nonce},
                                {"service", service},
                                {"minion", options_.name},
                                {"start_ms", systemMilliseconds()},
                                {"end_ms", systemMilliseconds()},
                                {"outcome", "failed"}});
        respond(makeResponse(500, R"({"error":"failed"})", id));
        return;
    }
    if (queue_.size() >= options_.queue) {
        HttpResponse refusal = makeResponse(503, R"({"error":"full"})", id);
        refusal.headers.push_back({"Poplar-Verdict", "not-run"});
        respond(std::move(refusal));
        return;
    }
    queue_.push_back({id, service, work, std::move(respond)});
    startNext();
}

void Minion::startNext()
{
    while (busy_ < options_.slots && !queue_.empty()) {
        PendingRequest pending = std::move(queue_.front());
        queue_.pop_front();
        ++busy_;
        runningNonces_[pending.id] = pending.work.nonce;
        const Work work = pending.work;
        const auto duration = Milliseconds{std::llround(work.durationMs * factor_)};
        runAfter(io_, duration,
                 [this, pending = std::move(pending), work, generation = generation_,
                  startedMs = systemMilliseconds()] {
                     if (generation == generation_) {
                         finish(pending, work, startedMs);
                     }
                 });
    }
}

void Minion::finish(const PendingRequest &pending, const Work &work, std::int64_t startedMs)
{
    --busy_;
    runningNonces_.erase(pending.id);
    const std::int64_t nowMs = systemMilliseconds();
    context_.history.write({{"kind", "execution"},
                            {"request", pending.id},
                            {"nonce", pending.work.nonce},
                            {"service", pending.service},
                            {"minion", options_.name},
                            {"start_ms", startedMs},
                            {"end_ms", nowMs},
                            {"leaving_ms", leavingSinceMs_ == 0 ? 0 : startedMs - leavingSinceMs_},
                            {"outcome", "done"}});
    const nlohmann::json body{
            {"nonce", work.nonce}, {"minion", options_.name}, {"service", pending.service}};
    pending.respond(makeResponse(200, body.dump(), pending.id));
    startNext();
}

}  // namespace poplarstream::standins
