#include "poplarstream/runs/run_life_cycle.hpp"

#include <array>  // for array
#include <utility>  // for index_sequence
#include <vector>  // for vector

#include <boost/mpl/vector.hpp>  // for vector
#include <boost/msm/back/state_machine.hpp>  // for state_machine
#include <boost/msm/front/functor_row.hpp>  // for Row, none
#include <boost/msm/front/state_machine_def.hpp>  // for state_machine_def

namespace poplarstream {
namespace {

template <RunEvent>
struct On
{};

template <RunStage Value>
struct In : boost::msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event &, Machine &machine)  // NOLINT(readability-identifier-naming)
    {
        machine.stage = Value;
    }
};

template <RunStage From, RunEvent Event, RunStage To>
using Row = boost::msm::front::Row<In<From>, On<Event>, In<To>, boost::msm::front::none,
                                   boost::msm::front::none>;

using enum RunStage;
using E = RunEvent;

struct RunMachineDef : boost::msm::front::state_machine_def<RunMachineDef>
{
    using initial_state = In<Accepted>;  // NOLINT(readability-identifier-naming)

    // MPL vectors end at 20 rows, hence the two halves.
    // clang-format off
    using WaitingRows = boost::mpl::vector<
            Row<Accepted, E::Claim, Claimed>,
            Row<Accepted, E::Cancel, RunStage::Cancelled>,
            Row<Accepted, E::CancelOutstanding, Cancelling>,
            Row<Accepted, E::SetAside, RunStage::SetAside>,
            Row<Accepted, E::HandOver, HandedOver>,
            Row<Claimed, E::TakeOver, Claimed>,
            Row<Claimed, E::Start, Started>,
            Row<Claimed, E::Succeed, Finished>,
            Row<Claimed, E::Fail, Failed>,
            Row<Claimed, E::LoseTrack, MayHaveRun>,
            Row<Claimed, E::Release, Accepted>,
            Row<Claimed, E::CancelOutstanding, Cancelling>>;
    using RunningRows = boost::mpl::vector<
            Row<Started, E::TakeOver, Started>,
            Row<Started, E::Succeed, Finished>,
            Row<Started, E::Fail, Failed>,
            Row<Started, E::LoseTrack, MayHaveRun>,
            Row<Started, E::Release, Accepted>,
            Row<Started, E::CancelOutstanding, Cancelling>,
            Row<Cancelling, E::TakeOver, Cancelling>,
            Row<Cancelling, E::Start, Cancelling>,
            Row<Cancelling, E::Succeed, Finished>,
            Row<Cancelling, E::Fail, Failed>,
            Row<Cancelling, E::LoseTrack, MayHaveRun>,
            Row<Cancelling, E::Release, Cancelling>,
            Row<Cancelling, E::ConfirmCancel, RunStage::Cancelled>>;
    // clang-format on
    using transition_table =  // NOLINT(readability-identifier-naming)
            boost::mpl::insert_range<WaitingRows, boost::mpl::end<WaitingRows>::type,
                                     RunningRows>::type;

    template <class Machine, class Event>
    void no_transition(const Event &, Machine &, int)  // NOLINT(readability-identifier-naming)
    {
        isRefused = true;
    }

    RunStage stage = Accepted;
    bool isRefused = false;
};

using RunMachine = boost::msm::back::state_machine<RunMachineDef>;
using Table = std::array<std::array<std::optional<RunStage>, runEventCount>, runStageCount>;

template <std::size_t... Index>
void process(RunMachine &machine, RunEvent event, std::index_sequence<Index...>)
{
    ((event == static_cast<RunEvent>(Index)
      && (machine.process_event(On<static_cast<RunEvent>(Index)>{}), true))
     || ...);
}

// The stage after a sequence of events from Accepted, or nothing if one of them is not valid.
std::optional<RunStage> stageAfter(const std::vector<RunEvent> &events)
{
    RunMachine machine;
    machine.start();
    for (const RunEvent event : events) {
        process(machine, event, std::make_index_sequence<runEventCount>{});
    }
    return machine.isRefused ? std::nullopt : std::optional(machine.stage);
}

// Walks the machine breadth first, so that each reachable stage is entered by a valid path.
Table fillTable()
{
    Table table;
    std::vector<std::vector<RunEvent>> paths = {{}};
    std::array<bool, runStageCount> isSeen{};
    isSeen[static_cast<std::size_t>(Accepted)] = true;
    for (std::size_t i = 0; i < paths.size(); ++i) {
        const auto from = static_cast<std::size_t>(*stageAfter(paths[i]));
        for (std::size_t event = 0; event < runEventCount; ++event) {
            std::vector<RunEvent> path = paths[i];
            path.push_back(static_cast<RunEvent>(event));
            const std::optional<RunStage> to = stageAfter(path);
            table[from][event] = to;
            if (to && !isSeen[static_cast<std::size_t>(*to)]) {
                isSeen[static_cast<std::size_t>(*to)] = true;
                paths.push_back(std::move(path));
            }
        }
    }
    return table;
}

}  // namespace

std::optional<RunStage> next(RunStage stage, RunEvent event)
{
    static const Table table = fillTable();
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
