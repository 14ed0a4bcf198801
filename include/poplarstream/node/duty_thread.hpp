#pragma once

#include <functional>  // for function
#include <memory>  // for unique_ptr
#include <string>  // for string

#include <boost/asio/io_context.hpp>  // for io_context

namespace poplarstream {

// The thread of one duty of an entry host. Runs an io_context.
//
// An exception that escapes a handler is logged as an internal-fault event, and the thread
// continues with the next handler, so that an error in one connection or call never ends the
// process.
class DutyThread
{
public:
    explicit DutyThread(std::string name);
    // Stops the io_context and joins the thread.
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    boost::asio::io_context &context();
    const std::string &name() const { return name_; }

    // Starts the thread. Handlers that were posted before run first.
    void start();

    // Stops the io_context without waiting for pending handlers, and joins the thread.
    void stop();

    // Runs `action` on the calling thread and logs an escaping exception as an internal-fault
    // event.
    void guard(const std::function<void()> &action);

    // Queues `action` to run on the thread after the handlers that are already queued.
    void post(std::function<void()> action);

private:
    struct Content;
    std::string name_;
    std::unique_ptr<Content> content_;
};

}  // namespace poplarstream
