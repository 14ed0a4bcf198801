#include "poplarstream/node/status.hpp"

#include <algorithm>  // for find, binary_search

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/fleet/queries.hpp"  // for budgetOf, decisionsOf
#include "poplarstream/runs/queries.hpp"  // for explainRun

namespace poplarstream {

namespace {

using nlohmann::json;

// Maximum number of runs on the status page, newest first; the counts include all runs.
constexpr std::size_t maxListedRuns = 200;

json overview(const ControlView &view)
{
    std::size_t waiting = 0;
    for (const auto &[tenant, runs] : view.runs.waiting) {
        waiting += runs.size();
    }
    return {{"ready", view.isReady},
            {"version", view.fleet.version},
            {"offset", view.fleet.next},
            {"log_reachable", view.isLogReachable},
            {"hosts", view.fleet.hosts.size()},
            {"hosts_away", awayHosts(view.fleet).size()},
            {"wave_holder", view.waveLeaseHolder ? view.waveLeaseHolder->text() : std::string()},
            {"runs_waiting", waiting},
            {"runs_active", view.runs.active.size()},
            {"entry_hosts", view.peers.allLive.size()}};
}

json hosts(const ControlView &view)
{
    json list = json::array();
    for (const auto &[id, host] : view.fleet.hosts) {
        json entry = {{"host", id.text()},
                      {"pool", host.config->pool.text()},
                      {"zone", host.config->zone.text()},
                      {"rack", host.config->rack.text()},
                      {"state", hostStateText(host.state)},
                      {"away", isAway(view.fleet, host)},
                      {"since_ms", millisecondsSinceEpoch(host.since)},
                      {"quarantined", host.quarantined}};
        if (host.absence) {
            entry["wave"] = host.absence->wave.text();
            entry["target"] = host.absence->target.text();
        }
        list.push_back(std::move(entry));
    }
    return {{"hosts", std::move(list)}};
}

json pools(const ControlView &view)
{
    json list = json::array();
    for (const PoolConfig &pool : view.fleet.configuration->pools) {
        const auto budget = budgetOf(view.fleet, pool.id);
        const auto demand = view.demands.find(pool.id);
        list.push_back({{"pool", pool.id.text()},
                        {"hosts", budget ? budget->hosts : 0},
                        {"max_away", pool.maxAway},
                        {"away", budget ? budget->away : 0},
                        {"incoming", budget ? budget->incoming : 0},
                        {"left", budget ? budget->remaining : 0},
                        {"demand_hosts", demand != view.demands.end() ? demand->second.now : 0},
                        {"spare", pool.spare}});
    }
    return {{"pools", std::move(list)}};
}

std::string_view waveStateText(WaveState state)
{
    switch (state) {
    case WaveState::Running:
        return "running";
    case WaveState::Stopped:
        return "stopped";
    case WaveState::Withdrawn:
        break;
    }
    return "withdrawn";
}

json waves(const ControlView &view)
{
    json list = json::array();
    for (const WaveConfig &wave : view.fleet.configuration->waves) {
        const auto record = view.fleet.waves.find(wave.id);
        const std::size_t done = record != view.fleet.waves.end() ? record->second.done.size() : 0;
        std::size_t hostCount = done;
        for (const auto &[id, host] : view.fleet.hosts) {
            const bool isDone =
                    record != view.fleet.waves.end() && record->second.done.contains(id);
            const bool isInWave = std::find(wave.pools.begin(), wave.pools.end(), host.config->pool)
                                  != wave.pools.end();
            hostCount += isInWave && !isDone ? 1 : 0;
        }
        list.push_back({{"wave", wave.id.text()},
                        {"state", waveStateText(wave.state)},
                        {"done", done},
                        {"hosts", hostCount}});
    }
    json notes = json::array();
    for (const maintenance::Note &note : view.waveNotes) {
        notes.push_back({{"subject", note.subject}, {"text", note.text}});
    }
    json pages = json::array();
    for (const maintenance::Page &page : view.pages) {
        pages.push_back(page.text);
    }
    return {{"waves", std::move(list)}, {"notes", std::move(notes)}, {"pages", std::move(pages)}};
}

json runs(const ControlView &view)
{
    std::map<std::string, std::size_t> counts;
    json list = json::array();
    for (auto at = view.runs.runs.rbegin(); at != view.runs.runs.rend(); ++at) {
        const Run &run = at->second;
        ++counts[std::string(stageText(run.stage))];
        if (list.size() < maxListedRuns) {
            list.push_back({{"run", run.id().text()},
                            {"tenant", run.accepted.tenant.text()},
                            {"service", run.accepted.service.text()},
                            {"state", stageText(run.stage)},
                            {"worker", run.claim ? run.claim->worker.text() : std::string()},
                            {"owner", run.claim ? run.claim->owner.text() : std::string()}});
        }
    }
    return {{"counts", counts}, {"runs", std::move(list)}};
}

json tenants(const ControlView &view)
{
    std::map<AccountId, std::size_t> waiting;
    for (const auto &[tenant, ordinals] : view.runs.waiting) {
        waiting[tenant] = ordinals.size();
    }
    json list = json::array();
    for (const TenantConfig &tenant : view.fleet.configuration->tenants) {
        list.push_back({{"tenant", tenant.id.text()},
                        {"weight", tenant.weight},
                        {"quota", tenant.quota},
                        {"runs_waiting", waiting[tenant.id]}});
    }
    return {{"tenants", std::move(list)}};
}

json peers(const ControlView &view)
{
    json list = json::array();
    for (const auto &[peer, zone] : view.peers.zones) {
        const bool isLive =
                std::binary_search(view.peers.allLive.begin(), view.peers.allLive.end(), peer);
        list.push_back({{"entry_host", peer.text()}, {"zone", zone.text()}, {"live", isLive}});
    }
    json lost = json::array();
    for (const ZoneId &zone : view.fleet.lostZones) {
        lost.push_back(zone.text());
    }
    return {{"peers", std::move(list)}, {"lost_zones", std::move(lost)}};
}

template <class Decisions>
void addDecisions(std::vector<std::string> &lines, const Decisions &decisions)
{
    for (const auto &decision : decisions) {
        lines.push_back(describe(decision));
    }
}

}  // namespace

std::optional<json> statusOf(const ControlView &view, std::string_view topic)
{
    using Topic = json (*)(const ControlView &);
    const std::pair<std::string_view, Topic> topics[] = {
            {"", overview}, {"hosts", hosts},     {"pools", pools}, {"waves", waves},
            {"runs", runs}, {"tenants", tenants}, {"peers", peers},
    };
    for (const auto &[name, make] : topics) {
        if (name == topic) {
            json status = make(view);
            status["age_ms"] = view.age ? json(view.age->count()) : json(nullptr);
            return status;
        }
    }
    return std::nullopt;
}

std::vector<std::string> explain(const ControlView &view, const std::string &id)
{
    std::vector<std::string> lines;
    addDecisions(lines, decisionsOf(view.fleet, HostId(id)));
    addDecisions(lines, decisionsOf(view.fleet, WaveId(id)));
    if (const auto change = changeOutcome(view.fleet, RecordId(id))) {
        lines.push_back(describe(*change));
    }
    for (const ChangeDecision &change : view.fleet.changes) {
        if (id == fmt::format("version-{}", change.version) && change.granted) {
            lines.push_back(describe(change));
        }
    }
    if (findRun(view.runs, RunId(id)) != nullptr) {
        for (std::string &line : explainRun(view.runs, RunId(id))) {
            lines.push_back(std::move(line));
        }
    }
    for (const maintenance::Note &note : view.waveNotes) {
        if (note.subject == id) {
            lines.push_back("now: " + note.text);
        }
    }
    return lines;
}

}  // namespace poplarstream
