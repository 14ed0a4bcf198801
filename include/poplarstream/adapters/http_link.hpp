#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/adapters/http_client.hpp"  // for HttpClientLimits, HttpOutcome
#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint, HttpRequest

namespace boost::asio {
class io_context;
}

namespace poplarstream {

// Connection events of a link. Not called after HttpLink::close(), nor from within a member
// function of the link.
struct HttpLinkEvents
{
    std::function<void()> connected;
    // The connection could not be opened, or was closed while it carried no request.
    std::function<void()> lost;
};

// One connection managed by the caller, unlike those in the pool of HttpClient: the caller opens
// it, sends one request at a time, and closes it. Only connecting has a timeout.
class HttpLink
{
public:
    // Starts to connect.
    HttpLink(boost::asio::io_context &io, const HttpEndpoint &endpoint,
             const HttpClientLimits &limits, HttpLinkEvents events);
    HttpLink(const HttpLink &) = delete;
    HttpLink &operator=(const HttpLink &) = delete;
    ~HttpLink();

    // Sends a request on the connected, idle link. `callback` is called exactly once, not from
    // within send(), unless close() comes first. If the peer has closed the connection,
    // nothing is written and the outcome is NotSent. Any outcome but Answered ends the link. So
    // does a response that closes the connection, after which `lost` is called.
    void send(HttpRequest request, HttpCallback callback);

    // Closes immediately; no callback runs afterwards.
    void close();

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
