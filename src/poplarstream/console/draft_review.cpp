#include "poplarstream/console/draft_review.hpp"

#include <set>  // for set

#include <fmt/format.h>  // for format

#include "poplarstream/console/draft_fields.hpp"  // for fieldErrors
#include "poplarstream/console/draft_page.hpp"  // for publishedPage
#include "poplarstream/console/html.hpp"  // for escapeHtml

namespace poplarstream::console {

namespace {

// Further errors are only counted: a wrong file can have one on each line.
constexpr std::size_t maxListedErrors = 100;

std::string editCell(const DraftView &view, const DraftEdit &entry, std::size_t index)
{
    const ConfigEdit &edit = entry.edit;
    const std::string key = edit.key.value_or("");
    const std::string value = edit.key ? displayValue(edit.section, key, edit.value)
                                       : std::string("(the section is removed)");
    return escapeHtml(value)
           + fieldErrors(view, edit.section, key, fmt::format("edit-{}-fault", index));
}

std::string oldCell(const DraftView &view, const ConfigEdit &edit)
{
    if (!edit.key) {
        return "(the section)";
    }
    const ConfigSection *section = view.inForce.find(SectionId(edit.section));
    const std::string *value = section != nullptr ? valueOf(*section, *edit.key) : nullptr;
    return escapeHtml(displayValue(edit.section, *edit.key,
                                   value != nullptr ? std::optional(*value) : std::nullopt));
}

std::string editTable(const DraftView &view, const ListRange &range)
{
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = range.begin; i < range.end; ++i) {
        const DraftEdit &entry = view.draft.edits[i];
        const std::string change =
                entry.edit.key ? stepButton("edit " + entry.edit.section, "Edit") : std::string();
        rows.push_back({escapeHtml(entry.edit.section), escapeHtml(entry.edit.key.value_or("")),
                        oldCell(view, entry.edit), editCell(view, entry, i),
                        change + stepButton(fmt::format("undo {}", i), "Undo")});
    }
    return makeTable(fmt::format("{} edits, {} to {}", view.draft.edits.size(),
                                 range.begin < range.end ? range.begin + 1 : 0, range.end),
                     {"Section", "Key", "In force", "New value", "Action"}, rows);
}

// The validation errors that belong to no edit on this page.
std::string otherErrors(const DraftView &view, const ListRange &range)
{
    std::set<std::pair<std::string, std::string>> shown;
    for (std::size_t i = range.begin; i < range.end; ++i) {
        const ConfigEdit &edit = view.draft.edits[i].edit;
        shown.emplace(edit.section, edit.key.value_or(""));
    }
    std::vector<std::vector<std::string>> rows;
    std::size_t unlisted = 0;
    for (const ConfigError &error : view.preview.errors) {
        if (shown.contains({error.section, error.key})) {
            continue;
        }
        if (rows.size() == maxListedErrors) {
            ++unlisted;
            continue;
        }
        rows.push_back({escapeHtml(error.section), escapeHtml(error.key),
                        fmt::format("<span class=\"fault\">{}</span>", escapeHtml(describe(error))),
                        stepButton("edit " + error.section, "Edit")});
    }
    if (rows.empty()) {
        return {};
    }
    return makeTable(
            unlisted == 0 ? "Faults elsewhere in the document"
                          : fmt::format("Faults elsewhere in the document, and {} more", unlisted),
            {"Section", "Key", "Fault", "Action"}, rows);
}

std::string duration(Milliseconds time)
{
    const auto seconds = time.count() / 1000;
    return seconds < 120    ? fmt::format("{} s", seconds)
           : seconds < 7200 ? fmt::format("{} min", (seconds + 30) / 60)
                            : fmt::format("{} h {} min", seconds / 3600, seconds % 3600 / 60);
}

std::string costSection(const Forecast &forecast)
{
    if (!forecast.refusal.empty()) {
        return fmt::format("<p class=\"warning\" role=\"alert\">The fleet would refuse this change "
                           "now: {}</p>",
                           escapeHtml(forecast.refusal));
    }
    std::vector<std::vector<std::string>> pools;
    for (const PoolForecast &pool : forecast.pools) {
        pools.push_back({idLink("pool", pool.pool.text()), fmt::format("{}", pool.hosts),
                         fmt::format("{}", pool.maxAway), fmt::format("{}", pool.mostAway)});
    }
    std::string html = fmt::format(
            "<h2>Cost of the running waves under this draft</h2><p>Expected roll-out time {}; {} "
            "absences to come, {} of them moves. A forecast under the present demand; {} hosts "
            "have no planned absence.</p>",
            duration(forecast.rollout), forecast.absences, forecast.moves, forecast.blocked.size());
    html += makeTable("Hosts away at once", {"Pool", "Hosts", "Budget", "Most away at once"},
                      pools);
    std::vector<std::vector<std::string>> blocked;
    for (const BlockedForecast &host : forecast.blocked) {
        if (blocked.size() < rowsPerPage) {
            blocked.push_back({idLink("explain", host.host.text()), escapeHtml(host.reason)});
        }
    }
    return blocked.empty() ? html
                           : html
                                     + makeTable("Hosts that no absence can be planned for",
                                                 {"Host", "Why"}, blocked);
}

std::string publishFields(const DraftView &view)
{
    return fmt::format("<h2>Publish</h2><label for=\"author\">Your name, recorded with the change"
                       "</label><input id=\"author\" name=\"author\" maxlength=\"64\" "
                       "value=\"{}\"><p>{}</p>",
                       escapeHtml(view.author), stepButton("publish", "Publish", true));
}

std::string pager(const ListRange &range)
{
    if (range.pages == 1) {
        return {};
    }
    return fmt::format(
            "<p>Page {} of {} {}{}</p>", range.page + 1, range.pages,
            range.page > 0 ? stepButton(fmt::format("review {}", range.page - 1), "Previous page")
                           : std::string(),
            range.page + 1 < range.pages
                    ? stepButton(fmt::format("review {}", range.page + 1), "Next page")
                    : std::string());
}

std::string precedingChangesTable(const FleetState &fleet, std::uint64_t base)
{
    std::vector<std::vector<std::string>> rows;
    for (const ChangeDecision &change : fleet.changes) {
        if (change.granted && change.version > base) {
            rows.push_back({fmt::format("{}", change.version), escapeHtml(change.author),
                            idLink("explain", change.id.text())});
        }
    }
    return makeTable("Changes that took effect first", {"Version", "Author", "Change"}, rows);
}

std::string conflictTable(const FleetState &fleet, const Draft &draft)
{
    std::vector<std::vector<std::string>> rows;
    for (const DraftEdit &entry : draft.edits) {
        if (!hasConflict(entry, fleet.document) || rows.size() == rowsPerPage) {
            continue;
        }
        const std::string key = entry.edit.key.value_or("");
        const auto now = draftValue(Draft{}, fleet.document, entry.edit.section, key);
        rows.push_back({escapeHtml(entry.edit.section), escapeHtml(key),
                        escapeHtml(displayValue(entry.edit.section, key, entry.old)),
                        escapeHtml(displayValue(entry.edit.section, key, now)),
                        escapeHtml(displayValue(entry.edit.section, key, entry.edit.value))});
    }
    if (rows.empty()) {
        return "<p>They changed none of the values of this draft.</p>";
    }
    return makeTable("Values of this draft that they changed",
                     {"Section", "Key", "When you edited it", "In force now", "Your value"}, rows);
}

std::string outcomeText(const PublishReport &report)
{
    std::string text;
    switch (report.result) {
    case PublishResult::InForce:
        text = fmt::format("Version {} is in force.", report.version);
        break;
    case PublishResult::Refused:
        text = fmt::format("The change was refused: {}", report.reason);
        break;
    case PublishResult::Unknown:
        text = fmt::format("The log did not answer in time; the change may still take effect. "
                           "Look at the version in force before you publish again. {}",
                           report.reason);
        break;
    }
    if (report.stages > 1) {
        text += fmt::format(" {} of {} stages are in force.", report.stagesDone, report.stages);
    }
    return text;
}

}  // namespace

