#pragma once

#include <cstdint>  // for uint8_t
#include <optional>  // for optional
#include <string_view>  // for string_view

namespace poplarstream {

// The stage of a run. `Cancelling`: the cancellation is granted, but an attempt may still start or
// run on a worker. The stages from `Finished` on are final.
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

// The events of a run. `LoseOutcome`: it ended without it being known whether it ran.
// `CancelOutstanding`: it is cancelled while an attempt is outstanding. `ConfirmCancel`: the last
// outstanding attempt of a cancelled run is settled.
enum class RunEvent : std::uint8_t {
    Claim,
    TakeOver,
    Start,
    Succeed,
    Fail,
    LoseOutcome,
    Release,
    Cancel,
    CancelOutstanding,
    ConfirmCancel,
    DeadLetter,
    HandOver,
};
inline constexpr std::size_t runEventCount = 12;

// Returns the stage after `event`, or nullopt if the event is not valid in `stage`.
std::optional<RunStage> next(RunStage stage, RunEvent event);

constexpr bool isFinal(RunStage stage)
{
    return stage >= RunStage::Finished;
}

// The display name of a stage, for `explain` and the status pages.
std::string_view stageText(RunStage stage);

}  // namespace poplarstream
