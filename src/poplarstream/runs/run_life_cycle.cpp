#include "poplarstream/runs/run_life_cycle.hpp"

#include <array>  // for array

#include "poplarstream/base/life_cycle_table.hpp"  // for filledTable, Row

namespace poplarstream {
namespace {

using life_cycle::Row;
using enum RunStage;
using E = RunEvent;

// MPL vectors are limited to 20 elements, hence the two parts.
// clang-format off
using WaitingRows = boost::mpl::vector<
        Row<Accepted, E::Claim, Claimed>,
        Row<Accepted, E::Cancel, RunStage::Cancelled>,
        Row<Accepted, E::CancelOutstanding, Cancelling>,
        Row<Accepted, E::DeadLetter, RunStage::DeadLettered>,
        Row<Accepted, E::HandOver, HandedOver>,
        Row<Claimed, E::TakeOver, Claimed>,
        Row<Claimed, E::Start, Started>,
        Row<Claimed, E::Succeed, Finished>,
        Row<Claimed, E::Fail, Failed>,
        Row<Claimed, E::LoseOutcome, MayHaveRun>,
        Row<Claimed, E::Release, Accepted>,
        Row<Claimed, E::CancelOutstanding, Cancelling>>;
using RunningRows = boost::mpl::vector<
        Row<Started, E::TakeOver, Started>,
        Row<Started, E::Succeed, Finished>,
        Row<Started, E::Fail, Failed>,
        Row<Started, E::LoseOutcome, MayHaveRun>,
        Row<Started, E::Release, Accepted>,
        Row<Started, E::CancelOutstanding, Cancelling>,
        Row<Cancelling, E::TakeOver, Cancelling>,
        Row<Cancelling, E::Start, Cancelling>,
        Row<Cancelling, E::Succeed, Finished>,
        Row<Cancelling, E::Fail, Failed>,
        Row<Cancelling, E::LoseOutcome, MayHaveRun>,
        Row<Cancelling, E::Release, Cancelling>,
        Row<Cancelling, E::ConfirmCancel, RunStage::Cancelled>>;
// clang-format on
using Rows = boost::mpl::insert_range<WaitingRows, boost::mpl::end<WaitingRows>::type,
                                      RunningRows>::type;

}  // namespace

std::optional<RunStage> next(RunStage stage, RunEvent event)
{
    static const auto table =
            life_cycle::filledTable<Accepted, E, runStageCount, runEventCount, Rows>();
    return table[static_cast<std::size_t>(stage)][static_cast<std::size_t>(event)];
}

std::string_view stageText(RunStage stage)
{
    constexpr std::array<std::string_view, runStageCount> texts = {
            "waiting", "claimed",   "started",      "being cancelled", "finished",
            "failed",  "cancelled", "may have run", "set aside",       "handed over",
    };
    return texts[static_cast<std::size_t>(stage)];
}

}  // namespace poplarstream
