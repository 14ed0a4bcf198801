#include "poplarstream/console/state_pages.hpp"

#include <algorithm>  // for find

#include <fmt/format.h>  // for format

#include "poplarstream/console/html.hpp"  // for escapeHtml
#include "poplarstream/console/run_pages.hpp"  // for runsPage, tenantsPage
#include "poplarstream/fleet/queries.hpp"  // for budgetOf, awayHosts, decisionsOf

namespace poplarstream::console {

namespace {

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

std::string_view actionText(AbsenceKind kind)
{
    switch (kind) {
    case AbsenceKind::Reboot:
        return "reboot";
    case AbsenceKind::Move:
        return "move";
    case AbsenceKind::RebootAndMove:
        break;
    }
    return "reboot and move";
}

// The hosts of a wave: those in its pools and those already done.
struct WaveHosts
{
    std::vector<HostId> all;
    std::size_t done = 0;
};

bool isDone(const FleetState &fleet, const WaveId &wave, const HostId &host)
{
    const auto record = fleet.waves.find(wave);
    return record != fleet.waves.end() && record->second.done.contains(host);
}

WaveHosts hostsOfWave(const FleetState &fleet, const WaveConfig &wave)
{
    WaveHosts hosts;
    for (const auto &[id, host] : fleet.hosts) {
        const bool isHostDone = isDone(fleet, wave.id, id);
        if (isHostDone
            || std::find(wave.pools.begin(), wave.pools.end(), host.config->pool)
                       != wave.pools.end()) {
            hosts.all.push_back(id);
            hosts.done += isHostDone ? 1 : 0;
        }
    }
    return hosts;
}

std::vector<std::string> waitReasonsOf(const StateView &view, std::string_view subject)
{
    std::vector<std::string> lines;
    for (const WaitReason &reason : view.waitReasons) {
        if (reason.subject == subject) {
            lines.push_back(reason.text);
        }
    }
    return lines;
}

std::string wavesTable(const StateView &view)
{
    std::vector<std::vector<std::string>> rows;
    for (const WaveConfig &wave : view.fleet.configuration->waves) {
        const WaveHosts hosts = hostsOfWave(view.fleet, wave);
        rows.push_back({idLink("wave", wave.id.text()), std::string(waveStateText(wave.state)),
                        std::string(actionText(wave.action)),
                        fmt::format("{} of {}", hosts.done, hosts.all.size())});
    }
    return makeTable("Waves", {"Wave", "State", "Action", "Hosts done"}, rows);
}

std::string poolsTable(const StateView &view)
{
    std::vector<std::vector<std::string>> rows;
    for (const PoolConfig &pool : view.fleet.configuration->pools) {
        const PoolBudget budget = budgetOf(view.fleet, pool.id).value_or(PoolBudget{});
        const auto demand = view.demands.find(pool.id);
        rows.push_back({idLink("pool", pool.id.text()), fmt::format("{}", budget.hosts),
                        fmt::format("{}", budget.away), fmt::format("{}", budget.maxAway),
                        fmt::format("{}", budget.remaining),
                        fmt::format("{:.1f}", demand != view.demands.end() ? demand->second : 0.0),
                        pool.spare ? "yes" : "no"});
    }
    return makeTable("Pools",
                     {"Pool", "Hosts", "Away", "Budget", "Left", "Demand (hosts)", "Spare"}, rows);
}

std::string alertList(const StateView &view)
{
    return view.alerts.empty()
                   ? std::string()
                   : "<div class=\"warning\" role=\"alert\">" + bulletList(view.alerts) + "</div>";
}

std::string overviewPage(const StateView &view)
{
    const FleetState &fleet = view.fleet;
    if (fleet.version == 0) {
        return makePage(view.context, "Overview",
                        "<p class=\"notice\">No configuration is in force. <a "
                        "href=\"/console/draft\">Write or upload the first document.</a></p>");
    }
    std::string html =
            alertList(view)
            + fmt::format("<p>Fleet {}: {} hosts, {} away; {} runs active in this "
                          "zone.</p>",
                          escapeHtml(fleet.configuration->fleet.name), fleet.hosts.size(),
                          awayHosts(fleet).size(), view.runs.active.size());
    for (const ZoneId &zone : fleet.lostZones) {
        html += fmt::format("<p class=\"warning\">Zone {} can not be seen; its hosts count as "
                            "away.</p>",
                            escapeHtml(zone.text()));
    }
    std::vector<std::vector<std::string>> changes;
    for (auto at = fleet.changes.rbegin(); at != fleet.changes.rend() && changes.size() < 10;
         ++at) {
        changes.push_back({idLink("explain", at->id.text()), escapeHtml(at->author),
                           at->granted ? fmt::format("version {}", at->version)
                                       : "refused: " + escapeHtml(at->reason)});
    }
    return makePage(
            view.context, "Overview",
            html + searchForm("") + wavesTable(view) + poolsTable(view)
                    + makeTable("Newest changes", {"Change", "Author", "Outcome"}, changes));
}

std::string hostRowState(const FleetState &fleet, const FleetHost &host)
{
    std::string text(hostStateText(host.state));
    text += fleet.lostZones.contains(host.config->zone) ? ", zone not seen" : "";
    return text + (host.quarantined ? ", quarantined" : "");
}

std::vector<std::string> hostRow(const FleetState &fleet, const HostId &id)
{
    const FleetHost &host = fleet.hosts.at(id);
    return {idLink("explain", id.text()),
            idLink("pool", host.config->pool.text()),
            escapeHtml(host.config->zone.text()),
            escapeHtml(host.config->rack.text()),
            hostRowState(fleet, host),
            host.absence ? escapeHtml(host.absence->wave.text()) : std::string("-")};
}

std::string hostTable(const FleetState &fleet, const std::vector<HostId> &hosts,
                      const ListRange &range, std::string_view caption)
{
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = range.begin; i < range.end; ++i) {
        rows.push_back(hostRow(fleet, hosts[i]));
    }
    return makeTable(caption, {"Host", "Pool", "Zone", "Rack", "State", "Wave"}, rows);
}

std::string hostsPage(const StateView &view, const Form &query)
{
    const std::string filter = query.value("filter");
    std::vector<HostId> hosts;
    for (const auto &[id, host] : view.fleet.hosts) {
        const auto has = [&](std::string_view text) {
            return text.find(filter) != std::string_view::npos;
        };
        if (has(id.text()) || has(host.config->pool.text()) || has(host.config->zone.text())
            || has(host.config->rack.text()) || has(hostStateText(host.state))) {
            hosts.push_back(id);
        }
    }
    const ListRange range = listRange(hosts.size(), query.value("page"));
    return makePage(
            view.context, "Hosts",
            "<p class=\"hint\">Filter by host, pool, zone, rack or state.</p>"
                    + listFilter("hosts", filter)
                    + hostTable(view.fleet, hosts, range, fmt::format("{} hosts", hosts.size()))
                    + listLinks("hosts", filter, range));
}

std::string poolsPage(const StateView &view)
{
    std::string html = poolsTable(view);
    for (const PoolConfig &pool : view.fleet.configuration->pools) {
        html += fmt::format("<h2>{}</h2>", escapeHtml(pool.id.text()))
                + awayChart(view.history, pool.id);
    }
    return makePage(view.context, "Pools", html);
}

std::optional<std::string> poolPage(const StateView &view, std::string_view name, const Form &query)
{
    const PoolId id{std::string(name)};
    const PoolConfig *pool = view.fleet.configuration->pools.find(id);
    if (pool == nullptr) {
        return std::nullopt;
    }
    const PoolBudget budget = budgetOf(view.fleet, id).value_or(PoolBudget{});
    std::vector<std::vector<std::string>> away;
    for (const AwayHost &host : awayHosts(view.fleet, id)) {
        if (away.size() < rowsPerPage) {
            away.push_back({idLink("explain", host.host.text()),
                            std::string(hostStateText(host.state))
                                    + (host.zoneLost ? ", zone not seen" : ""),
                            host.wave.isEmpty() ? "-" : idLink("wave", host.wave.text())});
        }
    }
    const std::vector<HostId> hosts = hostsOf(view.fleet, id);
    const ListRange range = listRange(hosts.size(), query.value("page"));
    return makePage(view.context, fmt::format("Pool {}", name),
                    fmt::format("<p>{} of {} hosts are away; the budget is {}, {} more may leave "
                                "now. {} hosts are on their way in.</p>",
                                budget.away, budget.hosts, budget.maxAway, budget.remaining,
                                budget.incoming)
                            + awayChart(view.history, id)
                            + makeTable("Hosts away", {"Host", "State", "Wave"}, away)
                            + hostTable(view.fleet, hosts, range, "Hosts of the pool")
                            + listLinks("pool/" + encodeUrl(name), "", range));
}

std::optional<std::string> wavePage(const StateView &view, std::string_view name, const Form &query)
{
    const WaveId id{std::string(name)};
    const WaveConfig *wave = view.fleet.configuration->waves.find(id);
    if (wave == nullptr) {
        return std::nullopt;
    }
    const WaveHosts hosts = hostsOfWave(view.fleet, *wave);
    const ListRange range = listRange(hosts.all.size(), query.value("page"));
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = range.begin; i < range.end; ++i) {
        const HostId &host = hosts.all[i];
        const auto reasons = waitReasonsOf(view, host.text());
        rows.push_back({idLink("explain", host.text()),
                        isDone(view.fleet, id, host) ? "done" : "to do",
                        hostRowState(view.fleet, view.fleet.hosts.at(host)),
                        reasons.empty() ? std::string("-") : escapeHtml(reasons.front())});
    }
    std::string html =
            fmt::format("<p>{}, action {}: {} of {} hosts are done.</p>"
                        "<p><progress max=\"{}\" value=\"{}\" aria-label=\"hosts done\">"
                        "</progress></p>",
                        waveStateText(wave->state), actionText(wave->action), hosts.done,
                        hosts.all.size(), std::max<std::size_t>(1, hosts.all.size()), hosts.done)
            + bulletList(waitReasonsOf(view, name));
    for (const PoolId &pool : wave->pools) {
        html += fmt::format("<h2>Pool {}</h2>", idLink("pool", pool.text()))
                + awayChart(view.history, pool);
    }
    std::vector<std::string> decisions;
    for (const Decision &decision : decisionsOf(view.fleet, id)) {
        decisions.push_back(describe(decision));
    }
    return makePage(
            view.context, fmt::format("Wave {}", name),
            html + makeTable("Hosts of the wave", {"Host", "Wave", "State", "Waits for"}, rows)
                    + listLinks("wave/" + encodeUrl(name), "", range) + "<h2>Recent decisions</h2>"
                    + bulletList(decisions));
}

}  // namespace

