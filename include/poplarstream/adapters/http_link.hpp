#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/adapters/http_client.hpp"  // for HttpClientLimits, HttpOutcome
#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint, HttpRequest

namespace boost::asio {
class io_context;
}

namespace poplarstream {

// What happens on a link outside of send(). Neither is called after HttpLink::close() or from
// within a call of the link.
struct HttpLinkEvents
{
    std::function<void()> connected;
    // The connection could not be opened, or ended while it carried no request.
    std::function<void()> lost;
};

// One connection whose use is decided by the caller, in contrast to the pool of HttpClient: the
// caller opens it, sends one request at a time, and closes it. It has no deadlines of its own but
// for connecting.
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
    // within send(), unless close() comes first. A connection that the other end has closed is
    // found before anything is written; the outcome is then NotSent. Any outcome but Answered ends
    // the link, as does an answer that closes the connection, after which `lost` is called.
    void send(HttpRequest request, HttpCallback callback);

    // Closes at once; nothing is called afterwards.
    void close();

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
