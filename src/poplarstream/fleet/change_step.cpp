#include <algorithm>  // for any_of

#include <fmt/format.h>  // for format

#include "poplarstream/config/edits.hpp"  // for applyEdits
#include "poplarstream/config/validation.hpp"  // for readChanged
#include "poplarstream/fleet/pool_usage.hpp"  // for recount
#include "poplarstream/fleet/steps.hpp"  // for applyStep, hostsProblem

namespace poplarstream {
namespace {

std::string versionProblem(const FleetState &state, const ConfigChange &change)
{
    if (change.baseVersion == state.version) {
        return {};
    }
    const auto winner =
            std::find_if(state.changes.rbegin(), state.changes.rend(),
                         [](const ChangeDecision &decision) { return decision.granted; });
    const std::string by =
            winner == state.changes.rend()
                    ? std::string{}
                    : fmt::format(" since change {} by {}", winner->id.text(), winner->author);
    return fmt::format("version {} is in force{}; the change was written for version {}",
                       state.version, by, change.baseVersion);
}

// Moves can make a pool smaller than its budget. Such a fault is in the document in force already
// and must not block changes that have nothing to do with it.
void dropStandingFaults(const FleetState &state, ConfigFaults &faults)
{
    if (faults.empty()) {
        return;
    }
    const ConfigFaults standing = readConfiguration(state.document).faults;
    std::erase_if(faults, [&](const ConfigFault &fault) {
        return std::any_of(standing.begin(), standing.end(), [&](const ConfigFault &old) {
            return old.section == fault.section && old.key == fault.key && old.found == fault.found
                   && !old.key.empty();
        });
    });
}

// Whether the change concerns hosts or budgets; most of 3,400 changes a day do not, and going
// through 4,500 hosts takes longer than the rest of the change. Rows that did not change are shared
// with the configuration before, so the comparison is cheap.
bool concernsHosts(const Configuration &before, const Configuration &after)
{
    return !(before.hosts == after.hosts && before.pools == after.pools
             && before.zones == after.zones);
}

void followHosts(FleetState &state, TimePoint time)
{
    const Configuration &configuration = *state.configuration;
    std::erase_if(state.hosts,
                  [&](const auto &host) { return !configuration.hosts.contains(host.first); });
    std::erase_if(state.lostZones,
                  [&](const ZoneId &zone) { return !configuration.zones.contains(zone); });
    for (const HostConfig &config : configuration.hosts) {
        const auto [at, isNew] = state.hosts.try_emplace(config.id);
        at->second.config = configuration.hosts.findShared(config.id);
        if (isNew) {
            at->second.since = time;
        }
        // Without the pool that lent it, the host stays where it is.
        if (at->second.loan && !configuration.pools.contains(at->second.loan->from)) {
            at->second.loan.reset();
        }
    }
    for (auto &[id, wave] : state.waves) {
        std::erase_if(wave.done, [&](const HostId &host) { return !state.hosts.contains(host); });
    }
    recount(state);
}

void followWaves(FleetState &state)
{
    const Configuration &configuration = *state.configuration;
    std::erase_if(state.waves,
                  [&](const auto &wave) { return !configuration.waves.contains(wave.first); });
    for (const WaveConfig &wave : configuration.waves) {
        state.waves.try_emplace(wave.id);
    }
}

// Brings the change into force, or says why it can not be.
std::string tryChange(FleetState &state, const Position &at, const ConfigChange &change)
{
    if (std::string problem = versionProblem(state, change); !problem.empty()) {
        return problem;
    }
    ParsedDocument edited = applyEdits(state.document, change.edits);
    if (!edited.faults.empty()) {
        return describe(edited.faults);
    }
    if (edited.document == state.document) {
        return "the change alters nothing";
    }
    std::vector<SectionId> changed;
    for (const ConfigEdit &edit : change.edits) {
        changed.emplace_back(edit.section);
    }
    ReadConfiguration read = readChanged(*state.configuration, edited.document, changed);
    dropStandingFaults(state, read.faults);
    if (!read.faults.empty()) {
        return describe(read.faults);
    }
    const bool hostsChange = concernsHosts(*state.configuration, read.configuration);
    if (hostsChange) {
        if (std::string problem = hostsProblem(state, read.configuration); !problem.empty()) {
            return problem;
        }
    }
    state.document = std::move(edited.document);
    state.configuration = std::make_shared<const Configuration>(std::move(read.configuration));
    ++state.version;
    followWaves(state);
    if (hostsChange) {
        followHosts(state, at.time);
    }
    return {};
}

}  // namespace

ControlOutcome applyStep(FleetState &state, const Position &at, const ConfigChange &change)
{
    const std::string problem = tryChange(state, at, change);
    keep(state.changes,
         ChangeDecision{at.offset, at.logTime, RecordId(shortened(at.header.id.text())),
                        shortened(change.author), problem.empty(), state.version,
                        shortened(problem)},
         changeDecisions);
    return {problem.empty(), problem};
}

}  // namespace poplarstream
