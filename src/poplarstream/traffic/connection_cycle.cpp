#include "poplarstream/traffic/connection_cycle.hpp"

#include <array>  // for array

#include <boost/mpl/vector.hpp>  // for mpl::vector
#include <boost/msm/back/state_machine.hpp>  // for state_machine
#include <boost/msm/front/functor_row.hpp>  // for Row, none
#include <boost/msm/front/state_machine_def.hpp>  // for state_machine_def

namespace poplarstream::traffic {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

template <ConnectionState>
struct In : msm::front::state<>
{};
template <ConnectionEvent>
struct On
{};

using S = ConnectionState;
using E = ConnectionEvent;

struct ConnectionDef : msm::front::state_machine_def<ConnectionDef>
{
    using initial_state = In<S::Connecting>;
    // clang-format off
    // MSM demands the name. NOLINTNEXTLINE(readability-identifier-naming)
    struct transition_table : mpl::vector<
        Row<In<S::Connecting>, On<E::Connected>,   In<S::Idle>,    none, none>,
        Row<In<S::Connecting>, On<E::Failed>,      In<S::Closed>,  none, none>,
        Row<In<S::Idle>,       On<E::RequestSent>, In<S::Busy>,    none, none>,
        Row<In<S::Idle>,       On<E::ProbeSent>,   In<S::Probing>, none, none>,
        Row<In<S::Idle>,       On<E::Failed>,      In<S::Closed>,  none, none>,
        Row<In<S::Busy>,       On<E::Answered>,    In<S::Idle>,    none, none>,
        Row<In<S::Busy>,       On<E::Overdue>,     In<S::Probing>, none, none>,
        Row<In<S::Busy>,       On<E::Failed>,      In<S::Closed>,  none, none>,
        Row<In<S::Probing>,    On<E::Answered>,    In<S::Idle>,    none, none>,
        Row<In<S::Probing>,    On<E::Failed>,      In<S::Closed>,  none, none>
    > {};
    // clang-format on

    template <class Event, class Machine>
    void no_transition(const Event &, Machine &, int)
    {}
};

using Machine = msm::back::state_machine<ConnectionDef>;

constexpr std::size_t stateCount = 5;
constexpr std::size_t eventCount = 6;
using Table = std::array<std::array<std::optional<S>, eventCount>, stateCount>;

// The paths that lead a new machine into each state.
template <S state>
void lead(Machine &machine)
{
    machine.start();
    if constexpr (state == S::Connecting) {
        return;
    } else if constexpr (state == S::Closed) {
        machine.process_event(On<E::Failed>{});
    } else {
        machine.process_event(On<E::Connected>{});
        if constexpr (state == S::Busy) {
            machine.process_event(On<E::RequestSent>{});
        } else if constexpr (state == S::Probing) {
            machine.process_event(On<E::ProbeSent>{});
        }
    }
}

// The ids that MSM gives to states depend on the order of the table; they are learned by leading a
// machine into each state.
std::array<int, stateCount> machineIds()
{
    std::array<int, stateCount> ids{};
    const auto learn = [&]<S state>() {
        Machine machine;
        lead<state>(machine);
        ids[static_cast<std::size_t>(state)] = machine.current_state()[0];
    };
    learn.operator()<S::Connecting>();
    learn.operator()<S::Idle>();
    learn.operator()<S::Busy>();
    learn.operator()<S::Probing>();
    learn.operator()<S::Closed>();
    return ids;
}

template <S state, E event>
void fillCell(Table &table, const std::array<int, stateCount> &ids)
{
    Machine machine;
    lead<state>(machine);
    if (machine.process_event(On<event>{}) != msm::back::HANDLED_TRUE) {
        return;
    }
    for (std::size_t i = 0; i < stateCount; ++i) {
        if (ids[i] == machine.current_state()[0]) {
            table[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)] =
                    static_cast<S>(i);
        }
    }
}

template <S state>
void fillRow(Table &table, const std::array<int, stateCount> &ids)
{
    fillCell<state, E::Connected>(table, ids);
    fillCell<state, E::RequestSent>(table, ids);
    fillCell<state, E::Answered>(table, ids);
    fillCell<state, E::ProbeSent>(table, ids);
    fillCell<state, E::Overdue>(table, ids);
    fillCell<state, E::Failed>(table, ids);
}

Table filledTable()
{
    Table table{};
    const auto ids = machineIds();
    fillRow<S::Connecting>(table, ids);
    fillRow<S::Idle>(table, ids);
    fillRow<S::Busy>(table, ids);
    fillRow<S::Probing>(table, ids);
    fillRow<S::Closed>(table, ids);
    return table;
}

}  // namespace

std::optional<ConnectionState> next(ConnectionState state, ConnectionEvent event)
{
    static const Table table = filledTable();
    return table[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
}

}  // namespace poplarstream::traffic
