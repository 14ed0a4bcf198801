#include <getopt.h>  // for getopt_long

#include <charconv>  // for from_chars
#include <cstdio>  // for stderr
#include <functional>  // for function
#include <string_view>  // for string_view
#include <vector>  // for vector

#include <fmt/format.h>  // for print
#include <nlohmann/json.hpp>  // for ordered_json

#include "agreement_cases.hpp"  // for measureConfigRace
#include "control_cost_cases.hpp"  // for measureControlCost
#include "maintenance_cases.hpp"  // for measureWaveVanHarselaar
#include "measure_line.hpp"  // for MeasureLine
#include "runs_cases.hpp"  // for runBadWorkers
#include "traffic_cases.hpp"  // for trafficCases

namespace {

using namespace poplarstream::bench;

struct Case
{
    std::string_view name;
    std::function<std::vector<MeasureLine>(std::uint64_t seed)> run;
};

// Adds the lines of another part to a case.
void extend(std::vector<Case> &cases, std::string_view name,
            const std::function<std::vector<MeasureLine>(std::uint64_t seed)> &part)
{
    for (Case &entry : cases) {
        if (entry.name == name) {
            entry.run = [first = entry.run, part](std::uint64_t seed) {
                std::vector<MeasureLine> lines = first(seed);
                for (MeasureLine &line : part(seed)) {
                    lines.push_back(std::move(line));
                }
                return lines;
            };
        }
    }
}

std::vector<Case> allCases()
{
    std::vector<Case> cases;
    for (const TrafficCase &traffic : trafficCases()) {
        cases.push_back({traffic.name, traffic.run});
    }
    const std::vector<Case> others = {
            {"platform-away", measurePlatformAway},
            {"config-race", measureConfigRace},
            {"wave-van-harselaar", measureWaveVanHarselaar},
            {"wave-ex-libris", measureWaveExLibris},
            {"wave-with-rack-loss", measureWaveWithRackLoss},
            {"wave-with-log-outage", measureWaveWithLogOutage},
            {"bad-workers", runBadWorkers},
            {"wrong-sizes", runWrongSizes},
            {"cancel-wave", runCancelWave},
            {"lost-append-answers", runLostAppendAnswers},
            {"paused-holders", runPausedHolders},
            {"replaced-all", runReplacedAll},
            {"two-year-size", measureWaveTwoYearSize},
    };
    cases.insert(cases.end(), others.begin(), others.end());
    extend(cases, "zone-cut", measureZoneCutAgreement);
    extend(cases, "region-apart", measureRegionApartAgreement);
    extend(cases, "two-year-size", measureControlCost);
    return cases;
}

std::string lineText(const MeasureLine &line)
{
    nlohmann::ordered_json json = {{"case", line.caseName}};
    if (!line.promise.empty()) {
        json["promise"] = line.promise;
        json["checked"] = line.checked;
        json["violations"] = line.violations;
    } else {
        json["quantity"] = line.quantity;
        json["unit"] = line.unit;
        json["better"] = line.better;
        json["naive"] = line.naive;
        json["now"] = line.now;
        if (line.target) {
            json["target"] = *line.target;
        }
    }
    json["seed"] = line.seed;
    return json.dump();
}

int usage()
{
    fmt::print(stderr, "usage: poplar-measure [--case NAME] [--seed N] [--list]\n");
    return 2;
}

bool runCases(const std::vector<Case> &cases, std::string_view wanted, std::uint64_t seed)
{
    bool hasRun = false;
    for (const Case &entry : cases) {
        if (!wanted.empty() && wanted != entry.name) {
            continue;
        }
        hasRun = true;
        for (const MeasureLine &line : entry.run(seed)) {
            fmt::print("{}\n", lineText(line));
        }
        std::fflush(stdout);
    }
    return hasRun;
}

}  // namespace

int main(int argc, char **argv)
{
    constexpr option options[] = {{"case", required_argument, nullptr, 'c'},
                                  {"seed", required_argument, nullptr, 's'},
                                  {"list", no_argument, nullptr, 'l'},
                                  {"help", no_argument, nullptr, 'h'},
                                  {nullptr, 0, nullptr, 0}};
    const std::vector<Case> cases = allCases();
    std::string_view wanted;
    std::uint64_t seed = 1;
    for (int code = 0; (code = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (code == 'c') {
            wanted = optarg;
        } else if (code == 's') {
            const std::string_view text = optarg;
            const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed);
            if (error != std::errc{} || end != text.data() + text.size()) {
                return usage();
            }
        } else if (code == 'l') {
            for (const Case &entry : cases) {
                fmt::print("{}\n", entry.name);
            }
            return 0;
        } else {
            usage();
            return code == 'h' ? 0 : 2;
        }
    }
    if (!runCases(cases, wanted, seed)) {
        fmt::print(stderr, "unknown case '{}'; see --list\n", wanted);
        return 2;
    }
    return 0;
}
