#include "poplarstream/traffic/connection_cycle.hpp"

#include "poplarstream/base/life_cycle_table.hpp"  // for filledTable, Row

namespace poplarstream::traffic {

namespace {

using life_cycle::Row;
using S = ConnectionState;
using E = ConnectionEvent;

// clang-format off
using Rows = boost::mpl::vector<
        Row<S::Connecting, E::Connected, S::Idle>,
        Row<S::Connecting, E::Failed, S::Closed>,
        Row<S::Idle, E::RequestSent, S::Busy>,
        Row<S::Idle, E::ProbeSent, S::Probing>,
        Row<S::Idle, E::Failed, S::Closed>,
        Row<S::Busy, E::Answered, S::Idle>,
        Row<S::Busy, E::Overdue, S::Probing>,
        Row<S::Busy, E::Failed, S::Closed>,
        Row<S::Probing, E::Answered, S::Idle>,
        Row<S::Probing, E::Failed, S::Closed>>;
// clang-format on

}  // namespace

std::optional<ConnectionState> next(ConnectionState state, ConnectionEvent event)
{
    static const auto table = life_cycle::filledTable<S::Connecting, E, connectionStateCount,
                                                      connectionEventCount, Rows>();
    return table[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
}

}  // namespace poplarstream::traffic
