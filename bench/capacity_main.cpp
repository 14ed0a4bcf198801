// Prints the points, lines and figures of docs/CAPACITY.md as Markdown.

#include <algorithm>  // for max_element
#include <cstdio>  // for stderr
#include <cstdlib>  // for strtoul
#include <iterator>  // for begin, end
#include <string_view>  // for string_view

#include <fmt/format.h>  // for print

#include "capacity_load.hpp"  // for loadsOf, Deployment
#include "design_size.hpp"  // for designSizeDocument

namespace {

using namespace poplarstream::bench;

constexpr double coreLimit = 0.016;
constexpr double memoryLimit = 64;
constexpr double byteLimit = 2'000;
constexpr double appendLimit = 300;

struct Use
{
    const char *limit;
    double share;
};

// The limit that the role uses the largest share of.
Use largestUse(const RoleLoad &load)
{
    const Use uses[] = {{"2 KB/s", (load.sent + load.received) / byteLimit},
                        {"1.6% of a core", load.core / coreLimit},
                        {"64 MB", load.megabytes / memoryLimit},
                        {"300 appends/s", load.appends / appendLimit}};
    return *std::max_element(std::begin(uses), std::end(uses),
                             [](const Use &a, const Use &b) { return a.share < b.share; });
}

void printSeries(const SeriesTable &table)
{
    fmt::print("| measured | size: figure | at 0 | slope | unit of the slope | r squared |\n"
               "|---|---|---|---|---|---|\n");
    for (const auto &[key, series] : table) {
        fmt::print("{}", markdownRow(series));
    }
}

void printLoad(const RoleLoad &load)
{
    const Use use = largestUse(load);
    const std::string limit =
            load.isControl
                    ? fmt::format("{}: {:.0f}% | {:.2g}", use.limit, 100 * use.share, 1 / use.share)
                    : std::string("not held against the control limits | -");
    fmt::print("| {} | {} | {:.2f} | {:.0f} | {:.0f} | {:.0f} | {:.2f} | {:.3f}% | {} | {} |\n",
               load.role, load.mechanism, load.megabytes, load.sent, load.received, load.headers,
               load.appends, 100 * load.core, limit, load.breaksFirst);
}

void printDeployment(const Deployment &deployment, const SeriesTable &table)
{
    fmt::print("\n### {}\n\n{} hosts, {} zones, {} entry hosts, {} tenants, {} changes a day, {} "
               "runs a worker and day\n\n"
               "| role | mechanism | state MB | sent B/s | received B/s | TCP/IP headers B/s | "
               "appends/s in all | core | limit: share used | margin | breaks first |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|\n",
               deployment.name, deployment.hosts, deployment.zones, deployment.entryHosts,
               deployment.tenants, deployment.changes, deployment.runsOfWorker);
    const std::vector<RoleLoad> loads = loadsOf(deployment, table);
    for (const RoleLoad &load : loads) {
        printLoad(load);
    }
    printLoad(controlTotal(loads));
}

Deployment today(const char *name, double zones)
{
    constexpr double share = 50.0 / 4500;
    return {.name = name,
            .hosts = 50,
            .zones = zones,
            .entryHosts = 8,
            .tenants = 6,
            .changes = 38,
            .failures = 28 * share,
            .restarts = 650 * share,
            .waveAbsences = 50.0 / 35};
}

}  // namespace

int main(int argc, char **argv)
{
    if (argc == 3 && std::string_view(argv[1]) == "--document") {
        const auto hosts = static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10));
        fmt::print("{}", poplarstream::designSizeDocument({.hosts = hosts}));
        return 0;
    }
    if (argc != 1) {
        fmt::print(stderr, "usage: poplar-capacity [--document HOSTS]\n");
        return 2;
    }
    SeriesTable table;
    measureSmallParts(table);
    measureRuns(table);
    measureServing(table);
    measureFleet(table);
    printSeries(table);
    printDeployment({.name = "design size"}, table);
    printDeployment(today("van-harselaar", 3), table);
    printDeployment(today("ex-libris", 4), table);
    return 0;
}
