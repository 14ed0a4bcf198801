#include "poplarstream/node/console_host.hpp"

#include <algorithm>  // for any_of
#include <random>  // for random_device

#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for format

#include "poplarstream/config/stages.hpp"  // for stagedEdits
#include "poplarstream/console/charts.hpp"  // for AwayHistory, addSample
#include "poplarstream/console/draft_page.hpp"  // for handleDraftForm, publishedPage
#include "poplarstream/console/form.hpp"  // for Form, cookieValue
#include "poplarstream/console/html.hpp"  // for decodeUrl
#include "poplarstream/console/page.hpp"  // for PageContext, loginPage
#include "poplarstream/console/session.hpp"  // for makeSession, formTokenOf
#include "poplarstream/console/state_pages.hpp"  // for statePage, explainPage
#include "poplarstream/fleet/queries.hpp"  // for budgetOf
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock
#include "poplarstream/node/staged_publication.hpp"  // for publishStages
#include "poplarstream/node/status.hpp"  // for explain
#include "poplarstream/node/wave_forecast.hpp"  // for forecastWaves

namespace poplarstream {

namespace {

constexpr std::string_view sessionCookie = "poplar_session";
constexpr std::string_view loginCookie = "poplar_login";
constexpr std::string_view explainPath = "/console/explain";

std::string randomText()
{
    std::random_device source;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", source(), source(), source(), source());
}

std::string setCookie(std::string_view name, std::string_view value, Milliseconds age)
{
    return fmt::format("{}={}; Path=/; HttpOnly; SameSite=Strict; Max-Age={}", name, value,
                       age.count() / 1000);
}

HttpResponse pageResponse(const console::PageContext &context, std::string html,
                          unsigned status = 200)
{
    HttpResponse response;
    response.status = status;
    for (auto &[name, value] : console::pageHeaders(context.nonce)) {
        response.headers.push_back({name, value});
    }
    response.body = std::move(html);
    return response;
}

HttpResponse redirect(std::string_view nonce, std::string_view target, std::string cookie)
{
    HttpResponse response = pageResponse({.nonce = std::string(nonce)}, {}, 303);
    response.headers.push_back({"Location", std::string(target)});
    response.headers.push_back({"Set-Cookie", std::move(cookie)});
    return response;
}

HttpResponse download(const console::PageContext &context, std::string text)
{
    HttpResponse response = pageResponse(context, std::move(text));
    response.headers.front().value = "text/plain; charset=utf-8";
    response.headers.push_back({"Content-Disposition", "attachment; filename=\"fleet.ini\""});
    return response;
}

// Copies that outlive the control duty's callback, so that a draft can be checked on another
// thread.
struct FleetCopy
{
    FleetState fleet;
    PoolDemands demands;
    TimePoint logTime;
    bool isLogReachable = false;
};

console::PublishResult publishResult(PublicationResult result)
{
    switch (result) {
    case PublicationResult::InForce:
        return console::PublishResult::InForce;
    case PublicationResult::Refused:
        return console::PublishResult::Refused;
    case PublicationResult::Unknown:
        break;
    }
    return console::PublishResult::Unknown;
}

console::PublishReport reportOf(const StagedOutcome &outcome)
{
    return {.result = publishResult(outcome.last.result),
            .version = outcome.last.version,
            .change = outcome.last.record.text(),
            .reason = outcome.last.reason,
            .stagesDone = outcome.stagesDone,
            .stages = outcome.stages};
}

console::AwaySample sampleOf(const FleetState &fleet, TimePoint now)
{
    console::AwaySample sample{now, {}};
    for (const PoolConfig &pool : fleet.configuration->pools) {
        if (const auto budget = budgetOf(fleet, pool.id)) {
            sample.pools.push_back({pool.id, budget->away, budget->maxAway});
        }
    }
    return sample;
}

}  // namespace

struct ConsoleHost::State : std::enable_shared_from_this<ConsoleHost::State>
{
    State(DutyThread &dutyThread, OperatorsSettings operatorsSettings,
          OperatorsPorts operatorsPorts)
        : thread(dutyThread)
        , settings(std::move(operatorsSettings))
        , ports(std::move(operatorsPorts))
        , timer(dutyThread.context())
    {}

