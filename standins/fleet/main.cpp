#include <cstdio>  // for stderr
#include <exception>  // for exception
#include <list>  // for list
#include <sstream>  // for istringstream

#include <boost/asio/io_context.hpp>  // for io_context
#include <fmt/format.h>  // for print
#include <nlohmann/json.hpp>  // for json

#include "common/command_line.hpp"  // for parseCommandLine, numberOption
#include "common/document.hpp"  // for readDocument, sectionsOf
#include "common/service.hpp"  // for startServer, listenAddress, runUntilSignal
#include "fleet/host.hpp"  // for Host
#include "poplarstream/adapters/http_client.hpp"  // for HttpClient

namespace poplarstream::standins {

namespace {

using nlohmann::json;

constexpr Milliseconds tickPeriod{10};

// All hosts of the configuration.
class Fleet
{
public:
    Fleet(boost::asio::io_context &io, const Options &options)
        : io_(io)
        , client_(io)
    {
        context_.random = Random(static_cast<std::uint64_t>(numberOption(options, "seed")));
        context_.history = JsonLines(options.at("history"));
        context_.usageLagMs = static_cast<std::int64_t>(numberOption(options, "usage-lag-ms"));
        context_.defaultMeanMs = numberOption(options, "default-ms");
        readServiceTimes(options.at("service-ms"));
        if (!options.at("platform-control").empty()) {
            platformControl_ = listenAddress(options.at("platform-control"));
        }
        const Milliseconds rebootTime{
                static_cast<std::int64_t>(numberOption(options, "reboot-seconds") * 1000)};
        for (const Section &section : sectionsOf(readDocument(options.at("document")), "host")) {
            hosts_.emplace_back(io, context_, section, rebootTime,
                                [this, name = section.name](const std::string &state) {
                                    announce(name, state);
                                });
        }
    }

    void open()
    {
        for (Host &host : hosts_) {
            host.open();
        }
        lastTickMs_ = steadyMilliseconds();
        scheduleTick();
    }

    void close()
    {
        isClosed_ = true;
        for (Host &host : hosts_) {
            host.close();
        }
    }

    HttpResponse handleControl(const HttpRequest &request)
    {
        try {
            if (request.method == "POST") {
                const json body = json::parse(request.body);
                for (const json &item : body.at("faults")) {
                    applyFault(item);
                }
            }
        } catch (const std::exception &error) {
            return jsonResponse(400, json{{"error", error.what()}}.dump());
        }
        json state = json::object();
        for (const Host &host : hosts_) {
            state[host.name()] = host.state();
        }
        return jsonResponse(200, json{{"hosts", state}}.dump());
    }

private:
    void readServiceTimes(const std::string &text)
    {
        Section section{"", "", {{"times", text}}};
        for (const std::string &item : section.list("times")) {
            const std::size_t equals = item.find('=');
            if (equals == std::string::npos) {
                throw std::runtime_error("--service-ms needs service=ms, not '" + item + "'");
            }
            context_.meanMsByService[item.substr(0, equals)] = std::stod(item.substr(equals + 1));
        }
    }

    void scheduleTick()
    {
        runAfter(io_, tickPeriod, [this] {
            if (isClosed_) {
                return;
            }
            const std::int64_t nowMs = steadyMilliseconds();
            for (Host &host : hosts_) {
                host.tick(nowMs, nowMs - lastTickMs_);
            }
            lastTickMs_ = nowMs;
            scheduleTick();
        });
    }

    void applyFault(const json &item)
    {
        const Fault fault = faultFromText(item.at("fault").get<std::string>());
        const double factor = item.value("factor", 10.0);
        bool isKnown = false;
        for (Host &host : hosts_) {
            if (item.value("host", "") == host.name()) {
                host.setFault(fault, factor);
                isKnown = true;
            } else if (const auto minion = endpointFromText(item.value("minion", ""))) {
                isKnown = host.setMinionFault(*minion, fault, factor) || isKnown;
            }
        }
        if (!isKnown) {
            throw std::invalid_argument("no such host or minion");
        }
    }

    // Reports a host state to the simulated platform, whose host list shows it after a lag.
    void announce(const std::string &host, const std::string &state)
    {
        if (!platformControl_ || isClosed_) {
            return;
        }
        const json body{{"hosts", json::array({{{"host", host}, {"state", state}}})}};
        client_.send(*platformControl_, {"POST", "/control", {}, body.dump(), {}},
                     {Milliseconds{5000}, {}}, [](const HttpOutcome &) {});
    }

    boost::asio::io_context &io_;
    HttpClient client_;
    FleetContext context_;
    std::optional<HttpEndpoint> platformControl_;
    std::list<Host> hosts_;
    std::int64_t lastTickMs_ = 0;
    bool isClosed_ = false;
};

void run(const Options &options)
{
    boost::asio::io_context io(1);
    Fleet fleet(io, options);
    fleet.open();
    std::optional<HttpServer> control(
            startServer(io, "control", listenAddress(options.at("control")),
                        [&fleet](const HttpRequest &request, const HttpRespond &respond) {
                            respond(fleet.handleControl(request));
                        }));
    runUntilSignal(io, [&] {
        fleet.close();
        control.reset();
    });
}

}  // namespace

}  // namespace poplarstream::standins

int main(int argc, char **argv)
{
    using namespace poplarstream::standins;
    const Options options = parseCommandLine(
            argc, argv, "Plays all workers and minions of a configuration document.",
            {{"document", "", "configuration with the sections [host x]"},
             {"control", "127.0.0.1:0", "address of the endpoint that sets faults"},
             {"history", "-", "file to which every execution is written as a JSON line"},
             {"service-ms", "-", "mean times of services, as name=ms,..."},
             {"default-ms", "50", "mean time of other services"},
             {"usage-lag-ms", "1000", "age of the reported use of tasks"},
             {"reboot-seconds", "3", "time between a reboot and the return"},
             {"platform-control", "-", "control address of standin-platform, told of changes"},
             {"seed", "1", "seed of the service times"}});
    try {
        run(options);
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-fleet: {}\n", error.what());
        return 1;
    }
    return 0;
}
