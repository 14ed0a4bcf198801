#include <algorithm>  // for any_of

#include <fmt/format.h>  // for format

#include "poplarstream/config/edits.hpp"  // for applyEdits
#include "poplarstream/config/validation.hpp"  // for readChangedSections
#include "poplarstream/fleet/pool_usage.hpp"  // for recomputePoolUsage
#include "poplarstream/fleet/steps.hpp"  // for applyStep, hostChangeRefusal

namespace poplarstream {
namespace {

std::string versionConflict(const FleetState &state, const ConfigChange &change)
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

// Drops the errors that the document in force has too. Moves can make a pool smaller than its
// budget, and such an error must not block unrelated changes.
void dropExistingErrors(const FleetState &state, ConfigErrors &errors)
{
    if (errors.empty()) {
        return;
    }
    const ConfigErrors existing = readConfiguration(state.document).errors;
    std::erase_if(errors, [&](const ConfigError &fault) {
        return std::any_of(existing.begin(), existing.end(), [&](const ConfigError &known) {
            return known.section == fault.section && known.key == fault.key
                   && known.found == fault.found && !known.key.empty();
        });
    });
}

// Returns whether the change affects hosts or budgets. Most of 3,400 changes a day do not, and
// iterating over 4,500 hosts takes longer than the rest of the change. The comparison is cheap, as
// unchanged rows are shared between the two configurations.
bool affectsHosts(const Configuration &before, const Configuration &after)
{
    return !(before.hosts == after.hosts && before.pools == after.pools
             && before.zones == after.zones);
}

void updateHosts(FleetState &state, TimePoint time)
{
    const Configuration &configuration = *state.configuration;
    std::erase_if(state.hosts,
                  [&](const auto &host) { return !configuration.hosts.contains(host.first); });
    std::erase_if(state.lostZones,
                  [&](const ZoneId &zone) { return !configuration.zones.contains(zone); });
    for (const HostConfig &config : configuration.hosts) {
        const auto [it, isNew] = state.hosts.try_emplace(config.id);
        it->second.config = configuration.hosts.findShared(config.id);
        if (isNew) {
            it->second.since = time;
        }
        // If the pool that lent the host no longer exists, the host stays where it is.
        if (it->second.loan && !configuration.pools.contains(it->second.loan->from)) {
            it->second.loan.reset();
        }
    }
    for (auto &[id, wave] : state.waves) {
        std::erase_if(wave.done, [&](const HostId &host) { return !state.hosts.contains(host); });
    }
    recomputePoolUsage(state);
}

void updateWaves(FleetState &state)
{
    const Configuration &configuration = *state.configuration;
    std::erase_if(state.waves,
                  [&](const auto &wave) { return !configuration.waves.contains(wave.first); });
    for (const WaveConfig &wave : configuration.waves) {
        state.waves.try_emplace(wave.id);
    }
}

// Puts the change into force, or returns why it is refused.
std::string tryChange(FleetState &state, const LogPosition &position, const ConfigChange &change)
{
    if (std::string refusal = versionConflict(state, change); !refusal.empty()) {
        return refusal;
    }
    ParsedDocument edited = applyEdits(state.document, change.edits);
    if (!edited.errors.empty()) {
        return describe(edited.errors);
    }
    if (edited.document == state.document) {
        return "the change alters nothing";
    }
    std::vector<SectionId> changed;
    for (const ConfigEdit &edit : change.edits) {
        changed.emplace_back(edit.section);
    }
    ConfigurationResult read = readChangedSections(*state.configuration, edited.document, changed);
    dropExistingErrors(state, read.errors);
    if (!read.errors.empty()) {
        return describe(read.errors);
    }
    const bool hostsChange = affectsHosts(*state.configuration, read.configuration);
    if (hostsChange) {
        if (std::string refusal = hostChangeRefusal(state, read.configuration); !refusal.empty()) {
            return refusal;
        }
    }
    state.document = std::move(edited.document);
    state.configuration = std::make_shared<const Configuration>(std::move(read.configuration));
    ++state.version;
    updateWaves(state);
    if (hostsChange) {
        updateHosts(state, position.time);
    }
    return {};
}

}  // namespace

ControlOutcome applyStep(FleetState &state, const LogPosition &position, const ConfigChange &change)
{
    const std::string refusal = tryChange(state, position, change);
    appendBounded(state.changes,
                  ChangeDecision{position.offset, position.logTime,
                                 RecordId(truncated(position.header.id.text())),
                                 truncated(change.author), refusal.empty(), state.version,
                                 truncated(refusal)},
                  maxChangeDecisions);
    return {refusal.empty(), refusal};
}

}  // namespace poplarstream
