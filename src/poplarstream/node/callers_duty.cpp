#include "poplarstream/node/callers_duty.hpp"

#include <deque>  // for deque
#include <map>  // for map
#include <optional>  // for optional
#include <unordered_map>  // for unordered_map

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for format

#include "poplarstream/adapters/http_link.hpp"  // for HttpLink
#include "poplarstream/node/caller_request.hpp"  // for parseCallerRequest
#include "poplarstream/node/minion_protocol.hpp"  // for workRequest, parseMinionResponse
#include "poplarstream/node/minion_watch.hpp"  // for MinionWatch
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock
#include "poplarstream/node/request_log.hpp"  // for RequestLog
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for requestRefused
#include "poplarstream/traffic/urgent_path.hpp"  // for admit, tick

namespace poplarstream {

namespace {

using traffic::Actions;
using traffic::ConnectionNumber;
using traffic::RequestNumber;

constexpr Milliseconds tickPeriod{10};
// How long a caller waits for the acceptance of a run before the response says that it may have
// been accepted. The log normally responds within milliseconds, so a longer wait means an outage.
constexpr Milliseconds acceptanceTimeout{5'000};

// An urgent request in progress. Removed by its DeliverResponse or FailRequest.
struct PendingCall
{
    HttpRespond respond;
    std::string payload;
    ServiceId service;
    AccountId tenant;
    TimePoint receivedAt;
    TimePoint deadline;
};

unsigned statusOf(const traffic::FailRequest &failure)
{
    using traffic::Reason;
    switch (failure.reason) {
    case Reason::UnknownService:
    case Reason::UnknownTenant:
        return 400;
    case Reason::Quota:
        return 429;
    case Reason::DeadlinePassed:
        return 504;
    case Reason::MinionFailed:
        return 502;
    case Reason::DeadlineTooClose:
    case Reason::QueueFull:
    case Reason::NoMinion:
    case Reason::MinionRefused:
    case Reason::Leaving:
        break;
    }
    return 503;
}

// The urgency level by which the urgent path shares capacity: the shorter the deadline, the more
// urgent. The bounds separate a caller at a counter, a caller on hold, and work due within minutes.
std::uint8_t urgencyOf(Milliseconds deadline)
{
    constexpr Milliseconds bounds[] = {Milliseconds{5'000}, Milliseconds{30'000},
                                       Milliseconds{300'000}};
    std::uint8_t level = 0;
    for (const Milliseconds bound : bounds) {
        level += deadline > bound ? 1 : 0;
    }
    return level;
}

}  // namespace

struct CallersDuty::State : std::enable_shared_from_this<CallersDuty::State>
{
    State(DutyThread &dutyThread, CallersSettings callersSettings, Mailbox<RunCall> &runCalls,
          std::function<void(MinionEvidence)> onEvidence)
        : thread(dutyThread)
        , settings(std::move(callersSettings))
        , runs(runCalls)
        , evidence(std::move(onEvidence))
        , traffic(settings.incarnation, settings.incarnation)
        , timer(dutyThread.context())
        , view(std::make_shared<const ServingView>(
                  ServingView{.configuration = std::make_shared<const Configuration>()}))
    {}

    // -- requests of callers --

    void onRequest(HttpRequest request, const HttpRespond &plainRespond)
    {
        const HttpRespond respond = withRequestId(plainRespond);
        const std::string_view path = targetPath(request.target);
        constexpr std::string_view runPrefix = "/v1/runs/";
        if (path == "/v1/requests" && request.method == "POST") {
            onSubmission(request, respond);
        } else if (path.starts_with(runPrefix)
                   && (request.method == "GET" || request.method == "DELETE")) {
            onRunCall(request, RunId(std::string(path.substr(runPrefix.size()))), respond);
        } else if (path == "/health" && request.method == "GET") {
            respond(jsonResponse(200, "{}"));
        } else if (path == "/v1/requests" || path.starts_with(runPrefix) || path == "/health") {
            respond(errorResponse(405, Verdict::NotRun, "unknown method for this path", "method"));
        } else {
            respond(errorResponse(404, Verdict::NotRun, "unknown path", "target"));
        }
    }

    // Adds a request id to responses that have none, such as a rejection before admission.
    HttpRespond withRequestId(const HttpRespond &respond)
    {
        std::string id = fmt::format("{:x}-r{:x}", settings.incarnation, ++receivedCount);
        return [respond, id = std::move(id)](HttpResponse response) {
            if (!headerValue(response.headers, "Poplar-Request-Id")) {
                response.headers.push_back({"Poplar-Request-Id", id});
            }
            respond(std::move(response));
        };
    }

    void onSubmission(HttpRequest &request, const HttpRespond &respond)
    {
        if (view->version == 0) {
            respond(errorResponse(503, Verdict::NotRun, "no configuration yet", {},
                                  Milliseconds{1'000}));
            return;
        }
        auto parsed = parseCallerRequest(request, *view->configuration);
        if (const auto *rejected = std::get_if<CallerRejection>(&parsed)) {
            respond(errorResponse(*rejected));
            return;
        }
        CallerRequest &call = std::get<CallerRequest>(parsed);
        if (call.service->serviceClass == ServiceClass::Slow) {
            submitRun(call, respond);
        } else {
            admitUrgent(call, respond);
        }
    }

    void admitUrgent(CallerRequest &call, const HttpRespond &respond)
    {
        const TimePoint now = clock.now();
        const traffic::Request request{.service = call.service->id,
                                       .tenant = call.tenant->id,
                                       .urgency = urgencyOf(call.service->deadline),
                                       .deadline = now + call.deadline,
                                       .bytes = call.payload.size()};
        Actions actions;
        const RequestNumber number = traffic::admit(traffic, request, now, actions);
        pending[number] = {.respond = respond,
                           .payload = std::move(call.payload),
                           .service = call.service->id,
                           .tenant = call.tenant->id,
                           .receivedAt = now,
                           .deadline = now + call.deadline};
        perform(actions);
    }

    // Sends a run call to the control duty, which replies on its own thread.
    void sendRunCall(RunCall call, const HttpRespond &respond)
    {
        if (!runs.trySend(std::move(call))) {
            --runCallsInProgress;
            respond(errorResponse(503, Verdict::NotRun, "too many requests wait", {},
                                  Milliseconds{1'000}));
        }
    }

    Reply replyOnThisThread(const HttpRespond &respond)
    {
        ++runCallsInProgress;
        return [self = shared_from_this(), respond](HttpResponse response) {
            self->thread.post([self, respond, response = std::move(response)]() mutable {
                --self->runCallsInProgress;
                respond(std::move(response));
            });
        };
    }

    // Records the outcome of a submission in the histograms before responding.
    HttpRespond withMetrics(const HttpRespond &respond, const AccountId &tenant)
    {
        return [self = shared_from_this(), respond, tenant,
                receivedAt = clock.now()](HttpResponse response) {
            const auto outcome = response.status < 300   ? RequestOutcome::OnTime
                                 : response.status < 500 ? RequestOutcome::Refused
                                                         : RequestOutcome::Failed;
            self->histograms.record(tenant, WorkClass::Slow, outcome,
                                    self->clock.now() - receivedAt);
            respond(std::move(response));
        };
    }

    void submitRun(CallerRequest &call, const HttpRespond &respond)
    {
        const TimePoint now = clock.now();
        sendRunCall(
                RunSubmission{.service = call.service->id,
                              .tenant = call.tenant->id,
                              .idempotencyKey = std::move(call.idempotencyKey),
                              .payload = std::move(call.payload),
                              .deadline = now + call.deadline,
                              .respondBy = now + std::min(call.deadline, acceptanceTimeout),
                              .reply = replyOnThisThread(withMetrics(respond, call.tenant->id))},
                respond);
    }

    void onRunCall(const HttpRequest &request, const RunId &run, const HttpRespond &respond)
    {
        if (view->version == 0) {
            respond(errorResponse(503, Verdict::NotRun, "no configuration yet", {},
                                  Milliseconds{1'000}));
            return;
        }
        const auto tenant = authenticateTenant(request, *view->configuration);
        if (const auto *rejected = std::get_if<CallerRejection>(&tenant)) {
            respond(errorResponse(*rejected));
            return;
        }
        const AccountId id = std::get<const TenantConfig *>(tenant)->id;
        const Reply reply = replyOnThisThread(respond);
        if (request.method == "GET") {
            sendRunCall(RunQuery{run, id, reply}, respond);
        } else {
            sendRunCall(RunCancellation{run, id, reply}, respond);
        }
    }

    // -- actions of the urgent path --

    // Performs the actions in order. `minionResponse` is the response that caused them, if any; a
    // DeliverResponse moves it to the caller.
    void perform(const Actions &actions, HttpResponse *minionResponse = nullptr)
    {
        for (const traffic::Action &action : actions) {
            std::visit([&](const auto &step) { performOne(step, minionResponse); }, action);
        }
    }

    void performOne(const traffic::OpenConnection &open, HttpResponse *)
    {
        const auto endpoint = endpointFromText(open.minion.text());
        const ConnectionNumber number = open.connection;
        HttpLinkEvents events{
                .connected = [this, number] { onConnected(number); },
                .lost = [this, number] { onLost(number, false); },
        };
        links[number] = {std::make_unique<HttpLink>(thread.context(), endpoint.value(),
                                                    clientLimits, std::move(events)),
                         open.minion, false};
    }

    void performOne(const traffic::Dispatch &dispatch, HttpResponse *)
    {
        const auto call = pending.find(dispatch.request);
        const auto link = links.find(dispatch.connection);
        if (call == pending.end() || link == links.end()) {
            return;
        }
        const ConnectionNumber number = dispatch.connection;
        const MinionWork work{.requestId = traffic::formatAttemptId(traffic, dispatch.attempt),
                              .service = call->second.service,
                              .deadline = dispatch.deadline - clock.now(),
                              .payload = call->second.payload};
        link->second.link->send(workRequest(work), [this, number](HttpOutcome outcome) {
            onOutcome(number, std::move(outcome), false);
        });
    }

    void performOne(const traffic::SendProbe &probe, HttpResponse *)
    {
        const auto link = links.find(probe.connection);
        if (link == links.end()) {
            return;
        }
        const ConnectionNumber number = probe.connection;
        link->second.link->send(probeRequest(), [this, number](HttpOutcome outcome) {
            onOutcome(number, std::move(outcome), true);
        });
    }

    void performOne(const traffic::CloseConnection &close, HttpResponse *)
    {
        closeLink(close.connection);
    }

    void performOne(const traffic::DeliverResponse &deliver, HttpResponse *minionResponse)
    {
        const auto call = pending.find(deliver.request);
        if (call == pending.end() || minionResponse == nullptr) {
            return;
        }
        const TimePoint now = clock.now();
        const auto outcome =
                now <= call->second.deadline ? RequestOutcome::OnTime : RequestOutcome::Late;
        HttpResponse response = callerResponse(std::move(*minionResponse));
        const std::string id = traffic::formatRequestId(traffic, deliver.request);
        addVerdict(response, Verdict::Ran, id);
        finish(call, response.status < 500 ? outcome : RequestOutcome::Failed, now,
               std::move(response));
    }

    void performOne(const traffic::FailRequest &failure, HttpResponse *)
    {
        const auto call = pending.find(failure.request);
        if (call == pending.end()) {
            return;
        }
        const std::string id = traffic::formatRequestId(traffic, failure.request);
        const std::string_view reason = traffic::reasonText(failure.reason);
        HttpResponse response =
                errorResponse(statusOf(failure), failure.verdict, reason, {}, failure.retryAfter);
        addVerdict(response, failure.verdict, id);
        addOutcome(requestLog, {.request = id,
                                .service = call->second.service,
                                .tenant = call->second.tenant,
                                .verdict = failure.verdict,
                                .reason = std::string(reason),
                                .at = clock.now()});
        ++refusals[{call->second.service, std::string(reason)}];
        const auto outcome = failure.verdict == Verdict::NotRun ? RequestOutcome::Refused
                                                                : RequestOutcome::MayHaveRun;
        finish(call, outcome, clock.now(), std::move(response));
    }

    void finish(std::map<RequestNumber, PendingCall>::iterator call, RequestOutcome outcome,
                TimePoint now, HttpResponse response)
    {
        const PendingCall finished = std::move(call->second);
        pending.erase(call);
        histograms.record(finished.tenant, WorkClass::Urgent, outcome, now - finished.receivedAt);
        finished.respond(std::move(response));
    }

    // -- connections to minions --

    void onConnected(ConnectionNumber number)
    {
        Actions actions;
        traffic::onConnected(traffic, number, clock.now(), actions);
        links.at(number).isConnected = true;
        perform(actions);
    }

    void onLost(ConnectionNumber number, bool bytesSent)
    {
        const auto link = links.find(number);
        if (link == links.end()) {
            return;
        }
        if (!link->second.isConnected) {
            evidence({.minion = link->second.minion, .hasRefusedConnection = true});
        }
        closeLink(number);
        Actions actions;
        traffic::onConnectionFailure(traffic, number, bytesSent, clock.now(), actions);
        perform(actions);
    }

    void onOutcome(ConnectionNumber number, HttpOutcome outcome, bool isProbe)
    {
        const auto link = links.find(number);
        if (link == links.end()) {
            return;
        }
        if (outcome.delivery != HttpDelivery::Answered) {
            onLost(number, outcome.delivery == HttpDelivery::MayHaveBeenSent);
            return;
        }
        const MinionResponse answer = parseMinionResponse(outcome.response);
        if (answer.load.leaving) {
            evidence({.minion = link->second.minion, .isLeaving = true});
        }
        Actions actions;
        if (isProbe) {
            traffic::onProbeResponse(traffic, number, outcome.response.status == 200, answer.load,
                                     clock.now(), actions);
        } else {
            const traffic::Response response{answer.requestId, answer.kind, answer.load};
            traffic::onResponse(traffic, number, response, clock.now(), actions);
        }
        perform(actions, &outcome.response);
    }

    // Defers destruction of the link, since this may run inside one of its callbacks.
    void closeLink(ConnectionNumber number)
    {
        const auto link = links.find(number);
        if (link == links.end()) {
            return;
        }
        link->second.link->close();
        thread.post([owned = std::shared_ptr<HttpLink>(std::move(link->second.link))] {});
        links.erase(link);
    }

    // -- time and views --

    void scheduleTick()
    {
        timer.expires_after(tickPeriod);
        timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error) {
                return;
            }
            self->scheduleTick();
            self->onTick();
        });
    }

    void onTick()
    {
        const TimePoint now = clock.now();
        Actions actions;
        traffic::tick(traffic, now, actions);
        perform(actions);
        if (now >= nextRefusalLog) {
            nextRefusalLog = now + Milliseconds{1'000};
            logRefusals();
            logMinionChanges(minionWatch, traffic::minionViews(traffic),
                             traffic.counters.silentConnections);
        }
        if (isLeaving && traffic::isIdle(traffic) && pending.empty() && runCallsInProgress == 0) {
            finishShutdown();
        }
    }

    void logRefusals()
    {
        for (const auto &[key, count] : refusals) {
            logEvent(events::requestRefused, {{"service", key.first.text()},
                                              {"reason", key.second},
                                              {"count", fmt::format("{}", count)}});
        }
        refusals.clear();
    }

    void apply(std::shared_ptr<const ServingView> newView)
    {
        const std::shared_ptr<const ServingView> previous = std::exchange(view, std::move(newView));
        Actions actions;
        traffic::TrafficSettings next = view->traffic;
        next.policy.maxQueued = settings.maxQueued;
        traffic::configure(traffic, next, clock.now(), actions);
        for (const MinionId &minion : previous->leaving) {
            if (!view->leaving.contains(minion)) {
                traffic::onLeaving(traffic, minion, false);
            }
        }
        for (const MinionId &minion : view->leaving) {
            traffic::onLeaving(traffic, minion, true);
        }
        perform(actions);
    }

    CallersReport makeReport(const std::string &request) const
    {
        return {.services = traffic::serviceViews(traffic),
                .minions = traffic::minionViews(traffic),
                .counters = traffic.counters,
                .histograms = histograms,
                .connections = server ? server->counts() : HttpServerCounts{},
                .explanation = explainRequest(requestLog, request)};
    }

    // Stops the server first. Requests that are already being received are still admitted, since a
    // caller whose connection was accepted must get a response.
    void beginShutdown(std::function<void()> drained)
    {
        whenDrained = std::move(drained);
        const auto onServerDrained = [self = shared_from_this()] { self->isLeaving = true; };
        if (server) {
            server->shutdown(onServerDrained);
        } else {
            onServerDrained();
        }
    }

    void finishShutdown()
    {
        timer.cancel();
        links.clear();
        if (const auto done = std::exchange(whenDrained, nullptr)) {
            done();
        }
    }

    struct Link
    {
        std::unique_ptr<HttpLink> link;
        MinionId minion;
        bool isConnected = false;
    };

    DutyThread &thread;
    CallersSettings settings;
    Mailbox<RunCall> &runs;
    std::function<void(MinionEvidence)> evidence;
    ProcessClock clock;
    traffic::TrafficState traffic;
    boost::asio::steady_timer timer;
    std::shared_ptr<const ServingView> view;
    HttpClientLimits clientLimits;
    std::optional<HttpServer> server;
    std::map<RequestNumber, PendingCall> pending;
    std::map<ConnectionNumber, Link> links;
    RequestHistograms histograms;
    RequestLog requestLog;
    std::map<std::pair<ServiceId, std::string>, std::uint64_t> refusals;
    TimePoint nextRefusalLog;
    MinionWatch minionWatch;
    std::size_t runCallsInProgress = 0;
    std::uint64_t receivedCount = 0;
    bool isLeaving = false;
    std::function<void()> whenDrained;
};

CallersDuty::CallersDuty(DutyThread &thread, CallersSettings settings, Mailbox<RunCall> &runs,
                         std::function<void(MinionEvidence)> evidence)
    : state_(std::make_shared<State>(thread, std::move(settings), runs, std::move(evidence)))
{}

CallersDuty::~CallersDuty() = default;

Result<std::uint16_t> CallersDuty::listen()
{
    auto server = HttpServer::listen(
            state_->thread.context(), state_->settings.listen,
            [state = state_.get()](HttpRequest request, const HttpRespond &respond) {
                state->onRequest(std::move(request), respond);
            },
            state_->settings.limits);
    if (!server) {
        return server.failure();
    }
    state_->server.emplace(std::move(server).value());
    state_->scheduleTick();
    return state_->server->port();
}

void CallersDuty::publish(std::shared_ptr<const ServingView> view)
{
    state_->thread.post(
            [state = state_, view = std::move(view)]() mutable { state->apply(std::move(view)); });
}

void CallersDuty::report(std::string request, std::function<void(CallersReport)> done)
{
    state_->thread.post([state = state_, request = std::move(request), done = std::move(done)] {
        done(state->makeReport(request));
    });
}

void CallersDuty::shutdown(std::function<void()> drained)
{
    state_->thread.post([state = state_, drained = std::move(drained)]() mutable {
        state->beginShutdown(std::move(drained));
    });
}

}  // namespace poplarstream
