#include <array>  // for array
#include <fstream>  // for ifstream
#include <sstream>  // for ostringstream

#include <gtest/gtest.h>  // for TEST, EXPECT_NE

#include "poplarstream/fleet/host_life_cycle.hpp"  // for HostState, HostEvent
#include "poplarstream/node/process_life_cycle.hpp"  // for ProcessState, ProcessEvent
#include "poplarstream/runs/run_life_cycle.hpp"  // for RunStage, RunEvent
#include "poplarstream/traffic/connection_cycle.hpp"  // for ConnectionState, ConnectionEvent

namespace poplarstream {
namespace {

// The name of an enumerator as the compiler prints it, so that there is no list of names to
// maintain.
template <auto Value>
std::string enumeratorName()
{
    const std::string text = __PRETTY_FUNCTION__;
    const std::size_t end = text.find_first_of(";]", text.find("Value = "));
    const std::size_t begin = text.rfind("::", end) + 2;
    return text.substr(begin, end - begin);
}

template <class Enum, std::size_t... Index>
std::array<std::string, sizeof...(Index)> namesOf(std::index_sequence<Index...> /*values*/)
{
    return {enumeratorName<static_cast<Enum>(Index)>()...};
}

template <class State, class Event, std::size_t stateCount, std::size_t eventCount>
std::string lifeCycleMarkdown()
{
    const auto states = namesOf<State>(std::make_index_sequence<stateCount>{});
    const auto events = namesOf<Event>(std::make_index_sequence<eventCount>{});
    std::string table = "| state | event | next state |\n|---|---|---|\n";
    for (std::size_t s = 0; s < stateCount; ++s) {
        for (std::size_t e = 0; e < eventCount; ++e) {
            if (const auto to = next(static_cast<State>(s), static_cast<Event>(e))) {
                table += "| " + states[s] + " | " + events[e] + " | "
                         + states[static_cast<std::size_t>(*to)] + " |\n";
            }
        }
    }
    return table;
}

// Guards against a design page whose life cycle tables differ from the code.
TEST(LifeCyclePage, MatchesCode)
{
    std::ifstream file(POPLAR_SOURCE_DIR "/docs/design.md");
    std::ostringstream page;
    page << file.rdbuf();
    const std::array<std::string, 4> tables = {
            lifeCycleMarkdown<HostState, HostEvent, hostStateCount, hostEventCount>(),
            lifeCycleMarkdown<RunStage, RunEvent, runStageCount, runEventCount>(),
            lifeCycleMarkdown<traffic::ConnectionState, traffic::ConnectionEvent,
                              traffic::connectionStateCount, traffic::connectionEventCount>(),
            lifeCycleMarkdown<ProcessState, ProcessEvent, processStateCount, processEventCount>()};
    for (const std::string &table : tables) {
        EXPECT_NE(page.str().find("\n\n" + table + "\n"), std::string::npos) << table;
    }
}

}  // namespace
}  // namespace poplarstream
