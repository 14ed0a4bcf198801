#include "callers/callers.hpp"

#include <array>  // for array

#include <nlohmann/json.hpp>  // for json

#include "common/service.hpp"  // for after, systemMilliseconds, steadyMilliseconds

namespace poplarstream::standins {

namespace {

using nlohmann::json;

constexpr Milliseconds tickPeriod{5};
constexpr Milliseconds pollPeriod{500};
constexpr Milliseconds pollDeadline{2000};
constexpr Milliseconds runDeadline{5000};  // for the acceptance of a run
// An urgent answer is awaited for longer than its deadline, to tell late from unanswered.
constexpr std::int64_t graceMs = 1000;
constexpr int maxTries = 4;
constexpr std::size_t pollsAtOnce = 64;

// States of a run that has not ended.
constexpr std::array<std::string_view, 9> openStates{"accepted",    "waiting", "claimed",
                                                     "started",     "running", "handed-over",
                                                     "handed over", "unknown", "being cancelled"};

json parse(const std::string &text)
{
    json body = json::parse(text, nullptr, false);
    return body.is_object() ? body : json::object();
}

std::string textField(const json &body, const std::string &name)
{
    const auto place = body.find(name);
    return place != body.end() && place->is_string() ? place->get<std::string>() : "";
}

std::string verdictOfOutcome(const HttpOutcome &outcome)
{
    if (outcome.delivery == HttpDelivery::Answered) {
        return std::string(headerValue(outcome.response.headers, "Poplar-Verdict").value_or(""));
    }
    return std::string(verdictText(verdictOf(outcome.delivery)));
}

HttpRequest messageOf(const Order &order)
{
    json body{{"service", order.service},
              {"tenant", order.tenant},
              {"class", order.isUrgent ? "urgent" : "slow"},
              {"deadline_ms", order.deadlineMs},
              {"payload", order.payload}};
    if (!order.key.empty()) {
        body["idempotency_key"] = order.key;
    }
    HttpRequest request{"POST", "/v1/requests", {}, body.dump(), {}};
    request.headers = {{"Content-Type", "application/json"},
                       {"Authorization", "Bearer " + order.token}};
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

void Callers::start(std::int64_t sendMs, std::int64_t pollMs, std::function<void()> finished)
{
    sendMs_ = sendMs;
    pollMs_ = pollMs;
    finished_ = std::move(finished);
    startMs_ = steadyMilliseconds();
    tick();
    poll();
}

void Callers::tick()
{
    const std::int64_t elapsedMs = steadyMilliseconds() - startMs_;
    for (Order &order : load_.due(static_cast<double>(std::min(elapsedMs, sendMs_)))) {
        auto attempt = std::make_shared<Attempt>();
        attempt->order = std::move(order);
        attempt->sentMs = systemMilliseconds();
        attempt->startedMs = steadyMilliseconds();
        ++pending_;
        if (attempt->order.isUrgent) {
            ++urgent_[attempt->order.service].sent;
        } else {
            ++runs_.submitted;
        }
        send(attempt);
    }
    if (elapsedMs < sendMs_) {
        after(io_, tickPeriod, [this] { tick(); });
    }
}

void Callers::send(const std::shared_ptr<Attempt> &attempt)
{
    const Order &order = attempt->order;
    ++attempt->tries;
    attempt->entry = entries_.next();
    const Milliseconds deadline =
            order.isUrgent ? Milliseconds{order.deadlineMs + graceMs} : runDeadline;
    client_.send(attempt->entry, messageOf(order), {deadline, {}},
                 [this, attempt](const HttpOutcome &outcome) { onAnswer(attempt, outcome); });
}

// A refused connection is tried at the next entry host, as a load balancer does. A run is also sent
// again when its answer is missing: its key makes that safe.
bool Callers::shouldTryAgain(const Attempt &attempt, const HttpOutcome &outcome) const
{
    if (attempt.tries >= maxTries || outcome.delivery == HttpDelivery::Answered) {
        return false;
    }
    return outcome.delivery == HttpDelivery::NotSent || !attempt.order.isUrgent;
}

void Callers::onAnswer(const std::shared_ptr<Attempt> &attempt, const HttpOutcome &outcome)
{
    if (outcome.error == HttpError::Refused) {
        entries_.markRefused(attempt->entry);
    }
    if (shouldTryAgain(*attempt, outcome)) {
        if (outcome.delivery != HttpDelivery::NotSent) {
            history_.write({{"kind", "attempt-lost"},
                            {"number", attempt->order.number},
                            {"entry", endpointText(attempt->entry)},
                            {"time_ms", systemMilliseconds()}});
        }
        send(attempt);
        return;
    }
    --pending_;
    const Order &order = attempt->order;
    const std::int64_t elapsedMs = steadyMilliseconds() - attempt->startedMs;
    const json body = parse(outcome.response.body);
    const auto id = headerValue(outcome.response.headers, "Poplar-Request-Id").value_or("");
    history_.write({{"kind", "request"},
                    {"number", order.number},
                    {"request", id},
                    {"service", order.service},
                    {"tenant", order.tenant},
                    {"class", order.isUrgent ? "urgent" : "slow"},
                    {"key", order.key},
                    {"nonce", order.nonce},
                    {"answer_nonce", textField(body, "nonce")},
                    {"run", textField(body, "run")},
                    {"sent_ms", attempt->sentMs},
                    {"elapsed_ms", elapsedMs},
                    {"deadline_ms", order.deadlineMs},
                    {"tries", attempt->tries},
                    {"entry", endpointText(attempt->entry)},
                    {"status", outcome.response.status},
                    {"answered", outcome.delivery == HttpDelivery::Answered},
                    {"verdict", verdictOfOutcome(outcome)}});
    if (order.isUrgent) {
        countUrgent(*attempt, outcome, elapsedMs);
    } else {
        countRun(*attempt, outcome);
    }
    finishIfDone();
}

void Callers::countUrgent(const Attempt &attempt, const HttpOutcome &outcome,
                          std::int64_t elapsedMs)
{
    Tally &tally = urgent_[attempt.order.service];
    if (verdictOfOutcome(outcome) == "not-run") {
        ++tally.refused;
    } else if (outcome.delivery != HttpDelivery::Answered) {
        ++tally.unanswered;
    } else if (outcome.response.status != 200) {
        ++tally.failed;
    } else if (textField(parse(outcome.response.body), "nonce") != attempt.order.nonce) {
        ++tally.wrongAnswers;
    } else {
        ++(elapsedMs <= attempt.order.deadlineMs ? tally.onTime : tally.late);
    }
}

void Callers::countRun(const Attempt &attempt, const HttpOutcome &outcome)
{
    const std::string run = textField(parse(outcome.response.body), "run");
    if (outcome.delivery == HttpDelivery::Answered && outcome.response.status < 300
        && !run.empty()) {
        ++runs_.accepted;
        open_[run] = {attempt.order, systemMilliseconds()};
    } else {
        ++(verdictOfOutcome(outcome) == "not-run" ? runs_.refused : runs_.unknown);
    }
}

void Callers::poll()
{
    for (const auto &[run, details] : open_) {
        if (beingPolled_.size() >= pollsAtOnce) {
            break;
        }
        if (!beingPolled_.insert(run).second) {
            continue;
        }
        HttpRequest request{"GET", "/v1/runs/" + run, {}, {}, {}};
        request.headers = {{"Authorization", "Bearer " + details.order.token}};
        client_.send(entries_.next(), std::move(request), {pollDeadline, {}},
                     [this, run = run](const HttpOutcome &outcome) { onPolled(run, outcome); });
    }
    finishIfDone();
    if (finished_) {
        after(io_, pollPeriod, [this] { poll(); });
    }
}

void Callers::onPolled(const std::string &run, const HttpOutcome &outcome)
{
    beingPolled_.erase(run);
    const json body = parse(outcome.response.body);
    const std::string state = textField(body, "state");
    const auto place = open_.find(run);
    if (place == open_.end() || outcome.response.status != 200 || state.empty()
        || std::find(openStates.begin(), openStates.end(), state) != openStates.end()) {
        return;
    }
    const OpenRun &details = place->second;
    history_.write({{"kind", "run"},
                    {"run", run},
                    {"key", details.order.key},
                    {"service", details.order.service},
                    {"tenant", details.order.tenant},
                    {"nonce", details.order.nonce},
                    {"state", state},
                    {"accepted_ms", details.acceptedMs},
                    {"ended_ms", systemMilliseconds()}});
    ++runs_.ended[state];
    open_.erase(place);
    finishIfDone();
}

void Callers::finishIfDone()
{
    const std::int64_t elapsedMs = steadyMilliseconds() - startMs_;
    const bool isDone = elapsedMs >= sendMs_ && pending_ == 0 && open_.empty();
    if (finished_ && (isDone || elapsedMs >= sendMs_ + pollMs_)) {
        for (const auto &[run, details] : open_) {
            history_.write({{"kind", "run"},
                            {"run", run},
                            {"key", details.order.key},
                            {"service", details.order.service},
                            {"state", "open"},
                            {"accepted_ms", details.acceptedMs}});
        }
        std::exchange(finished_, nullptr)();
    }
}

json Callers::summary() const
{
    json services = json::object();
    for (const auto &[service, tally] : urgent_) {
        services[service] = {{"sent", tally.sent},
                             {"on_time", tally.onTime},
                             {"late", tally.late},
                             {"refused", tally.refused},
                             {"failed", tally.failed},
                             {"unanswered", tally.unanswered},
                             {"wrong_answers", tally.wrongAnswers}};
    }
    return {{"urgent", services},
            {"runs",
             {{"submitted", runs_.submitted},
              {"accepted", runs_.accepted},
              {"refused", runs_.refused},
              {"unknown", runs_.unknown},
              {"ended", runs_.ended},
              {"open", open_.size()}}}};
}

}  // namespace poplarstream::standins
