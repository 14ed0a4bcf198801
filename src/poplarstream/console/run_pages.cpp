#include "poplarstream/console/run_pages.hpp"

#include <array>  // for array

#include <fmt/format.h>  // for format

#include "poplarstream/console/html.hpp"  // for escapeHtml
#include "poplarstream/runs/queries.hpp"  // for explainRun, findRun

namespace poplarstream::console {

namespace {

constexpr std::array<std::pair<RequestOutcome, std::string_view>, 5> outcomeLabels = {{
        {RequestOutcome::OnTime, "on time"},
        {RequestOutcome::Late, "late"},
        {RequestOutcome::Refused, "refused"},
        {RequestOutcome::Failed, "failed"},
        {RequestOutcome::MayHaveRun, "may have run"},
}};

bool matches(const Run &run, std::string_view filter)
{
    const auto has = [&](std::string_view text) {
        return text.find(filter) != std::string_view::npos;
    };
    return filter.empty() || has(run.id().text()) || has(run.accepted.tenant.text())
           || has(run.accepted.service.text()) || has(stageText(run.stage));
}

std::vector<std::string> runRow(const Run &run)
{
    return {idLink("run", run.id().text()),
            idLink("tenant", run.accepted.tenant.text()),
            escapeHtml(run.accepted.service.text()),
            escapeHtml(stageText(run.stage)),
            run.claim ? escapeHtml(run.claim->worker.text()) : std::string("-"),
            run.claim ? escapeHtml(run.claim->owner.text()) : std::string("-")};
}

std::string stageTable(const RunsState &runs)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[ordinal, run] : runs.runs) {
        ++counts[std::string(stageText(run.stage))];
    }
    std::vector<std::vector<std::string>> rows;
    rows.reserve(counts.size());
    for (const auto &[stage, count] : counts) {
        rows.push_back({escapeHtml(stage), fmt::format("{}", count)});
    }
    return makeTable("Runs of this zone by state", {"State", "Runs"}, rows);
}

std::size_t waitingRunCount(const RunsState &runs, const AccountId &tenant)
{
    const auto found = runs.waiting.find(tenant);
    return found != runs.waiting.end() ? found->second.size() : 0;
}

std::uint64_t requestCount(const RequestHistograms &histograms, const AccountId &tenant,
                           RequestOutcome outcome)
{
    return histograms.count(tenant, WorkClass::Urgent, outcome)
           + histograms.count(tenant, WorkClass::Slow, outcome);
}

}  // namespace

std::string listFilter(std::string_view path, std::string_view filter)
{
    return fmt::format("<form method=\"get\" action=\"/console/{}\"><label for=\"filter\">Filter"
                       "</label><input id=\"filter\" name=\"filter\" value=\"{}\">"
                       "<button>Filter</button></form>",
                       path, escapeHtml(filter));
}

std::string listLinks(std::string_view path, std::string_view filter, const ListRange &range)
{
    const auto link = [&](std::size_t page, std::string_view label) {
        return fmt::format(" <a href=\"/console/{}?filter={}&amp;page={}\">{}</a>", path,
                           encodeUrl(filter), page, label);
    };
    std::string html = fmt::format("<p>Page {} of {}", range.page + 1, range.pages);
    html += range.page > 0 ? link(range.page - 1, "Previous page") : std::string();
    html += range.page + 1 < range.pages ? link(range.page + 1, "Next page") : std::string();
    return html + "</p>";
}

std::string bulletList(const std::vector<std::string> &lines)
{
    std::string html = "<ul>";
    for (const std::string &line : lines) {
        html += "<li>" + escapeHtml(line) + "</li>";
    }
    return html + "</ul>";
}

std::string runsPage(const StateView &view, const Form &query)
{
    const std::string filter = query.value("filter");
    std::size_t count = 0;
    for (const auto &[ordinal, run] : view.runs.runs) {
        count += matches(run, filter) ? 1 : 0;
    }
    const ListRange range = listRange(count, query.value("page"));
    std::vector<std::vector<std::string>> rows;
    std::size_t index = 0;
    for (auto at = view.runs.runs.rbegin(); at != view.runs.runs.rend() && index < range.end;
         ++at) {
        if (matches(at->second, filter) && index++ >= range.begin) {
            rows.push_back(runRow(at->second));
        }
    }
    return makePage(view.context, "Runs",
                    "<p class=\"hint\">The runs of this entry host's zone.</p>"
                            + stageTable(view.runs) + listFilter("runs", filter)
                            + makeTable(fmt::format("{} runs, newest first", count),
                                        {"Run", "Tenant", "Service", "State", "Worker", "Owner"},
                                        rows)
                            + listLinks("runs", filter, range));
}

