#include <cstdio>  // for stderr
#include <exception>  // for exception

#include <boost/asio/io_context.hpp>  // for io_context
#include <fmt/format.h>  // for print

#include "common/command_line.hpp"  // for parseCommandLine, numberOption
#include "common/document.hpp"  // for readDocument, sectionsOf
#include "common/service.hpp"  // for startServer, listenAddress, runUntilSignal
#include "platform/platform.hpp"  // for Platform

namespace poplarstream::standins {

namespace {

void run(const Options &options)
{
    boost::asio::io_context io(1);
    Platform platform(io, {listenAddress(options.at("listen")),
                           static_cast<std::size_t>(numberOption(options, "retention")),
                           static_cast<std::int64_t>(numberOption(options, "host-lag-ms")),
                           numberOption(options, "appends-per-second"),
                           static_cast<std::uint64_t>(numberOption(options, "seed")),
                           options.at("history")});
    if (!options.at("document").empty()) {
        for (const Section &host : sectionsOf(readDocument(options.at("document")), "host")) {
            platform.changeHost(host.name, "live");
        }
    }
    std::optional<HttpServer> control(
            startServer(io, "control", listenAddress(options.at("control")),
                        [&platform](const HttpRequest &request, const HttpRespond &respond) {
                            respond(platform.handleControl(request));
                        }));
    runUntilSignal(io, [&] {
        platform.shutdown();
        control.reset();
    });
}

}  // namespace

}  // namespace poplarstream::standins

int main(int argc, char **argv)
{
    using namespace poplarstream::standins;
    const Options options = parseCommandLine(
            argc, argv, "Plays the platform: log streams in memory and a lagging list of hosts.",
            {{"listen", "127.0.0.1:0", "address of the log and host list"},
             {"control", "127.0.0.1:0", "address of the endpoint that sets faults"},
             {"document", "-", "configuration whose hosts are live at the start"},
             {"retention", "0", "records that a stream keeps; 0 keeps all"},
             {"host-lag-ms", "5000", "delay of changes of the host list"},
             {"appends-per-second", "0", "limit of the log; 0 for none"},
             {"history", "-", "file to which every append is written as a JSON line"},
             {"seed", "1", "seed of the faults"}});
    try {
        run(options);
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-platform: {}\n", error.what());
        return 1;
    }
    return 0;
}
