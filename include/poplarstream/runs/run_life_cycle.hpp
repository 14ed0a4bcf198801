#pragma once

#include <cstdint>  // for uint8_t
#include <optional>  // for optional
#include <string_view>  // for string_view

namespace poplarstream {

// Where a run is in its life. `Cancelling` is a run whose cancellation is granted while an attempt
// may still start or be running at a worker. The stages from `Finished` on are final.
enum class RunStage : std::uint8_t {
    Accepted,
    Claimed,
    Started,
    Cancelling,
    Finished,
    Failed,
    Cancelled,
    MayHaveRun,
    DeadLettered,
    HandedOver,
};
inline constexpr std::size_t runStageCount = 10;

// What can happen to a run. `CancelOutstanding` is a cancellation while an attempt is not settled,
// `ConfirmCancel` the settlement of the last such attempt.
enum class RunEvent : std::uint8_t {
    Claim,
    TakeOver,
    Start,
    Succeed,
    Fail,
    LoseTrack,
    Release,
    Cancel,
    CancelOutstanding,
    ConfirmCancel,
    DeadLetter,
    HandOver,
};
inline constexpr std::size_t runEventCount = 12;

// The stage after `event`, or nothing when the event is not valid in `stage`.
std::optional<RunStage> next(RunStage stage, RunEvent event);

constexpr bool isFinal(RunStage stage)
{
    return stage >= RunStage::Finished;
}

// The plain name of a stage, for `explain` and the status pages.
std::string_view stageText(RunStage stage);

}  // namespace poplarstream
