#include "poplarstream/edge/load_meter.hpp"

#include <string_view>  // for string_view

#include <fmt/format.h>  // for format

namespace poplarstream::edge {

namespace {

// In the order of OwnerWork.
constexpr std::array<std::string_view, ownerWorkKinds> names = {
        "plan",      "health", "jobs", "polls",    "send",
        "responses", "encode", "feed", "machines", "lookups"};

// In the order of WorkerCallEnd.
constexpr std::array<std::string_view, workerCallEnds> callNames = {
        "ends", "idle", "progress", "prompt", "unanswered", "starts", "stops"};

double seconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::string LoadMeter::prometheusText() const
{
    std::string text;
    for (std::size_t i = 0; i < ownerWorkKinds; ++i) {
        text += fmt::format("poplar_owner_work_seconds_total{{work=\"{}\"}} {:.6f}\n"
                            "poplar_owner_work_total{{work=\"{}\"}} {}\n",
                            names[i], seconds(spent_[i]), names[i], counts_[i]);
    }
    for (std::size_t i = 0; i < workerCallEnds; ++i) {
        text += fmt::format("poplar_owner_calls_total{{end=\"{}\"}} {}\n", callNames[i], calls_[i]);
    }
    return text;
}

std::string LoadMeter::takeSummary()
{
    std::string text;
    for (std::size_t i = 0; i < ownerWorkKinds; ++i) {
        text += fmt::format("{}{}={:.1f}/{}", i == 0 ? "" : " ", names[i],
                            seconds(spent_[i] - spentBefore_[i]) * 1000,
                            counts_[i] - countsBefore_[i]);
    }
    spentBefore_ = spent_;
    countsBefore_ = counts_;
    return text;
}

std::string LoadMeter::takeCalls()
{
    std::string text;
    for (std::size_t i = 0; i < workerCallEnds; ++i) {
        text += fmt::format("{}{}={}", i == 0 ? "" : " ", callNames[i],
                            calls_[i] - callsBefore_[i]);
    }
    callsBefore_ = calls_;
    return text;
}

}  // namespace poplarstream::edge
