#include "poplarstream/node/process_life_cycle.hpp"

#include "poplarstream/base/life_cycle_table.hpp"  // for filledTable, Row

namespace poplarstream {
namespace {

using life_cycle::Row;
using S = ProcessState;
using E = ProcessEvent;

// clang-format off
using Rows = boost::mpl::vector<
        Row<S::Starting, E::Published, S::Ready>,
        Row<S::Starting, E::Leave, S::Leaving>,
        Row<S::Ready, E::Leave, S::Leaving>,
        Row<S::Leaving, E::Left, S::Stopped>>;
// clang-format on

}  // namespace

std::optional<ProcessState> next(ProcessState state, ProcessEvent event)
{
    static const auto table =
            life_cycle::filledTable<S::Starting, E, processStateCount, processEventCount, Rows>();
    return table[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
}

}  // namespace poplarstream
