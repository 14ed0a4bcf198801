#include <cstdio>  // for stderr
#include <exception>  // for exception

#include <boost/asio/io_context.hpp>  // for io_context
#include <fmt/format.h>  // for print
#include <nlohmann/json.hpp>  // for json

#include "callers/callers.hpp"  // for Callers
#include "common/command_line.hpp"  // for parseCommandLine, numberOption
#include "common/service.hpp"  // for runUntilSignal

namespace poplarstream::standins {

namespace {

std::vector<HttpEndpoint> endpoints(const Options &options, const std::string &name)
{
    return Section{"option", name, {{name, options.at(name)}}}.endpoints(name);
}

void run(const Options &options)
{
    boost::asio::io_context io(1);
    HttpClientLimits limits;
    limits.connectionsPerEndpoint = 512;
    limits.waitingPerEndpoint = 8192;
    HttpClient client(io, limits);
    EntryList entries(io, client, endpoints(options, "entries"), endpoints(options, "ready"));
    const LoadOptions load{numberOption(options, "urgent-rate"), numberOption(options, "slow-rate"),
                           options.at("rates"), numberOption(options, "run-scale"),
                           static_cast<std::uint64_t>(numberOption(options, "seed"))};
    Callers callers(io, client, entries, Load(readDocument(options.at("document")), load),
                    options.at("history"));
    entries.startReadinessChecks();
    callers.start(static_cast<std::int64_t>(numberOption(options, "seconds") * 1000),
                  static_cast<std::int64_t>(numberOption(options, "poll-seconds") * 1000), [&] {
                      entries.stop();
                      io.stop();
                  });
    runUntilSignal(io, [&] { io.stop(); });
    fmt::print("{}\n", callers.summary().dump());
}

}  // namespace

}  // namespace poplarstream::standins

int main(int argc, char **argv)
{
    using namespace poplarstream::standins;
    const Options options = parseCommandLine(
            argc, argv, "Sends requests and runs to entry hosts and prints a JSON summary.",
            {{"document", "", "configuration with services and tenants"},
             {"entries", "", "addresses of the entry hosts for callers, separated by commas"},
             {"ready", "-", "their addresses for GET /ready, in the same order"},
             {"seconds", "10", "how long to send"},
             {"poll-seconds", "30", "how long to wait for runs after that"},
             {"urgent-rate", "10", "requests a second of each urgent service"},
             {"slow-rate", "1", "runs a second of each slow service"},
             {"rates", "-", "other rates, as service=rate,..."},
             {"run-scale", "0.01", "actual time of a run over its run_seconds"},
             {"history", "-", "file to which requests and runs are written as JSON lines"},
             {"seed", "1", "seed of arrivals and tenants"}});
    try {
        run(options);
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-callers: {}\n", error.what());
        return 1;
    }
    return 0;
}
