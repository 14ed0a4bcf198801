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

// A call on a channel. `maySend` is called once the connection is open, right before the request is
// written.
struct ChannelCall
{
    HttpRequest request;
    std::function<bool()> maySend;
    HttpCallback done;
};

// One connection to a worker agent, which carries one call at a time in the order of call(). Unlike
// HttpClient, it checks a call again right before sending it: a process that was paused while the
// connection was being opened must not send an expired command afterwards.
class WorkerChannel
{
public:
    // `deadline` applies to each call and counts from call().
    WorkerChannel(boost::asio::io_context &io, HttpEndpoint endpoint, Milliseconds deadline);
    // Closes the connection. The callbacks of pending calls are not called.
    ~WorkerChannel();
    WorkerChannel(const WorkerChannel &) = delete;
    WorkerChannel &operator=(const WorkerChannel &) = delete;

    // Calls `done` once, never from within call(). A call that may no longer be sent completes with
    // NotSent and Cancelled.
    void call(ChannelCall call);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
