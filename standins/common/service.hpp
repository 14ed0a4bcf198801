#pragma once

#include <functional>  // for function
#include <string>  // for string

#include "poplarstream/adapters/http_server.hpp"  // for HttpServer, HttpEndpoint, HttpHandler
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace boost::asio {
class io_context;
}

namespace poplarstream::standins {

// Reads "ip:port", where port 0 picks a free one. Exits with status 2 for other texts.
HttpEndpoint listenAddress(const std::string &text);

// Opens a server and prints `listening NAME ip:port` on standard error. Throws std::runtime_error
// when the address cannot be bound.
HttpServer serve(boost::asio::io_context &io, const std::string &name, const HttpEndpoint &endpoint,
                 HttpHandler handler);

// Calls `action` once after `delay`.
void after(boost::asio::io_context &io, Milliseconds delay, std::function<void()> action);

// Runs until SIGTERM or SIGINT. `stopping` is called at the signal; run() returns when no work is
// left or after a second.
void runUntilSignal(boost::asio::io_context &io, const std::function<void()> &stopping);

// Milliseconds of the system clock since 1970.
std::int64_t systemMilliseconds();

// Milliseconds of a clock that never jumps.
std::int64_t steadyMilliseconds();

}  // namespace poplarstream::standins
