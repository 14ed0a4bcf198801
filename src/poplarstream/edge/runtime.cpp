#include "poplarstream/edge/runtime.hpp"

#include <chrono>  // for system_clock
#include <ctime>  // for clock_gettime, CLOCK_BOOTTIME
#include <exception>  // for exception
#include <memory>  // for make_shared

#include <boost/asio/steady_timer.hpp>  // for steady_timer

#include "poplarstream/telemetry/event_kinds.hpp"  // for callbackFailed

namespace poplarstream::edge {

TimePoint steadyNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return timePoint(time.tv_sec * 1000 + time.tv_nsec / 1'000'000);
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
