#include "poplarstream/node/operators_duty.hpp"

#include <algorithm>  // for any_of
#include <charconv>  // for from_chars
#include <optional>  // for optional

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/adapters/http_server.hpp"  // for HttpServer
#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson
#include "poplarstream/config/ini.hpp"  // for parseDocument, formatDocument
#include "poplarstream/config/stages.hpp"  // for stagedEdits
#include "poplarstream/config/validation.hpp"  // for readConfiguration
#include "poplarstream/node/caller_request.hpp"  // for hasBearerToken, errorResponse
#include "poplarstream/node/console_host.hpp"  // for ConsoleHost
#include "poplarstream/node/staged_publication.hpp"  // for publishStages
#include "poplarstream/node/status.hpp"  // for statusOf, explain

namespace poplarstream {

namespace {

using nlohmann::json;

std::string dump(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpResponse jsonError(unsigned status, std::string_view error)
{
    return jsonResponse(status, dump({{"error", error}}));
}

HttpResponse documentErrorsResponse(const ConfigErrors &errors)
{
    json list = json::array();
    for (const ConfigError &entry : errors) {
        list.push_back({{"section", entry.section},
                        {"key", entry.key},
                        {"expected", entry.expected},
                        {"found", entry.found}});
    }
    return jsonResponse(400, dump({{"error", "the document has faults"}, {"faults", list}}));
}

std::string_view resultText(PublicationResult result)
{
    switch (result) {
    case PublicationResult::InForce:
        return "in-force";
    case PublicationResult::Refused:
        return "refused";
    case PublicationResult::Unknown:
        break;
    }
    return "unknown";
}

HttpResponse publicationResponse(const PublicationOutcome &outcome)
{
    const unsigned status = outcome.result == PublicationResult::InForce   ? 200
                            : outcome.result == PublicationResult::Refused ? 409
                                                                           : 503;
    return jsonResponse(status, dump({{"result", resultText(outcome.result)},
                                      {"version", outcome.version},
                                      {"change", outcome.record.text()},
                                      {"reason", outcome.reason}}));
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string metricsText(const CallersReport &report, const ControlView &view)
{
    std::string text = report.histograms.prometheusText();
    const auto add = [&](std::string_view name, std::string_view kind, auto value) {
        text += fmt::format("# TYPE poplarstream_{} {}\npoplarstream_{} {}\n", name, kind, name,
                            value);
    };
    add("requests_arrived_total", "counter", report.counters.arrived);
    add("requests_dispatched_total", "counter", report.counters.dispatched);
    add("requests_retried_total", "counter", report.counters.retried);
    add("requests_hedged_total", "counter", report.counters.hedged);
    add("requests_refused_total", "counter", report.counters.refused);
    add("late_answers_total", "counter", report.counters.lateResponses);
    add("silent_connections_total", "counter", report.counters.silentConnections);
    add("ejections_total", "counter", report.counters.ejections);
    add("configuration_version", "gauge", view.fleet.version);
    add("control_offset", "gauge", view.fleet.next);
    add("hosts", "gauge", view.fleet.hosts.size());
    add("runs_active", "gauge", view.runs.active.size());
    add("log_reachable", "gauge", view.isLogReachable ? 1 : 0);
    return text;
}

}  // namespace

struct OperatorsDuty::State : std::enable_shared_from_this<OperatorsDuty::State>
{
    State(DutyThread &dutyThread, OperatorsSettings operatorsSettings,
          OperatorsPorts operatorsPorts)
        : thread(dutyThread)
        , settings(std::move(operatorsSettings))
        , ports(std::move(operatorsPorts))
        , console(thread, settings, ports)
    {}

    void onRequest(const HttpRequest &request, const HttpRespond &respond)
    {
        const std::string path(targetPath(request.target));
        if (path == "/health") {
            respond(jsonResponse(200, "{}"));
        } else if (path == "/ready") {
            respondReady(respond);
        } else if (ConsoleHost::isConsolePath(path)) {
            console.handle(request, respond);
        } else if (!isOperator(request) && !isDownload(request, path)) {
            respond(jsonError(401, "expected the bearer token of an operator"));
        } else if (request.method == "POST" && path == "/publish") {
            publish(request, respond);
        } else if (request.method != "GET") {
            respond(jsonError(405, "unknown method for this path"));
        } else {
            handleGet(path, respond);
        }
    }

    // The console links to the document, so a console session is sufficient to read it.
    bool isDownload(const HttpRequest &request, std::string_view path) const
    {
        return request.method == "GET" && path == "/document" && console.hasSession(request);
    }

    bool isOperator(const HttpRequest &request) const
    {
        return std::any_of(
                settings.tokens.begin(), settings.tokens.end(),
                [&](const std::string &token) { return hasBearerToken(request, token); });
    }

    // Queries the control duty and responds on this duty's thread.
    void respondFromControl(const HttpRespond &respond,
                            const std::function<HttpResponse(const ControlView &)> &makeResponse)
    {
        const auto self = shared_from_this();
        const bool isSent = ports.query([self, respond, makeResponse](const ControlView &view) {
            self->respondLater(respond, makeResponse(view));
        });
        if (!isSent) {
            respond(jsonError(503, "the control duty is busy"));
        }
    }

    void respondLater(const HttpRespond &respond, HttpResponse response)
    {
        thread.post([respond, response = std::move(response)]() mutable {
            respond(std::move(response));
        });
    }

    void respondReady(const HttpRespond &respond)
    {
        if (isLeaving) {
            respond(jsonError(503, "leaving"));
            return;
        }
        respondFromControl(respond, [](const ControlView &view) {
            if (view.isReady) {
                return jsonResponse(200, dump({{"version", view.fleet.version}}));
            }
            return jsonError(503, view.fleet.version == 0 ? "no configuration" : "starting");
        });
    }

    void handleGet(const std::string &path, const HttpRespond &respond)
    {
        constexpr std::string_view statusPrefix = "/status";
        constexpr std::string_view explainPrefix = "/explain/";
        if (path == "/document") {
            respondFromControl(respond, [](const ControlView &view) {
                HttpResponse response;
                response.headers = {
                        {"Content-Type", "text/plain; charset=utf-8"},
                        {"Content-Disposition", "attachment; filename=\"fleet.ini\""},
                        {"X-Content-Type-Options", "nosniff"},
                        {"Cache-Control", "no-store"},
                        {"Poplar-Config-Version", fmt::format("{}", view.fleet.version)}};
                response.body = formatDocument(view.fleet.document);
                return response;
            });
        } else if (path == "/metrics") {
            respondMetrics(respond);
        } else if (path.starts_with(explainPrefix)) {
            respondExplain(path.substr(explainPrefix.size()), respond);
        } else if (path.starts_with(statusPrefix)) {
            std::string topic = path.substr(statusPrefix.size());
            topic.erase(0, topic.starts_with('/') ? 1 : 0);
            respondFromControl(respond, [topic](const ControlView &view) {
                const auto status = statusOf(view, topic);
                return status ? jsonResponse(200, dump(*status)) : jsonError(404, "unknown topic");
            });
        } else {
            respond(jsonError(404, "unknown path"));
        }
    }

    void respondMetrics(const HttpRespond &respond)
    {
        const auto self = shared_from_this();
        ports.report("", [self, respond](CallersReport report) {
            const auto shared = std::make_shared<const CallersReport>(std::move(report));
            self->thread.post([self, respond, shared] {
                self->respondFromControl(respond, [shared](const ControlView &view) {
                    HttpResponse response;
                    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
                    response.body = metricsText(*shared, view);
                    return response;
                });
            });
        });
    }

    void respondExplain(const std::string &id, const HttpRespond &respond)
    {
        const auto self = shared_from_this();
        ports.report(id, [self, respond, id](CallersReport report) {
            const auto lines =
                    std::make_shared<const std::vector<std::string>>(std::move(report.explanation));
            self->thread.post([self, respond, id, lines] {
                self->respondFromControl(respond, [id, lines](const ControlView &view) {
                    std::vector<std::string> all = explain(view, id);
                    all.insert(all.end(), lines->begin(), lines->end());
                    const unsigned status = all.empty() ? 404 : 200;
                    return jsonResponse(status, dump({{"id", id}, {"decisions", all}}));
                });
            });
        });
    }

    // Accepts an INI document (text/plain) with the version that it is based on, or a JSON object
    // with `base_version` and `edits`.
    void publish(const HttpRequest &request, const HttpRespond &respond)
    {
        const auto contentType = headerValue(request.headers, "Content-Type");
        const std::string author(
                headerValue(request.headers, "Poplar-Author").value_or("operator"));
        if (contentType && contentType->starts_with("application/json")) {
            publishEdits(request, author, respond);
            return;
        }
        const auto base =
                parseNumber(headerValue(request.headers, "Poplar-Base-Version").value_or(""));
        if (!base) {
            respond(jsonError(400, "expected the header Poplar-Base-Version, the version that the "
                                   "document was written from"));
            return;
        }
        ParsedDocument parsed = parseDocument(request.body);
        const ConfigurationResult read = readConfiguration(parsed.document);
        parsed.errors.insert(parsed.errors.end(), read.errors.begin(), read.errors.end());
        if (!parsed.errors.empty()) {
            respond(documentErrorsResponse(parsed.errors));
            return;
        }
        const auto self = shared_from_this();
        const auto document = std::make_shared<const ConfigDocument>(std::move(parsed.document));
        const bool isSent = ports.query([self, respond, document, base = *base,
                                         author](const ControlView &view) {
            // The stages are computed on this duty's thread. A copy of the document is cheap, since
            // copies share their rows.
            self->thread.post([self, respond, document, base, author, inForce = view.fleet.document,
                               version = view.fleet.version] {
                self->publishDocument(inForce, version, *document, base, author, respond);
            });
        });
        if (!isSent) {
            respond(jsonError(503, "the control duty is busy"));
        }
    }

    void publishDocument(const ConfigDocument &inForce, std::uint64_t version,
                         const ConfigDocument &document, std::uint64_t base,
                         const std::string &author, const HttpRespond &respond)
    {
        if (version != base) {
            respond(publicationResponse(
                    {.result = PublicationResult::Refused,
                     .version = version,
                     .reason = fmt::format("the document was written from version {}, but version "
                                           "{} is in force",
                                           base, version)}));
            return;
        }
        auto stages = stagedEdits(inForce, document);
        if (!stages) {
            respond(publicationResponse({.result = PublicationResult::Refused,
                                         .version = version,
                                         .reason = stages.failure().message}));
            return;
        }
        publishStages(ports.publish, {base, author, std::move(stages).value()},
                      [self = shared_from_this(), respond](const StagedOutcome &outcome) {
                          self->respondLater(respond, publicationResponse(stagedOutcome(outcome)));
                      });
    }

    // The reason of an incomplete series includes the number of stages in force.
    static PublicationOutcome stagedOutcome(const StagedOutcome &outcome)
    {
        PublicationOutcome last = outcome.last;
        if (outcome.stages > 1 && last.result != PublicationResult::InForce) {
            last.reason += fmt::format(" ({} of {} stages are in force)", outcome.stagesDone,
                                       outcome.stages);
        }
        return last;
    }

    void publishEdits(const HttpRequest &request, const std::string &author,
                      const HttpRespond &respond)
    {
        const json body = parseBoundedJson(request.body).value_or(json());
        try {
            ConfigChange change;
            change.baseVersion = body.at("base_version").get<std::uint64_t>();
            change.author = author;
            for (const json &edit : body.at("edits")) {
                ConfigEdit read;
                read.section = edit.at("section").get<std::string>();
                if (edit.contains("key") && !edit["key"].is_null()) {
                    read.key = edit["key"].get<std::string>();
                }
                if (edit.contains("value") && !edit["value"].is_null()) {
                    read.value = edit["value"].get<std::string>();
                }
                change.edits.push_back(std::move(read));
            }
            submitChange(std::move(change), respond);
        } catch (const json::exception &error) {
            respond(jsonError(400,
                              fmt::format("expected base_version and edits: {}", error.what())));
        }
    }

    void submitChange(ConfigChange change, const HttpRespond &respond)
    {
        const auto self = shared_from_this();
        const bool isSent = ports.publish(
                {std::move(change), [self, respond](const PublicationOutcome &outcome) {
                     self->respondLater(respond, publicationResponse(outcome));
                 }});
        if (!isSent) {
            respond(jsonError(503, "the control duty is busy"));
        }
    }

    DutyThread &thread;
    OperatorsSettings settings;
    OperatorsPorts ports;
    ConsoleHost console;
    std::optional<HttpServer> server;
    bool isLeaving = false;
};

OperatorsDuty::OperatorsDuty(DutyThread &thread, OperatorsSettings settings, OperatorsPorts ports)
    : state_(std::make_shared<State>(thread, std::move(settings), std::move(ports)))
{}

OperatorsDuty::~OperatorsDuty() = default;

Result<std::uint16_t> OperatorsDuty::listen()
{
    HttpServerLimits limits;
    // A document of the design size has about 1 MB.
    limits.bodyBytes = 8 * 1024 * 1024;
    auto server = HttpServer::listen(
            state_->thread.context(), state_->settings.listen,
            [state = state_.get()](const HttpRequest &request, const HttpRespond &respond) {
                state->onRequest(request, respond);
            },
            limits);
    if (!server) {
        return server.failure();
    }
    state_->server.emplace(std::move(server).value());
    state_->console.start();
    return state_->server->port();
}

void OperatorsDuty::setLeaving()
{
    state_->thread.post([state = state_] { state->isLeaving = true; });
}

}  // namespace poplarstream
