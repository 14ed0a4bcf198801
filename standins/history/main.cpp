#include <algorithm>  // for stable_sort
#include <cstdio>  // for stderr
#include <exception>  // for exception

#include <fmt/format.h>  // for print

#include "history/caller_lines.hpp"  // for callerEvents, stoppedEntryEvents
#include "history/fleet_lines.hpp"  // for executionEvents, seenAbsences
#include "history/log_lines.hpp"  // for controlEvents, knownRuns, statusEvents, checkInForce
#include "poplarstream/history/check.hpp"  // for checkAll, checkAvailabilityBudget

namespace poplarstream::standins {

namespace {

constexpr Milliseconds inForceLimit{9'000};
constexpr std::size_t shownViolations = 10;

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

bool print(const history::CheckResult &result)
{
    fmt::print("{{\"promise\":\"{}\",\"checked\":{},\"violations\":{}}}\n", result.guarantee,
               result.checked, result.violations.size());
    for (std::size_t i = 0; i < std::min(shownViolations, result.violations.size()); ++i) {
        fmt::print(stderr, "{}: {}\n", result.guarantee, result.violations[i].what);
    }
    return result.violations.empty();
}

bool checkFolder(const std::filesystem::path &folder)
{
    const Events all = merge({callerEvents(folder), executionEvents(folder), controlEvents(folder),
                              knownRuns(folder), statusEvents(folder), stoppedEntryEvents(folder)});
    bool isHeld = true;
    for (const history::CheckResult &result : history::checkAll(all)) {
        isHeld = print(result) && isHeld;
    }
    history::CheckResult seen = history::checkAvailabilityBudget(merge({seenAbsences(folder)}));
    seen.guarantee = "availability-budget-seen";
    isHeld = print(seen) && isHeld;
    return print(checkInForce(folder, inForceLimit)) && isHeld;
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
    } catch (const std::exception &fault) {
        fmt::print(stderr, "history-check: {}\n", fault.what());
        return 2;
    }
}
