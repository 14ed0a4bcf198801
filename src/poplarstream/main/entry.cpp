#include <csignal>  // for signal, SIGPIPE
#include <cstdlib>  // for getenv

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/signal_set.hpp>  // for signal_set
#include <fmt/format.h>  // for print

#include "commands.hpp"  // for entry
#include "platform/callers.hpp"  // for callFrom, responseTo
#include "platform/documents.hpp"  // for documentDecoder
#include "platform/machines.hpp"  // for machinesAt
#include "platform/settings.hpp"  // for readSettings
#include "platform/store.hpp"  // for storeAt
#include "platform/workers.hpp"  // for workersThrough
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer
#include "poplarstream/edge/entry_process.hpp"  // for EntryProcess
#include "poplarstream/telemetry/event_kinds.hpp"  // for entryHostStarting

namespace poplarstream {

namespace {

// The load balancer notices within two health checks of a second each; callers that it sends until
// then are still served.
constexpr Milliseconds servedAfterStop{2500};
constexpr Milliseconds killMargin{500};
// A look holds one connection to its worker; orders share the others.
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

std::optional<edge::Settings> settingsFrom(const std::string &path)
{
    platform::SettingsReport report = platform::readSettings(readFile(path));
    for (const std::string &fault : report.faults) {
        logEvent(events::settingsFault,
                 {{"file", path}, {"section", ""}, {"key", ""}, {"fault", fault}});
    }
    if (!report.faults.empty()) {
        return {};
    }
    return std::move(report.settings);
}

// The servers of one entry host and its part of the product.
class EntryServers
{
public:
    EntryServers(boost::asio::io_context &io, const edge::Settings &settings)
        : io_(io)
        , stores_(io)
        , workers_(io, workerLimits())
        , peers_(io)
        , runtime_{io,
                   settings,
                   platform::storeAt(stores_, settings.store),
                   platform::workersThrough(workers_),
                   platform::machinesAt(stores_, settings.machines),
                   platform::documentDecoder(),
                   {}}
        , process_(runtime_, peers_)
    {}

    bool listen()
    {
        const edge::Settings &settings = runtime_.settings;
        return open(settings.front,
                    [this](HttpRequest request, const HttpRespond &respond) {
                        process_.handleCall(platform::callFrom(std::move(request)),
                                            [respond](const edge::Response &answer) {
                                                respond(platform::responseTo(answer));
                                            });
                    })
               && open(settings.ready,
                       [this](const HttpRequest &, const HttpRespond &respond) {
                           respond(platform::readyResponse(process_.isReady()));
                       })
               && open(settings.control,
                       [this](const HttpRequest &request, const HttpRespond &respond) {
                           process_.handlePeerRequest(request, respond);
                       })
               && open(settings.metrics, [this](const HttpRequest &, const HttpRespond &respond) {
                      respond({200, {{"Content-Type", "text/plain"}}, process_.metrics()});
                  });
    }

    void stop()
    {
        if (isStopping_) {
            return;
        }
        isStopping_ = true;
        logEvent(events::entryHostLeaving, {});
        process_.leave();
        const Milliseconds grace = runtime_.settings.grace;
        edge::callAfter(runtime_, std::min(servedAfterStop, grace / 2), [this] {
            for (HttpServer &server : servers_) {
                server.shutdown([this] {
                    if (++drained_ == servers_.size()) {
                        io_.stop();
                    }
                });
            }
        });
        edge::callAfter(runtime_, grace - killMargin, [this] { io_.stop(); });
    }

private:
    bool open(const HttpEndpoint &endpoint, HttpHandler handler)
    {
        Result<HttpServer> server = HttpServer::listen(io_, endpoint, std::move(handler));
        if (!server) {
            fmt::print(stderr, "poplarstream: cannot listen on {}: {}\n", endpointText(endpoint),
                       server.failure().message);
            return false;
        }
        servers_.push_back(std::move(server).value());
        return true;
    }

    boost::asio::io_context &io_;
    HttpClient stores_;
    HttpClient workers_;
    HttpClient peers_;
    edge::Runtime runtime_;
    edge::EntryProcess process_;
    std::vector<HttpServer> servers_;
    std::size_t drained_ = 0;
    bool isStopping_ = false;
};

void awaitStop(boost::asio::signal_set &signals, EntryServers &servers)
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
            // Addresses and limits hold for the life of the process; a faulty file is reported.
            const bool isSound = settingsFrom(path).has_value();
            logEvent(events::settingsReloaded, {{"sound", isSound ? "yes" : "no"}});
            awaitReload(signals, path);
        }
    });
}

}  // namespace

int entry(const CommandLine &line)
{
    const char *const fromEnvironment = std::getenv("POPLARSTREAM_CONFIG");
    const std::string path = !line.settingsFile.empty()   ? line.settingsFile
                             : fromEnvironment != nullptr ? std::string(fromEnvironment)
                                                          : std::string();
    if (path.empty() || !line.operands.empty()) {
        return exitUsage;
    }
    const std::optional<edge::Settings> settings = settingsFrom(path);
    if (!settings) {
        return exitFailed;
    }
    std::signal(SIGPIPE, SIG_IGN);
    logEvent(events::entryHostStarting, {{"id", settings->name.text()},
                                         {"zone", settings->zone.text()},
                                         {"version", POPLAR_VERSION}});
    boost::asio::io_context io(1);
    EntryServers servers(io, *settings);
    if (!servers.listen()) {
        return exitFailed;
    }
    boost::asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    awaitStop(stopSignals, servers);
    boost::asio::signal_set reloadSignals(io, SIGHUP);
    awaitReload(reloadSignals, path);
    io.run();
    logEvent(events::entryHostStopped, {{"seconds", ""}, {"drained", ""}, {"left", ""}});
    return exitDone;
}

}  // namespace poplarstream
