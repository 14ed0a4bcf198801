#include "fleet/minion.hpp"

#include <cmath>  // for llround

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for serve, after, systemMilliseconds

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
    server_.emplace(serve(io_, "minion " + options_.name, options_.endpoint,
                          [this](const HttpRequest &request, HttpRespond respond) {
                              handle(request, std::move(respond));
                          }));
}

void Minion::close()
{
    for (const auto &[request, nonce] : started_) {
        noteCut(request, nonce, true);
    }
    for (const Job &job : waiting_) {
        noteCut(job.request, job.work.nonce, false);
    }
    started_.clear();
    server_.reset();
    ++generation_;
    busy_ = 0;
    waiting_.clear();
    unanswered_.clear();
    remotes_.clear();
    silentRemotes_.clear();
}

nlohmann::json Minion::historyOf(const std::string &kind, const std::string &request,
                                 const std::string &nonce) const
{
    return {{"kind", kind},
            {"request", request},
            {"nonce", nonce},
            {"minion", options_.name},
            {"time_ms", systemMilliseconds()}};
}

void Minion::noteCut(const std::string &request, const std::string &nonce, bool isStarted)
{
    nlohmann::json line = historyOf("cut", request, nonce);
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

HttpResponse Minion::answer(unsigned status, const std::string &body,
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
        respond(answer(fault_ == Fault::FailsAll ? 500 : 200, "{}", ""));
        return;
    }
    const std::string id = headerText(request, "Poplar-Request-Id");
    if (request.method != "POST" || request.target != "/work" || id.empty()) {
        respond(answer(400, R"({"error":"expected POST /work with Poplar-Request-Id"})", id));
        return;
    }
    const std::string service = headerText(request, "Poplar-Service");
    const Work work = readWork(context_, request.body, service);
    context_.history.write(historyOf("work", id, work.nonce));
    if (fault_ == Fault::FailsAll) {
        context_.history.write({{"kind", "execution"},
                                {"request", id},
                                {"nonce", work.nonce},
                                {"service", service},
                                {"minion", options_.name},
                                {"start_ms", systemMilliseconds()},
                                {"end_ms", systemMilliseconds()},
                                {"outcome", "failed"}});
        respond(answer(500, R"({"error":"failed"})", id));
        return;
    }
    if (waiting_.size() >= options_.queue) {
        HttpResponse refusal = answer(503, R"({"error":"full"})", id);
        refusal.headers.push_back({"Poplar-Verdict", "not-run"});
        respond(std::move(refusal));
        return;
    }
    waiting_.push_back({id, service, work, std::move(respond)});
    startNext();
}

void Minion::startNext()
{
    while (busy_ < options_.slots && !waiting_.empty()) {
        Job job = std::move(waiting_.front());
        waiting_.pop_front();
        ++busy_;
        started_[job.request] = job.work.nonce;
        const Work work = job.work;
        const auto duration = Milliseconds{std::llround(work.milliseconds * factor_)};
        after(io_, duration,
              [this, job = std::move(job), work, generation = generation_,
               startedMs = systemMilliseconds()] {
                  if (generation == generation_) {
                      finish(job, work, startedMs);
                  }
              });
    }
}

void Minion::finish(const Job &job, const Work &work, std::int64_t startedMs)
{
    --busy_;
    started_.erase(job.request);
    const std::int64_t nowMs = systemMilliseconds();
    context_.history.write({{"kind", "execution"},
                            {"request", job.request},
                            {"nonce", job.work.nonce},
                            {"service", job.service},
                            {"minion", options_.name},
                            {"start_ms", startedMs},
                            {"end_ms", nowMs},
                            {"leaving_ms", leavingSinceMs_ == 0 ? 0 : startedMs - leavingSinceMs_},
                            {"outcome", "done"}});
    const nlohmann::json body{
            {"nonce", work.nonce}, {"minion", options_.name}, {"service", job.service}};
    job.respond(answer(200, body.dump(), job.request));
    startNext();
}

}  // namespace poplarstream::standins
