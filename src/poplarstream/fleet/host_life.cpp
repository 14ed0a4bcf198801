#include "poplarstream/fleet/host_life.hpp"

#include <array>  // for array

// The machine has 14 rows; the default of MPL is enough for 20.
#include <boost/msm/back/state_machine.hpp>  // for state_machine
#include <boost/msm/front/functor_row.hpp>  // for Row
#include <boost/msm/front/state_machine_def.hpp>  // for state_machine_def

namespace poplarstream {
namespace {

namespace msm = boost::msm;

template <HostEvent Kind>
struct On
{};

template <HostState Kind>
struct In : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event & /*event*/, Machine &machine)
    {
        machine.entered = Kind;
    }
};

// The life cycle, started in `Initial` so that each row of the lookup table needs one event only.
template <class Initial>
struct LifeDefinition : msm::front::state_machine_def<LifeDefinition<Initial>>
{
    using initial_state = Initial;
    template <class Source, HostEvent Event, class Target>
    using Row = msm::front::Row<Source, On<Event>, Target>;

    using Service = In<HostState::InService>;
    using Draining = In<HostState::Draining>;
    using Away = In<HostState::Away>;
    using Returning = In<HostState::Returning>;
    using Failed = In<HostState::Failed>;

    // Boost.MSM demands the names transition_table and no_transition.
    struct transition_table  // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<
                  Row<Service, HostEvent::Granted, Draining>,
                  Row<Service, HostEvent::Failed, Failed>, Row<Draining, HostEvent::Drained, Away>,
                  Row<Draining, HostEvent::Left, Away>,
                  Row<Draining, HostEvent::Abandoned, Returning>,
                  Row<Draining, HostEvent::Failed, Failed>, Row<Away, HostEvent::Left, Away>,
                  Row<Away, HostEvent::CameBack, Returning>,
                  Row<Away, HostEvent::Abandoned, Returning>, Row<Away, HostEvent::Failed, Failed>,
                  Row<Returning, HostEvent::Returned, Service>,
                  Row<Returning, HostEvent::Failed, Failed>,
                  Row<Failed, HostEvent::Recovered, Service>,
                  Row<Failed, HostEvent::RecoveredAway, Returning>>
    {};

    template <class Event, class Machine>
    // NOLINTNEXTLINE(readability-identifier-naming)
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
        isRefused = true;
    }

    HostState entered = HostState::InService;
    bool isRefused = false;
};

using Cell = std::optional<HostState>;
using Table = std::array<std::array<Cell, hostEventCount>, hostStateCount>;

template <HostState From, HostEvent Event>
void fillCell(Table &table)
{
    msm::back::state_machine<LifeDefinition<In<From>>> machine;
    machine.start();
    machine.process_event(On<Event>{});
    table[static_cast<std::size_t>(From)][static_cast<std::size_t>(Event)] =
            machine.isRefused ? Cell{} : Cell{machine.entered};
}

template <HostState From>
void fillRow(Table &table)
{
    fillCell<From, HostEvent::Granted>(table);
    fillCell<From, HostEvent::Drained>(table);
    fillCell<From, HostEvent::Left>(table);
    fillCell<From, HostEvent::CameBack>(table);
    fillCell<From, HostEvent::Returned>(table);
    fillCell<From, HostEvent::Abandoned>(table);
    fillCell<From, HostEvent::Failed>(table);
    fillCell<From, HostEvent::Recovered>(table);
    fillCell<From, HostEvent::RecoveredAway>(table);
}

Table filledTable()
{
    Table table;
    fillRow<HostState::InService>(table);
    fillRow<HostState::Draining>(table);
    fillRow<HostState::Away>(table);
    fillRow<HostState::Returning>(table);
    fillRow<HostState::Failed>(table);
    return table;
}

}  // namespace

std::optional<HostState> next(HostState state, HostEvent event)
{
    static const Table table = filledTable();
    return table[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
}

std::string_view hostStateText(HostState state)
{
    constexpr std::array<std::string_view, hostStateCount> texts = {"in service", "draining",
                                                                    "away", "returning", "failed"};
    return texts[static_cast<std::size_t>(state)];
}

}  // namespace poplarstream
