#pragma once

#include <array>  // for array
#include <cstddef>  // for size_t
#include <optional>  // for optional
#include <utility>  // for index_sequence, move
#include <vector>  // for vector

#include <boost/mpl/vector.hpp>  // for vector
#include <boost/msm/back/state_machine.hpp>  // for state_machine
#include <boost/msm/front/functor_row.hpp>  // for Row
#include <boost/msm/front/state_machine_def.hpp>  // for state_machine_def

// Builds the transition table of a life cycle from a Boost.MSM state machine. Include only in .cpp
// files, since this header adds seconds to the compile time.
namespace poplarstream::life_cycle {

template <auto Event>
struct On
{};

template <auto State>
struct In : boost::msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event & /*event*/, Machine &machine)
    {
        machine.entered = State;
    }
};

template <auto From, auto Event, auto To>
using Row = boost::msm::front::Row<In<From>, On<Event>, In<To>>;

// `Rows` is an MPL sequence of `Row`. Boost.MSM requires these names of types and functions.
template <auto Initial, class Rows>
struct Definition : boost::msm::front::state_machine_def<Definition<Initial, Rows>>
{
    using initial_state = In<Initial>;  // NOLINT(readability-identifier-naming)
    using transition_table = Rows;  // NOLINT(readability-identifier-naming)

    template <class Event, class Machine>
    // NOLINTNEXTLINE(readability-identifier-naming)
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/)
    {
        isRefused = true;
    }

    decltype(Initial) entered = Initial;
    bool isRefused = false;
};

// The state after each event in each state; empty if the event is not valid in the state.
template <class State, std::size_t stateCount, std::size_t eventCount>
using Table = std::array<std::array<std::optional<State>, eventCount>, stateCount>;

template <class Event, class Machine, std::size_t... Index>
void process(Machine &machine, std::size_t event, std::index_sequence<Index...> /*events*/)
{
    const auto processIf = [&]<std::size_t Candidate>() {
        if (event == Candidate) {
            machine.process_event(On<static_cast<Event>(Candidate)>{});
        }
    };
    (processIf.template operator()<Index>(), ...);
}

// The state after a sequence of events from the initial state; empty if an event is not valid.
template <auto Initial, class Event, std::size_t eventCount, class Rows>
std::optional<decltype(Initial)> stateAfter(const std::vector<std::size_t> &events)
{
    boost::msm::back::state_machine<Definition<Initial, Rows>> machine;
    machine.start();
    for (const std::size_t event : events) {
        process<Event>(machine, event, std::make_index_sequence<eventCount>{});
    }
    return machine.isRefused ? std::nullopt : std::optional(machine.entered);
}

// Explores the machine breadth first. Each state is thereby reached through valid events, so a
// single machine type suffices. Every state must be reachable from `Initial`.
template <auto Initial, class Event, std::size_t stateCount, std::size_t eventCount, class Rows>
Table<decltype(Initial), stateCount, eventCount> filledTable()
{
    const auto after = stateAfter<Initial, Event, eventCount, Rows>;
    Table<decltype(Initial), stateCount, eventCount> table;
    std::vector<std::vector<std::size_t>> paths = {{}};
    std::array<bool, stateCount> isSeen{};
    isSeen[static_cast<std::size_t>(Initial)] = true;
    for (std::size_t i = 0; i < paths.size(); ++i) {
        const auto from = static_cast<std::size_t>(*after(paths[i]));
        for (std::size_t event = 0; event < eventCount; ++event) {
            std::vector<std::size_t> path = paths[i];
            path.push_back(event);
            const auto to = after(path);
            table[from][event] = to;
            if (to && !isSeen[static_cast<std::size_t>(*to)]) {
                isSeen[static_cast<std::size_t>(*to)] = true;
                paths.push_back(std::move(path));
            }
        }
    }
    return table;
}

}  // namespace poplarstream::life_cycle
