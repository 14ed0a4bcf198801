#include "poplarstream/fleet/host_life_cycle.hpp"

#include <array>  // for array

#include "poplarstream/base/life_cycle_table.hpp"  // for filledTable, Row

namespace poplarstream {
namespace {

using life_cycle::Row;
using S = HostState;
using E = HostEvent;

// clang-format off
using Rows = boost::mpl::vector<
        Row<S::InService, E::Granted, S::Draining>,
        Row<S::InService, E::Failed, S::Failed>,
        Row<S::Draining, E::Drained, S::Away>,
        Row<S::Draining, E::Left, S::Away>,
        Row<S::Draining, E::Abandoned, S::Returning>,
        Row<S::Draining, E::Failed, S::Failed>,
        Row<S::Away, E::Left, S::Away>,
        Row<S::Away, E::CameBack, S::Returning>,
        Row<S::Away, E::Abandoned, S::Returning>,
        Row<S::Away, E::Failed, S::Failed>,
        Row<S::Returning, E::Returned, S::InService>,
        Row<S::Returning, E::Failed, S::Failed>,
        Row<S::Failed, E::Recovered, S::InService>,
        Row<S::Failed, E::RecoveredAway, S::Returning>>;
// clang-format on

}  // namespace

std::optional<HostState> next(HostState state, HostEvent event)
{
    static const auto table =
            life_cycle::filledTable<S::InService, E, hostStateCount, hostEventCount, Rows>();
    return table[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
}

std::string_view hostStateText(HostState state)
{
    constexpr std::array<std::string_view, hostStateCount> texts = {"in service", "draining",
                                                                    "away", "returning", "failed"};
    return texts[static_cast<std::size_t>(state)];
}

}  // namespace poplarstream
