#pragma once

#include <functional>  // for function
#include <string>  // for string

#include "poplarstream/adapters/http_server.hpp"  // for HttpServer, HttpEndpoint, HttpHandler
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace boost::asio {
class io_context;
}

namespace poplarstream::standins {

// Parses "ip:port", where port 0 selects a free port. Exits with status 2 if the text is invalid.
HttpEndpoint listenAddress(const std::string &text);

// Starts a server and prints `listening NAME ip:port` on standard error. Throws std::runtime_error
// when the address cannot be bound.
HttpServer startServer(boost::asio::io_context &io, const std::string &name,
                       const HttpEndpoint &endpoint, HttpHandler handler);

// Calls `action` once after `delay`.
void runAfter(boost::asio::io_context &io, Milliseconds delay, std::function<void()> action);

// Runs the event loop until SIGTERM or SIGINT, then calls `onSignal`. Returns once no work is left,
// at most one second after the signal.
void runUntilSignal(boost::asio::io_context &io, const std::function<void()> &onSignal);

// Milliseconds of the system clock since the Unix epoch.
std::int64_t systemMilliseconds();

// Milliseconds of the steady clock.
std::int64_t steadyMilliseconds();

}  // namespace poplarstream::standins
