#include "poplarstream/node/duty_thread.hpp"

#include <exception>  // for exception
#include <optional>  // for optional
#include <thread>  // for thread

#include <boost/asio/executor_work_guard.hpp>  // for make_work_guard
#include <boost/asio/post.hpp>  // for post

#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for internalFault

namespace poplarstream {

struct DutyThread::Content
{
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard =
            boost::asio::make_work_guard(context);
    std::thread thread;
};

DutyThread::DutyThread(std::string name)
    : name_(std::move(name))
    , content_(std::make_unique<Content>())
{}

DutyThread::~DutyThread()
{
    stop();
}

boost::asio::io_context &DutyThread::context()
{
    return content_->context;
}

void DutyThread::start()
{
    content_->thread = std::thread([this] {
        while (!content_->context.stopped()) {
            guard([this] { content_->context.run(); });
        }
    });
}

void DutyThread::stop()
{
    content_->context.stop();
    if (content_->thread.joinable()) {
        content_->thread.join();
    }
}

void DutyThread::guard(const std::function<void()> &action)
{
    try {
        action();
    } catch (const std::exception &error) {
        logEvent(events::internalFault, {{"duty", name_}, {"fault", error.what()}});
    }
}

void DutyThread::post(std::function<void()> action)
{
    boost::asio::post(content_->context, std::move(action));
}

}  // namespace poplarstream
