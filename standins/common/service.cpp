#include "common/service.hpp"

#include <chrono>  // for system_clock, steady_clock
#include <csignal>  // for SIGTERM, SIGINT
#include <cstdio>  // for stderr
#include <cstdlib>  // for exit
#include <memory>  // for make_shared
#include <stdexcept>  // for runtime_error

#include <boost/asio/io_context.hpp>  // for io_context
#include <boost/asio/signal_set.hpp>  // for signal_set
#include <boost/asio/steady_timer.hpp>  // for steady_timer
#include <fmt/format.h>  // for print

namespace poplarstream::standins {

namespace asio = boost::asio;

HttpEndpoint listenAddress(const std::string &text)
{
    if (const auto endpoint = endpointFromText(text)) {
        return *endpoint;
    }
    if (text.size() > 2 && text.ends_with(":0")) {
        return {text.substr(0, text.size() - 2), 0};
    }
    fmt::print(stderr, "'{}' is not ip:port\n", text);
    std::exit(2);
}

HttpServer startServer(asio::io_context &io, const std::string &name, const HttpEndpoint &endpoint,
                       HttpHandler handler)
{
    Result<HttpServer> server = HttpServer::listen(io, endpoint, std::move(handler));
    if (!server) {
        throw std::runtime_error(server.failure().message);
    }
    fmt::print(stderr, "listening {} {}\n", name,
               endpointText({endpoint.address, server.value().port()}));
    return std::move(server).value();
}

void runAfter(asio::io_context &io, Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) {
            action();
        }
    });
}

void runUntilSignal(asio::io_context &io, const std::function<void()> &onSignal)
{
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (!error) {
            onSignal();
            runAfter(io, Milliseconds{1000}, [&io] { io.stop(); });
        }
    });
    io.run();
}

std::int64_t systemMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

}  // namespace poplarstream::standins