std::optional<std::string> runPage(const StateView &view, std::string_view id)
{
    const Run *run = findRun(view.runs, RunId(std::string(id)));
    if (run == nullptr) {
        return std::nullopt;
    }
    const auto &declared = run->accepted.declared;
    const std::vector<std::vector<std::string>> rows = {
            {"State", escapeHtml(stageText(run->stage))},
            {"Tenant", idLink("tenant", run->accepted.tenant.text())},
            {"Service", escapeHtml(run->accepted.service.text())},
            {"Idempotent", run->accepted.idempotent ? "yes" : "no"},
            {"Declared", fmt::format("{} processors, {} MB, {} accelerators", declared.cpus,
                                     declared.memoryMegabytes, declared.accelerators)},
            {"Worker", run->claim ? escapeHtml(run->claim->worker.text()) : std::string("-")},
            {"Owner", run->claim ? escapeHtml(run->claim->owner.text()) : std::string("-")},
            {"Attempts that failed", fmt::format("{}", run->failedOn.size())},
            {"Workers lost", fmt::format("{}", run->losses)},
    };
    return makePage(view.context, fmt::format("Run {}", id),
                    makeTable("State of the run", {"Property", "Value"}, rows)
                            + "<h2>What happened</h2>"
                            + bulletList(explainRun(view.runs, run->id())));
}

std::string tenantsPage(const StateView &view, const Form &query)
{
    const std::string filter = query.value("filter");
    std::vector<const TenantConfig *> tenants;
    for (const TenantConfig &tenant : view.fleet.configuration->tenants) {
        if (tenant.id.text().find(filter) != std::string::npos) {
            tenants.push_back(&tenant);
        }
    }
    const ListRange range = listRange(tenants.size(), query.value("page"));
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = range.begin; i < range.end; ++i) {
        const TenantConfig &tenant = *tenants[i];
        std::vector<std::string> row = {
                idLink("tenant", tenant.id.text()), fmt::format("{}", tenant.weight),
                fmt::format("{}", tenant.quota), tenant.token.empty() ? "not set" : "set",
                fmt::format("{}", waitingRunCount(view.runs, tenant.id))};
        for (const auto &[outcome, text] : outcomeLabels) {
            row.push_back(fmt::format("{}", requestCount(view.histograms, tenant.id, outcome)));
        }
        rows.push_back(std::move(row));
    }
    return makePage(view.context, "Tenants",
                    listFilter("tenants", filter)
                            + makeTable("Tenants, with the requests that this entry host answered",
                                        {"Tenant", "Weight", "Quota (1/s)", "Token", "Runs waiting",
                                         "On time", "Late", "Refused", "Failed", "May have run"},
                                        rows)
                            + listLinks("tenants", filter, range));
}

std::optional<std::string> tenantPage(const StateView &view, std::string_view id)
{
    const TenantConfig *tenant = view.fleet.configuration->tenants.find(AccountId(std::string(id)));
    if (tenant == nullptr) {
        return std::nullopt;
    }
    std::vector<std::vector<std::string>> rows;
    rows.reserve(outcomeLabels.size());
    for (const auto &[outcome, text] : outcomeLabels) {
        rows.push_back(
                {std::string(text),
                 fmt::format("{}", view.histograms.count(tenant->id, WorkClass::Urgent, outcome)),
                 fmt::format("{}", view.histograms.count(tenant->id, WorkClass::Slow, outcome))});
    }
    return makePage(
            view.context, fmt::format("Tenant {}", id),
            fmt::format("<p>Weight {}, quota {} requests a second, token {}. {} runs wait in this "
                        "zone. <a href=\"/console/runs?filter={}\">Runs</a></p>",
                        tenant->weight, tenant->quota, tenant->token.empty() ? "not set" : "set",
                        waitingRunCount(view.runs, tenant->id), encodeUrl(id))
                    + makeTable("Requests that this entry host answered",
                                {"Outcome", "Urgent", "Slow"}, rows)
                    + "<h2>Time from arrival to answer</h2>"
                    + latencyChart("Urgent requests",
                                   view.histograms.latencies(tenant->id, WorkClass::Urgent))
                    + latencyChart("Slow requests (until acceptance)",
                                   view.histograms.latencies(tenant->id, WorkClass::Slow)));
}

}  // namespace poplarstream::console
