#pragma once

#include <cstdint>  // for int64_t
#include <functional>  // for function

#include <boost/asio/io_context.hpp>  // for io_context

#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/edge/load_meter.hpp"  // for LoadMeter
#include "poplarstream/edge/ports.hpp"  // for StorePort, WorkerPort, MachinePort, DecoderPort
#include "poplarstream/edge/settings.hpp"  // for Settings
#include "poplarstream/engine/job_events.hpp"  // for ClockReading
#include "poplarstream/telemetry/duration_histograms.hpp"  // for DurationHistograms

namespace poplarstream::edge {

// The time of a monotonic clock that also advances while the machine is suspended.
TimePoint steadyNow();

std::int64_t unixNowMs();

engine::ClockReading clockReadingNow();

// Shared by all parts of the process. One thread runs `io`.
struct Runtime
{
    boost::asio::io_context &io;
    Settings settings;
    StorePort store;
    WorkerPort workers;
    MachinePort machines;
    DecoderPort decode;
    DurationHistograms durations;  // served on the metrics address
    LoadMeter load;  // as above
};

// Runs the event loop until it is stopped. An exception of a callback ends that callback only: it
// is logged and passed to `failed`, and the loop goes on.
void runEventLoop(boost::asio::io_context &io, const std::function<void()> &failed);

// Calls `task` after `delay`.
void callAfter(Runtime &runtime, Milliseconds delay, std::function<void()> task);

}  // namespace poplarstream::edge