    void sample()
    {
        ports.query([weak = weak_from_this()](const ControlView &view) {
            if (const auto self = weak.lock()) {
                auto next = sampleOf(view.fleet, self->clock.now());
                self->thread.post([weak, next = std::move(next)] {
                    if (const auto owner = weak.lock()) {
                        console::addSample(owner->history, next);
                    }
                });
            }
        });
        timer.expires_after(console::samplePeriod);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->sample();
            }
        });
    }

    std::optional<std::string> formTokenFor(const HttpRequest &request) const
    {
        const std::string cookies(headerValue(request.headers, "Cookie").value_or(""));
        return console::formTokenOf(console::cookieValue(cookies, sessionCookie), settings.tokens,
                                    clock.now());
    }

    console::PageContext contextFor(std::string formToken) const
    {
        return {.entryHost = settings.self.text(),
                .formToken = std::move(formToken),
                .nonce = randomText()};
    }

    void handle(const HttpRequest &request, const HttpRespond &respond)
    {
        const std::string path(targetPath(request.target));
        const bool isPost = request.method == "POST";
        if (isPost && path == "/console/login") {
            respond(logIn(request));
            return;
        }
        const auto formToken = formTokenFor(request);
        if (!formToken) {
            respond(loginRequired(isPost ? "The session has ended. Log in, go back to the page and "
                                           "reload it; the draft is in your browser's history."
                                         : ""));
            return;
        }
        const console::PageContext context = contextFor(*formToken);
        if (isPost) {
            handlePost(request, path, context, respond);
        } else if (request.method == "GET") {
            handleGet(request, path, context, respond);
        } else {
            respond(pageResponse(
                    context, console::messagePage(context, "Unknown method", request.method), 405));
        }
    }

    // There is no session before the login, so the login form uses a random value in a separate
    // cookie as its token against cross-site request forgery.
    HttpResponse loginRequired(std::string_view message) const
    {
        const console::PageContext context = contextFor({});
        const std::string nonce = randomText();
        HttpResponse response =
                pageResponse(context, console::loginPage(context, nonce, message), 401);
        response.headers.push_back(
                {"Set-Cookie", setCookie(loginCookie, nonce, console::sessionLength)});
        return response;
    }

    HttpResponse logIn(const HttpRequest &request) const
    {
        const console::Form form = formOf(request);
        const std::string cookies(headerValue(request.headers, "Cookie").value_or(""));
        if (!console::secretsMatch(form.value("login_nonce"),
                                   console::cookieValue(cookies, loginCookie))) {
            return loginRequired("The login page was out of date. Enter the token again.");
        }
        const std::string token = form.value("token");
        const bool isKnown = std::any_of(
                settings.tokens.begin(), settings.tokens.end(),
                [&](const std::string &known) { return console::secretsMatch(token, known); });
        if (!isKnown) {
            return loginRequired("This is not the token of an operator.");
        }
        return redirect(randomText(), "/",
                        setCookie(sessionCookie, console::makeSession(token, clock.now()),
                                  console::sessionLength));
    }

    static console::Form formOf(const HttpRequest &request)
    {
        return console::formFromBody(headerValue(request.headers, "Content-Type").value_or(""),
                                     request.body);
    }

    void handlePost(const HttpRequest &request, const std::string &path,
                    const console::PageContext &context, const HttpRespond &respond)
    {
        const console::Form form = formOf(request);
        if (!console::secretsMatch(form.value("form_token"), context.formToken)) {
            respond(pageResponse(context,
                                 console::messagePage(context, "Refused",
                                                      "The form was not made by this session. "
                                                      "Nothing was changed."),
                                 403));
        } else if (path == "/console/logout") {
            respond(redirect(context.nonce, "/", setCookie(sessionCookie, "", Milliseconds{0})));
        } else if (path == "/console/draft") {
            handleDraft(form, context, respond);
        } else {
            respond(notFound(context));
        }
    }

    void handleGet(const HttpRequest &request, const std::string &path,
                   const console::PageContext &context, const HttpRespond &respond)
    {
        const std::size_t queryStart = request.target.find('?');
        const console::Form query = console::formFromQuery(
                queryStart == std::string::npos ? std::string()
                                                : request.target.substr(queryStart + 1));
        if (path == "/console/draft") {
            handleDraft({}, context, respond);
        } else if (path == explainPath) {
            showExplain(query.value("id"), context, respond);
        } else if (path.starts_with(std::string(explainPath) + "/")) {
            showExplain(console::decodeUrl(path.substr(explainPath.size() + 1)), context, respond);
        } else {
            constexpr std::string_view prefix = "/console/";
            showState(path.starts_with(prefix) ? path.substr(prefix.size()) : std::string(), query,
                      context, respond);
        }
    }

    static HttpResponse notFound(const console::PageContext &context)
    {
        return pageResponse(context,
                            console::messagePage(context, "Not found",
                                                 "Nothing is known here under this address. A run "
                                                 "is known to the entry hosts of its zone."),
                            404);
    }

    void respondLater(const HttpRespond &respond, HttpResponse response)
    {
        thread.post([respond, response = std::move(response)]() mutable {
            respond(std::move(response));
        });
    }

    static console::PageContext withState(console::PageContext context, std::uint64_t version,
                                          bool isLogReachable)
    {
        context.version = version;
        context.isLogReachable = isLogReachable;
        return context;
    }

    // Queries the control duty; responds with an error page if its mailbox is full.
    void query(const console::PageContext &context, const HttpRespond &respond,
               ControlQuery question)
    {
        if (!ports.query(std::move(question))) {
            respond(pageResponse(
                    context,
                    console::messagePage(context, "Busy", "The control duty is busy; try again."),
                    503));
        }
    }

    void showState(const std::string &path, const console::Form &query,
                   const console::PageContext &context, const HttpRespond &respond)
    {
        const auto self = shared_from_this();
        ports.report("", [=](CallersReport report) {
            const auto shared = std::make_shared<const CallersReport>(std::move(report));
            self->thread.post([=] {
                const auto samples = std::make_shared<const console::AwayHistory>(self->history);
                self->query(context, respond, [=](const ControlView &view) {
                    self->respondLater(respond,
                                       renderState(view, *shared, *samples, path, query, context));
                });
            });
        });
    }

    static HttpResponse renderState(const ControlView &view, const CallersReport &report,
                                    const console::AwayHistory &samples, const std::string &path,
                                    const console::Form &query,
                                    const console::PageContext &pageContext)
    {
        const auto context = withState(pageContext, view.fleet.version, view.isLogReachable);
        console::StateView state{context, view.fleet, view.runs, report.histograms,
                                 samples, {},         {},        {}};
        for (const maintenance::Note &note : view.waveNotes) {
            state.waitReasons.push_back({note.subject, note.text});
        }
        for (const maintenance::Page &page : view.pages) {
            state.alerts.push_back(page.text);
        }
        for (const auto &[pool, demand] : view.demands) {
            state.demands.emplace(pool, demand.now);
        }
        auto html = console::statePage(state, path, query);
        return html ? pageResponse(context, std::move(*html)) : notFound(context);
    }

    void showExplain(const std::string &id, const console::PageContext &pageContext,
                     const HttpRespond &respond)
    {
        const auto self = shared_from_this();
        ports.report(id, [=](const CallersReport &report) {
            self->thread.post([=, lines = report.explanation] {
                self->query(pageContext, respond, [=](const ControlView &view) {
                    const auto context =
                            withState(pageContext, view.fleet.version, view.isLogReachable);
                    std::vector<std::string> all;
                    if (!id.empty()) {
                        all = explain(view, id);
                        all.insert(all.end(), lines.begin(), lines.end());
                    }
                    self->respondLater(
                            respond, pageResponse(context, console::explainPage(context, id, all)));
                });
            });
        });
    }

    // Calls `use` with a copy of the fleet's state on this duty's thread.
    void withFleet(const console::PageContext &context, const HttpRespond &respond,
                   const std::function<void(const FleetCopy &, const console::PageContext &)> &use)
    {
        const auto self = shared_from_this();
        query(context, respond, [=](const ControlView &view) {
            const auto copy = std::make_shared<const FleetCopy>(
                    FleetCopy{view.fleet, view.demands, view.logTime, view.isLogReachable});
            self->thread.post([=] {
                use(*copy, withState(context, copy->fleet.version, copy->isLogReachable));
            });
        });
    }

    void handleDraft(const console::Form &form, const console::PageContext &pageContext,
                     const HttpRespond &respond)
    {
        const auto self = shared_from_this();
        withFleet(pageContext, respond,
                  [=](const FleetCopy &copy, const console::PageContext &context) {
                      console::DraftResponse reply = console::handleDraftForm(
                              context, copy.fleet, form, [&](const ConfigDocument &document) {
                                  return forecastWaves(copy.fleet, document, copy.demands,
                                                       self->settings.wavePolicy, copy.logTime);
                              });
                      switch (reply.action) {
                      case console::DraftAction::Show:
                          respond(pageResponse(context, std::move(reply.text)));
                          return;
                      case console::DraftAction::Download:
                          respond(download(context, std::move(reply.text)));
                          return;
                      case console::DraftAction::Publish:
                          self->publish(copy.fleet, std::move(reply), context, respond);
                          return;
                      }
                  });
    }

    void publish(const FleetState &fleet, console::DraftResponse reply,
                 const console::PageContext &context, const HttpRespond &respond)
    {
        const auto draft = std::make_shared<const console::DraftResponse>(std::move(reply));
        const std::uint64_t base = draft->draft.baseVersion;
        if (base != fleet.version) {
            showOutcome(draft,
                        {.result = console::PublishResult::Refused,
                         .version = fleet.version,
                         .reason = fmt::format("the draft was written from version {}, but version "
                                               "{} is in force",
                                               base, fleet.version)},
                        context, respond);
            return;
        }
        auto stages = stagedEdits(fleet.document, draft->targetDocument);
        if (!stages) {
            showOutcome(draft,
                        {.result = console::PublishResult::Refused,
                         .version = base,
                         .reason = stages.failure().message},
                        context, respond);
            return;
        }
        const auto self = shared_from_this();
        publishStages(ports.publish, {base, draft->author, std::move(stages).value()},
                      [=](const StagedOutcome &outcome) {
                          self->thread.post([=] {
                              self->showOutcome(draft, reportOf(outcome), context, respond);
                          });
                      });
    }

    void showOutcome(const std::shared_ptr<const console::DraftResponse> &draft,
                     const console::PublishReport &report, const console::PageContext &pageContext,
                     const HttpRespond &respond)
    {
        withFleet(pageContext, respond,
                  [=](const FleetCopy &copy, const console::PageContext &context) {
                      respond(pageResponse(context,
                                           console::publishedPage(context, copy.fleet, draft->draft,
                                                                  draft->author, report)));
                  });
    }

    DutyThread &thread;
    OperatorsSettings settings;
    OperatorsPorts ports;
    ProcessClock clock;
    boost::asio::steady_timer timer;
    console::AwayHistory history;
};

ConsoleHost::ConsoleHost(DutyThread &thread, OperatorsSettings settings, OperatorsPorts ports)
    : state_(std::make_shared<State>(thread, std::move(settings), std::move(ports)))
{}

ConsoleHost::~ConsoleHost() = default;

void ConsoleHost::start()
{
    state_->thread.post([state = state_] { state->sample(); });
}

bool ConsoleHost::isConsolePath(std::string_view path)
{
    return path == "/" || path == "/console" || path.starts_with("/console/");
}

bool ConsoleHost::hasSession(const HttpRequest &request) const
{
    return state_->formTokenFor(request).has_value();
}

void ConsoleHost::handle(const HttpRequest &request, const HttpRespond &respond)
{
    state_->handle(request, respond);
}

}  // namespace poplarstream
