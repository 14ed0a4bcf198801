#include "poplarstream/edge/runtime.hpp"

#include <chrono>  // for system_clock
#include <exception>  // for exception
#include <memory>  // for make_shared

#include <boost/asio/steady_timer.hpp>  // for steady_timer

#include "poplarstream/base/boot_clock.hpp"  // for bootTime
#include "poplarstream/telemetry/event_kinds.hpp"  // for callbackFailed

namespace poplarstream::edge {

TimePoint steadyNow()
{
    return bootTime();
}

std::int64_t unixNowMs()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(since).count();
}

engine::ClockReading clockReadingNow()
{
    return {steadyNow(), unixNowMs()};
}

void runEventLoop(boost::asio::io_context &io, const std::function<void()> &failed)
{
    bool isRunning = true;
    while (isRunning) {
        try {
            io.run();
            isRunning = false;
        } catch (const std::exception &error) {
            logEvent(events::callbackFailed, {{"error", error.what()}});
            failed();
        }
    }
}

void callAfter(Runtime &runtime, Milliseconds delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(runtime.io, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error) {
            task();
        }
    });
}

}  // namespace poplarstream::edge
