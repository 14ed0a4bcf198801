#include <algorithm>  // for stable_sort
#include <cstdio>  // for stderr
#include <exception>  // for exception

#include <fmt/format.h>  // for print

#include "history/caller_lines.hpp"  // for callerEvents, stoppedEntryEvents
#include "history/fleet_lines.hpp"  // for executionEvents, observedAbsences
#include "history/log_lines.hpp"  // for controlEvents, knownRuns, statusEvents, checkConfigInForce
#include "poplarstream/history/check.hpp"  // for checkAll, checkAvailabilityBudget

namespace poplarstream::standins {

namespace {

constexpr Milliseconds configInForceLimit{9'000};
constexpr std::size_t maxShownViolations = 10;

Events merge(std::initializer_list<Events> parts)
{
    Events all;
    for (const Events &part : parts) {
        all.insert(all.end(), part.begin(), part.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return all;
}

bool printResult(const history::CheckResult &result)
{
    fmt::print("{{\"promise\":\"{}\",\"checked\":{},\"violations\":{}}}\n", result.guarantee,
               result.checked, result.violations.size());
    for (std::size_t i = 0; i < std::min(maxShownViolations, result.violations.size()); ++i) {
        fmt::print(stderr, "{}: {}\n", result.guarantee, result.violations[i].what);
    }
    return result.violations.empty();
}

bool checkFolder(const std::filesystem::path &folder)
{
    const Events all = merge({callerEvents(folder), executionEvents(folder), controlEvents(folder),
                              knownRuns(folder), statusEvents(folder), stoppedEntryEvents(folder)});
    bool allHeld = true;
    for (const history::CheckResult &result : history::checkAll(all)) {
        allHeld = printResult(result) && allHeld;
    }
    history::CheckResult observed =
            history::checkAvailabilityBudget(merge({observedAbsences(folder)}));
    observed.guarantee = "availability-budget-seen";
    allHeld = printResult(observed) && allHeld;
    return printResult(checkConfigInForce(folder, configInForceLimit)) && allHeld;
}

}  // namespace

}  // namespace poplarstream::standins

int main(int argc, char **argv)
{
    if (argc != 2) {
        fmt::print(stderr, "usage: history-check FOLDER\n"
                           "Decides from the histories of a demo whether each guarantee held. "
                           "Prints one JSON object for each; status 1 if one was broken.\n");
        return 2;
    }
    try {
        return poplarstream::standins::checkFolder(argv[1]) ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "history-check: {}\n", error.what());
        return 2;
    }
}
