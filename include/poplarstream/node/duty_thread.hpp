#pragma once

#include <functional>  // for function
#include <memory>  // for unique_ptr
#include <string>  // for string

#include <boost/asio/io_context.hpp>  // for io_context

namespace poplarstream {

// One duty of an entry host: a thread that runs an io_context.
//
// An exception that a handler lets escape is written as an internal-fault event, and the duty goes
// on with the next handler, so that a fault in one connection or call never ends the process.
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

    // Starts the thread. Handlers posted before run first.
    void start();

    // Stops the io_context without waiting for pending handlers, and joins the thread.
    void stop();

    // Runs `action` here and now; an exception that it lets escape becomes an internal-fault event.
    void guard(const std::function<void()> &action);

    // Runs `action` on the thread after the handlers that are already waiting.
    void post(std::function<void()> action);

private:
    struct Content;
    std::string name_;
    std::unique_ptr<Content> content_;
};

}  // namespace poplarstream
