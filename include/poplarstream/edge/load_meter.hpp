#pragma once

#include <array>  // for array
#include <chrono>  // for steady_clock, nanoseconds
#include <cstdint>  // for uint64_t
#include <string>  // for string

namespace poplarstream::edge {

// What an owner spends its time on.
enum class OwnerWork {
    Plan,
    Health,  // search for stalled tasks
    Jobs,  // due occurrences and old jobs
    Polls,  // which workers to poll
    Send,  // commands to workers
    Responses,  // of workers
    Encode,  // progress to be stored
    Feed,  // submissions and cancellations
    Machines,
    Lookups,  // for other entry hosts
};
inline constexpr std::size_t ownerWorkKinds = 10;

// What a command to a worker led to.
enum class WorkerCallEnd {
    Ends,  // a poll that reported ends of tasks
    Idle,  // a long poll without any
    Progress,  // a shorter poll without any, for the progress of a starting task
    Prompt,  // a poll without any that did not wait
    Unanswered,  // a poll without a usable response
    Start,  // any outcome of a start command
    Stop,  // any outcome of a stop command
};
inline constexpr std::size_t workerCallEnds = 7;

// Adds up the elapsed time of each kind of work, and counts the calls to workers.
class LoadMeter
{
public:
    // Measures until its destruction.
    class Section
    {
    public:
        Section(LoadMeter &meter, OwnerWork work)
            : meter_(meter)
            , work_(static_cast<std::size_t>(work))
        {}
        Section(const Section &) = delete;
        Section &operator=(const Section &) = delete;
        ~Section()
        {
            meter_.spent_[work_] += std::chrono::steady_clock::now() - begunAt_;
            ++meter_.counts_[work_];
        }

    private:
        LoadMeter &meter_;
        std::size_t work_;
        std::chrono::steady_clock::time_point begunAt_ = std::chrono::steady_clock::now();
    };

    void count(WorkerCallEnd end) { ++calls_[static_cast<std::size_t>(end)]; }

    // Counters in the Prometheus text format.
    std::string prometheusText() const;
    // For the log: milliseconds and number of each kind since the last call.
    std::string takeSummary();
    // For the log: number of calls to workers by what they led to, since the last call.
    std::string takeCalls();

private:
    std::array<std::chrono::nanoseconds, ownerWorkKinds> spent_{};
    std::array<std::uint64_t, ownerWorkKinds> counts_{};
    std::array<std::chrono::nanoseconds, ownerWorkKinds> spentBefore_{};
    std::array<std::uint64_t, ownerWorkKinds> countsBefore_{};
    std::array<std::uint64_t, workerCallEnds> calls_{};
    std::array<std::uint64_t, workerCallEnds> callsBefore_{};
};

}  // namespace poplarstream::edge
