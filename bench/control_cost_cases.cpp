#include "control_cost_cases.hpp"

#include "capacity_load.hpp"  // for loadsOf, controlTotal

namespace poplarstream::bench {

std::vector<MeasureLine> measureControlCost(std::uint64_t seed)
{
    SeriesTable table;
    measureSmallParts(table);
    measureRuns(table);
    measureServing(table);
    measureFleet(table);
    const RoleLoad now = controlTotal(loadsOf({.name = "design size"}, table));
    const RoleLoad naive = controlTotal(loadsOf({.name = "without zones", .zones = 1}, table));
    const auto quantity = [seed](const char *name, const char *unit, double naiveFigure,
                                 double nowFigure, double target) {
        return MeasureLine{.caseName = "two-year-size",
                           .quantity = name,
                           .unit = unit,
                           .better = "lower",
                           .naive = naiveFigure,
                           .now = nowFigure,
                           .target = target,
                           .seed = seed};
    };
    return {quantity("control-processor-time", "share of a core", naive.core, now.core, 0.016),
            quantity("control-memory", "MB", naive.megabytes, now.megabytes, 64),
            quantity("control-bytes", "B/s", naive.sent + naive.received, now.sent + now.received,
                     2'000)};
}

}  // namespace poplarstream::bench
