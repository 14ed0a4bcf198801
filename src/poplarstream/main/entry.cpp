#include <csignal>  // for signal, SIGPIPE
#include <cstdlib>  // for getenv

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/signal_set.hpp>  // for signal_set
#include <fmt/format.h>  // for print

#include "commands.hpp"  // for runEntry
#include "platform/callers.hpp"  // for toCall, toHttpResponse
#include "platform/documents.hpp"  // for makeDecoderPort
#include "platform/machines.hpp"  // for makeMachinePort
#include "platform/settings.hpp"  // for parseSettings
#include "platform/store.hpp"  // for makeStorePort
#include "platform/workers.hpp"  // for makeWorkerPort
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer
#include "poplarstream/base/process_identity.hpp"  // for drawProcessIdentity
#include "poplarstream/edge/entry_process.hpp"  // for EntryProcess
#include "poplarstream/telemetry/event_kinds.hpp"  // for entryHostStarting

namespace poplarstream {

namespace {

// How long callers are still served after a stop signal: the load balancer needs up to two health
// checks, one a second, to notice that this entry host is not ready.
constexpr Milliseconds unreadyServingTime{2500};
// The process exits this long before the platform would kill it.
constexpr Milliseconds killMargin{500};
// A poll occupies one connection to its worker; commands share the others.
constexpr std::size_t connectionsPerWorker = 3;
constexpr std::size_t waitingPerWorker = 1024;

HttpClientLimits workerLimits()
{
    HttpClientLimits limits;
    limits.connectionsPerEndpoint = connectionsPerWorker;
    limits.waitingPerEndpoint = waitingPerWorker;
    limits.connectTimeout = Milliseconds{500};
    return limits;
}

// Logs every error as an event. Empty when there is one.
std::optional<edge::Settings> readSettingsFile(const std::string &path)
{
    platform::ParsedSettings parsed = platform::parseSettings(readFile(path));
    for (const std::string &error : parsed.errors) {
        logEvent(events::settingsFault,
                 {{"file", path}, {"section", ""}, {"key", ""}, {"fault", error}});
    }
    if (!parsed.errors.empty()) {
        return {};
    }
    return std::move(parsed.settings);
}

// Connects the entry process of this host to its HTTP servers and clients.
class EntryHostServers
{
public:
    EntryHostServers(boost::asio::io_context &io, const edge::Settings &settings)
        : io_(io)
        , platformClient_(io)
        , workerClient_(io, workerLimits())
        , peerClient_(io)
        , runtime_{io,
                   settings,
                   platform::makeStorePort(platformClient_, settings.store),
                   platform::makeWorkerPort(workerClient_),
                   platform::makeMachinePort(platformClient_, settings.machines),
                   platform::makeDecoderPort(),
                   {}}
        , process_(runtime_, peerClient_)
    {}

    bool listen()
    {
        const edge::Settings &settings = runtime_.settings;
        return listenOn(settings.front,
                        [this](HttpRequest request, const HttpRespond &respond) {
                            process_.handleCall(platform::toCall(std::move(request)),
                                                [respond](const edge::Response &response) {
                                                    respond(platform::toHttpResponse(response));
                                                });
                        })
               && listenOn(settings.ready,
                           [this](const HttpRequest &, const HttpRespond &respond) {
                               respond(platform::readinessResponse(process_.isReady()));
                           })
               && listenOn(settings.control,
                           [this](const HttpRequest &request, const HttpRespond &respond) {
                               process_.handlePeerRequest(request, respond);
                           })
               && listenOn(settings.metrics,
                           [this](const HttpRequest &request, const HttpRespond &respond) {
                               respond(process_.respondToOperator(request));
                           });
    }

    // A callback was broken off.
    void handleFailure() { process_.abandonOwnership(); }

    void stop()
    {
        if (isStopping_) {
            return;
        }
        isStopping_ = true;
        logEvent(events::entryHostLeaving, {});
        const Milliseconds grace = runtime_.settings.grace;
        process_.leave(edge::steadyNow() + grace - killMargin);
        edge::callAfter(runtime_, std::min(unreadyServingTime, grace / 2), [this] {
            for (HttpServer &server : httpServers_) {
                server.shutdown([this] {
                    if (++drainedServers_ == httpServers_.size()) {
                        io_.stop();
                    }
                });
            }
        });
        edge::callAfter(runtime_, grace - killMargin, [this] { io_.stop(); });
    }

private:
    bool listenOn(const HttpEndpoint &endpoint, HttpHandler handler)
    {
        Result<HttpServer> server = HttpServer::listen(io_, endpoint, std::move(handler));
        if (!server) {
            fmt::print(stderr, "poplarstream: cannot listen on {}: {}\n", endpointText(endpoint),
                       server.failure().message);
            return false;
        }
        httpServers_.push_back(std::move(server).value());
        return true;
    }

    boost::asio::io_context &io_;
    HttpClient platformClient_;
    HttpClient workerClient_;
    HttpClient peerClient_;
    edge::Runtime runtime_;
    edge::EntryProcess process_;
    std::vector<HttpServer> httpServers_;
    std::size_t drainedServers_ = 0;
    bool isStopping_ = false;
};

void awaitStop(boost::asio::signal_set &signals, EntryHostServers &servers)
{
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            servers.stop();
            awaitStop(signals, servers);
        }
    });
}

void awaitReload(boost::asio::signal_set &signals, const std::string &path)
{
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            // Addresses and limits are fixed while the process runs: the file is only validated.
            const bool isValid = readSettingsFile(path).has_value();
            logEvent(events::settingsReloaded, {{"sound", isValid ? "yes" : "no"}});
            awaitReload(signals, path);
        }
    });
}

}  // namespace

int runEntry(const CommandLine &commandLine)
{
    const char *const environmentPath = std::getenv("POPLARSTREAM_CONFIG");
    const std::string path = !commandLine.settingsFile.empty() ? commandLine.settingsFile
                             : environmentPath != nullptr      ? std::string(environmentPath)
                                                               : std::string();
    if (path.empty() || !commandLine.operands.empty()) {
        return exitUsage;
    }
    std::optional<edge::Settings> settings = readSettingsFile(path);
    if (!settings) {
        return exitFailed;
    }
    settings->incarnation = drawProcessIdentity();
    std::signal(SIGPIPE, SIG_IGN);
    logEvent(events::entryHostStarting, {{"id", settings->name.text()},
                                         {"zone", settings->zone.text()},
                                         {"version", POPLAR_VERSION}});
    boost::asio::io_context io(1);
    EntryHostServers servers(io, *settings);
    if (!servers.listen()) {
        return exitFailed;
    }
    boost::asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    awaitStop(stopSignals, servers);
    boost::asio::signal_set reloadSignals(io, SIGHUP);
    awaitReload(reloadSignals, path);
    edge::runEventLoop(io, [&servers] { servers.handleFailure(); });
    logEvent(events::entryHostStopped, {{"seconds", ""}, {"drained", ""}, {"left", ""}});
    return exitDone;
}

}  // namespace poplarstream
