#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/adapters/http_client.hpp"  // for HttpCallback
#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint, HttpRequest
#include "poplarstream/base/time.hpp"  // for Milliseconds

namespace boost::asio {
class io_context;
}

namespace poplarstream {

// A call on a channel. `maySend` is asked when the connection is open, right before the request is
// written.
struct ChannelCall
{
    HttpRequest request;
    std::function<bool()> maySend;
    HttpCallback done;
};

// One connection to a worker agent, which carries one call after the other in the order in which
// they were made. In contrast to HttpClient, a call that waited for the connection is checked again
// before it is sent: a process that was paused while it connected must not send a command
// afterwards.
class WorkerChannel
{
public:
    // `deadline` is for each call, from call() on.
    WorkerChannel(boost::asio::io_context &io, HttpEndpoint endpoint, Milliseconds deadline);
    // Closes the connection; pending calls end without a callback.
    ~WorkerChannel();
    WorkerChannel(const WorkerChannel &) = delete;
    WorkerChannel &operator=(const WorkerChannel &) = delete;

    // Calls `done` once, not from within call(). A call that must not be sent any more ends as
    // NotSent and Cancelled.
    void call(ChannelCall call);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