std::optional<std::string> statePage(const StateView &view, std::string_view path,
                                     const Form &query)
{
    const std::size_t slash = path.find('/');
    const std::string_view kind = path.substr(0, slash);
    if (slash == std::string_view::npos) {
        if (kind.empty()) {
            return overviewPage(view);
        }
        if (kind == "waves") {
            return makePage(view.context, "Waves", alertList(view) + wavesTable(view));
        }
        if (kind == "pools") {
            return poolsPage(view);
        }
        if (kind == "hosts") {
            return hostsPage(view, query);
        }
        if (kind == "runs") {
            return runsPage(view, query);
        }
        return kind == "tenants" ? std::optional(tenantsPage(view, query)) : std::nullopt;
    }
    const std::string id = decodeUrl(path.substr(slash + 1));
    if (kind == "wave") {
        return wavePage(view, id, query);
    }
    if (kind == "pool") {
        return poolPage(view, id, query);
    }
    if (kind == "run") {
        return runPage(view, id);
    }
    return kind == "tenant" ? tenantPage(view, id) : std::nullopt;
}

std::string explainPage(const PageContext &context, std::string_view id,
                        const std::vector<std::string> &lines)
{
    std::string html = searchForm(id);
    if (!id.empty()) {
        html += fmt::format("<h2>{}</h2>", escapeHtml(id));
        html += lines.empty() ? "<p class=\"notice\">Nothing is recorded of this id here. A run is "
                                "known to the entry hosts of its zone, a request to the one that "
                                "answered it.</p>"
                              : bulletList(lines);
    }
    return makePage(context, "Explain", html);
}

std::string searchForm(std::string_view id)
{
    return fmt::format("<form method=\"get\" action=\"/console/explain\" role=\"search\">"
                       "<label for=\"id\">Explain a host, run, request, wave or change</label>"
                       "<input id=\"id\" name=\"id\" value=\"{}\"><button>Explain</button></form>",
                       escapeHtml(id));
}

}  // namespace poplarstream::console
