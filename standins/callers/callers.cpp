#include "callers/callers.hpp"

#include <array>  // for array

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for runAfter, systemMilliseconds, steadyMilliseconds

namespace poplarstream::standins {

namespace {

using nlohmann::json;

constexpr Milliseconds tickPeriod{5};
constexpr Milliseconds pollPeriod{500};
constexpr Milliseconds pollDeadline{2000};
constexpr Milliseconds runDeadline{5000};  // for the response to a submitted run
// Waits beyond the deadline of an urgent request to distinguish late responses from missing ones.
constexpr std::int64_t lateResponseGraceMs = 1000;
constexpr int maxAttempts = 4;
constexpr std::size_t maxConcurrentPolls = 64;

// States of a run that has not ended.
constexpr std::array<std::string_view, 9> openRunStates{
        "accepted",    "waiting",     "claimed", "started",        "running",
        "handed-over", "handed over", "unknown", "being cancelled"};

json parseObject(const std::string &text)
{
    json body = json::parse(text, nullptr, false);
    return body.is_object() ? body : json::object();
}

std::string textField(const json &body, const std::string &name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}

std::string verdictOfOutcome(const HttpOutcome &outcome)
{
    if (outcome.delivery == HttpDelivery::Answered) {
        return std::string(headerValue(outcome.response.headers, "Poplar-Verdict").value_or(""));
    }
    return std::string(verdictText(verdictOf(outcome.delivery)));
}

HttpRequest makeHttpRequest(const Call &call)
{
    json body{{"service", call.service},
              {"tenant", call.tenant},
              {"class", call.isUrgent ? "urgent" : "slow"},
              {"deadline_ms", call.deadlineMs},
              {"payload", call.payload}};
    if (!call.key.empty()) {
        body["idempotency_key"] = call.key;
    }
    HttpRequest request{"POST", "/v1/requests", {}, body.dump(), {}};
    request.headers = {{"Content-Type", "application/json"},
                       {"Authorization", "Bearer " + call.token}};
    return request;
}

}  // namespace

Callers::Callers(boost::asio::io_context &io, HttpClient &client, EntryList &entries, Load load,
                 const std::string &historyFile)
    : io_(io)
    , client_(client)
    , entries_(entries)
    , load_(std::move(load))
    , history_(historyFile)
{}

void Callers::start(std::int64_t sendDurationMs, std::int64_t pollDurationMs,
                    std::function<void()> finished)
{
    sendDurationMs_ = sendDurationMs;
    pollDurationMs_ = pollDurationMs;
    finished_ = std::move(finished);
    startMs_ = steadyMilliseconds();
    tick();
    poll();
}

void Callers::tick()
{
    const std::int64_t elapsedMs = steadyMilliseconds() - startMs_;
    for (Call &call : load_.due(static_cast<double>(std::min(elapsedMs, sendDurationMs_)))) {
        auto pending = std::make_shared<PendingCall>();
        pending->call = std::move(call);
        pending->sentMs = systemMilliseconds();
        pending->startedMs = steadyMilliseconds();
        ++pendingCalls_;
        if (pending->call.isUrgent) {
            ++urgentCounts_[pending->call.service].sent;
        } else {
            ++runCounts_.submitted;
        }
        send(pending);
    }
    if (elapsedMs < sendDurationMs_) {
        runAfter(io_, tickPeriod, [this] { tick(); });
    }
}

void Callers::send(const std::shared_ptr<PendingCall> &pending)
{
    const Call &call = pending->call;
    ++pending->attempts;
    pending->entry = entries_.next();
    const Milliseconds deadline =
            call.isUrgent ? Milliseconds{call.deadlineMs + lateResponseGraceMs} : runDeadline;
    client_.send(pending->entry, makeHttpRequest(call), {deadline, {}},
                 [this, pending](const HttpOutcome &outcome) { handleResponse(pending, outcome); });
}

// Retries a request that was not sent at the next entry host, as a load balancer does. A run is
// also retried after a lost response: its idempotency key makes that safe.
bool Callers::shouldRetry(const PendingCall &pending, const HttpOutcome &outcome) const
{
    if (pending.attempts >= maxAttempts || outcome.delivery == HttpDelivery::Answered) {
        return false;
    }
    return outcome.delivery == HttpDelivery::NotSent || !pending.call.isUrgent;
}

void Callers::handleResponse(const std::shared_ptr<PendingCall> &pending,
                             const HttpOutcome &outcome)
{
    if (outcome.error == HttpError::Refused) {
        entries_.markRefused(pending->entry);
    }
    if (shouldRetry(*pending, outcome)) {
        if (outcome.delivery != HttpDelivery::NotSent) {
            history_.write({{"kind", "attempt-lost"},
                            {"number", pending->call.number},
                            {"entry", endpointText(pending->entry)},
                            {"time_ms", systemMilliseconds()}});
        }
        send(pending);
        return;
    }
    --pendingCalls_;
    const Call &call = pending->call;
    const std::int64_t elapsedMs = steadyMilliseconds() - pending->startedMs;
    const json body = parseObject(outcome.response.body);
    const auto id = headerValue(outcome.response.headers, "Poplar-Request-Id").value_or("");
    history_.write({{"kind", "request"},
                    {"number", call.number},
                    {"request", id},
                    {"service", call.service},
                    {"tenant", call.tenant},
                    {"class", call.isUrgent ? "urgent" : "slow"},
                    {"key", call.key},
                    {"nonce", call.nonce},
                    {"answer_nonce", textField(body, "nonce")},
                    {"run", textField(body, "run")},
                    {"sent_ms", pending->sentMs},
                    {"elapsed_ms", elapsedMs},
                    {"deadline_ms", call.deadlineMs},
                    {"tries", pending->attempts},
                    {"entry", endpointText(pending->entry)},
                    {"status", outcome.response.status},
                    {"answered", outcome.delivery == HttpDelivery::Answered},
                    {"verdict", verdictOfOutcome(outcome)}});
    if (call.isUrgent) {
        countUrgent(*pending, outcome, elapsedMs);
    } else {
        countRun(*pending, outcome);
    }
    finishIfDone();
}

void Callers::countUrgent(const PendingCall &pending, const HttpOutcome &outcome,
                          std::int64_t elapsedMs)
{
    UrgentCounts &counts = urgentCounts_[pending.call.service];
    if (verdictOfOutcome(outcome) == "not-run") {
        ++counts.refused;
    } else if (outcome.delivery != HttpDelivery::Answered) {
        ++counts.unanswered;
    } else if (outcome.response.status != 200) {
        ++counts.failed;
    } else if (textField(parseObject(outcome.response.body), "nonce") != pending.call.nonce) {
        ++counts.wrongResponses;
    } else {
        ++(elapsedMs <= pending.call.deadlineMs ? counts.onTime : counts.late);
    }
}

void Callers::countRun(const PendingCall &pending, const HttpOutcome &outcome)
{
    const std::string run = textField(parseObject(outcome.response.body), "run");
    if (outcome.delivery == HttpDelivery::Answered && outcome.response.status < 300
        && !run.empty()) {
        ++runCounts_.accepted;
        openRuns_[run] = {pending.call, systemMilliseconds()};
    } else {
        ++(verdictOfOutcome(outcome) == "not-run" ? runCounts_.refused : runCounts_.unknown);
    }
}

void Callers::poll()
{
    for (const auto &[run, openRun] : openRuns_) {
        if (beingPolled_.size() >= maxConcurrentPolls) {
            break;
        }
        if (!beingPolled_.insert(run).second) {
            continue;
        }
        HttpRequest request{"GET", "/v1/runs/" + run, {}, {}, {}};
        request.headers = {{"Authorization", "Bearer " + openRun.call.token}};
        client_.send(entries_.next(), std::move(request), {pollDeadline, {}},
                     [this, run = run](const HttpOutcome &outcome) {
                         handlePollResponse(run, outcome);
                     });
    }
    finishIfDone();
    if (finished_) {
        runAfter(io_, pollPeriod, [this] { poll(); });
    }
}

void Callers::handlePollResponse(const std::string &run, const HttpOutcome &outcome)
{
    beingPolled_.erase(run);
    const json body = parseObject(outcome.response.body);
    const std::string state = textField(body, "state");
    const auto found = openRuns_.find(run);
    if (found == openRuns_.end() || outcome.response.status != 200 || state.empty()
        || std::find(openRunStates.begin(), openRunStates.end(), state) != openRunStates.end()) {
        return;
    }
    const OpenRun &openRun = found->second;
    history_.write({{"kind", "run"},
                    {"run", run},
                    {"key", openRun.call.key},
                    {"service", openRun.call.service},
                    {"tenant", openRun.call.tenant},
                    {"nonce", openRun.call.nonce},
                    {"state", state},
                    {"accepted_ms", openRun.acceptedMs},
                    {"ended_ms", systemMilliseconds()}});
    ++runCounts_.ended[state];
    openRuns_.erase(found);
    finishIfDone();
}

void Callers::finishIfDone()
{
    const std::int64_t elapsedMs = steadyMilliseconds() - startMs_;
    const bool isDone = elapsedMs >= sendDurationMs_ && pendingCalls_ == 0 && openRuns_.empty();
    if (finished_ && (isDone || elapsedMs >= sendDurationMs_ + pollDurationMs_)) {
        for (const auto &[run, openRun] : openRuns_) {
            history_.write({{"kind", "run"},
                            {"run", run},
                            {"key", openRun.call.key},
                            {"service", openRun.call.service},
                            {"state", "open"},
                            {"accepted_ms", openRun.acceptedMs}});
        }
        std::exchange(finished_, nullptr)();
    }
}

json Callers::summary() const
{
    json services = json::object();
    for (const auto &[service, counts] : urgentCounts_) {
        services[service] = {{"sent", counts.sent},
                             {"on_time", counts.onTime},
                             {"late", counts.late},
                             {"refused", counts.refused},
                             {"failed", counts.failed},
                             {"unanswered", counts.unanswered},
                             {"wrong_answers", counts.wrongResponses}};
    }
    return {{"urgent", services},
            {"runs",
             {{"submitted", runCounts_.submitted},
              {"accepted", runCounts_.accepted},
              {"refused", runCounts_.refused},
              {"unknown", runCounts_.unknown},
              {"ended", runCounts_.ended},
              {"open", openRuns_.size()}}}};
}

}  // namespace poplarstream::standins