std::string reviewPage(const DraftView &view, const Forecaster &forecaster, std::string_view page)
{
    const ListRange range = listRange(view.draft.edits.size(), page);
    // The Enter key activates the first button of the form, so a hidden review button is first.
    std::string body = "<button name=\"do\" value=\"review 0\" hidden>Review</button>"
                       + editTable(view, range) + pager(range);
    if (!view.preview.errors.empty()) {
        body += fmt::format("<p class=\"warning\" role=\"alert\">The document has {} faults. It "
                            "can be published when they are corrected.</p>",
                            view.preview.errors.size())
                + otherErrors(view, range);
    } else if (!view.draft.edits.empty()) {
        body += costSection(forecaster(view.preview.document)) + publishFields(view);
    }
    return draftPage(view, "Review the draft", body);
}

std::string publishedPage(const PageContext &context, const FleetState &fleet, const Draft &draft,
                          const std::string &author, const PublishReport &report)
{
    std::string body = fmt::format("<p class=\"{}\" role=\"status\">{}</p>",
                                   report.result == PublishResult::InForce ? "notice" : "warning",
                                   escapeHtml(outcomeText(report)));
    if (!report.change.empty()) {
        body += fmt::format("<p>Change: {}</p>", idLink("explain", report.change));
    }
    if (report.result == PublishResult::InForce) {
        return makePage(context, "Published",
                        body + "<p><a href=\"/console/waves\">See the waves</a></p>");
    }
    const bool isOutdated = fleet.version > draft.baseVersion && report.stagesDone == 0;
    if (isOutdated) {
        body += fmt::format("<h2>Who won the race</h2><p>This draft was written from version {}, "
                            "and version {} is in force. Only a change against the version in "
                            "force is granted, so that no operator overwrites another unseen.</p>",
                            draft.baseVersion, fleet.version)
                + precedingChangesTable(fleet, draft.baseVersion) + conflictTable(fleet, draft);
    }
    const DraftPreview preview = previewDraft(draft, fleet.document);
    return draftPage({context, fleet.document, fleet.version, draft, preview, author},
                     isOutdated ? "Another change was first" : "Not published", body);
}

}  // namespace poplarstream::console
