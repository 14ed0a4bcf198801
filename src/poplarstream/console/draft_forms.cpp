#include "poplarstream/console/draft_forms.hpp"

#include <algorithm>  // for any_of, find

#include <fmt/format.h>  // for format

#include "poplarstream/config/schema.hpp"  // for keysOf, sectionKind
#include "poplarstream/console/draft_fields.hpp"  // for fieldInput, faultNote
#include "poplarstream/console/html.hpp"  // for escapeHtml, encodeUrl

namespace poplarstream::console {

namespace {

constexpr std::pair<std::string_view, std::string_view> kinds[] = {
        {"fleet", "Fleet"},      {"zone", "Zones"},     {"rack", "Racks"}, {"pool", "Pools"},
        {"service", "Services"}, {"tenant", "Tenants"}, {"host", "Hosts"}, {"wave", "Waves"},
};

constexpr std::string_view fieldPrefix = "set:";

// Sections of the kind under the draft, with those that the draft removes or can not build.
std::vector<std::string> sectionsOf(const DraftView &view, std::string_view kind,
                                    std::string_view filter)
{
    std::vector<std::string> sections;
    const auto add = [&](const std::string &section) {
        if (section.substr(0, section.find(' ')) == kind
            && section.find(filter) != std::string::npos) {
            sections.push_back(section);
        }
    };
    for (const ConfigSection &section : view.preview.document) {
        add(section.id.text());
    }
    for (const auto &[edit, old] : view.draft.edits) {
        const bool isLast = !sections.empty() && sections.back() == edit.section;
        if (!isLast && !view.preview.document.contains(SectionId(edit.section))) {
            add(edit.section);
        }
    }
    return sections;
}

std::string summaryOf(const DraftView &view, const std::string &section)
{
    if (removesSection(view.draft, section)) {
        return "removed by this draft";
    }
    const ConfigSection *found = view.preview.document.find(SectionId(section));
    std::string text;
    if (found != nullptr) {
        for (const ConfigEntry &entry : found->entries) {
            text += fmt::format("{}{}={}", text.empty() ? "" : ", ", entry.key,
                                shownValue(section, entry.key, entry.value));
        }
    }
    return escapeHtml(text);
}

std::string filterField(std::string_view kind, std::string_view filter, std::string_view step)
{
    return fmt::format("<label for=\"filter\">Filter by name</label>"
                       "<input id=\"filter\" name=\"filter\" value=\"{}\">{}",
                       escapeHtml(filter), stepButton(fmt::format("{} {}", step, kind), "Filter"));
}

std::string pageButtons(const ListRange &range, std::string_view step)
{
    std::string html = fmt::format("<p>Page {} of {} ", range.page + 1, range.pages);
    if (range.page > 0) {
        html += stepButton(fmt::format("{} {}", step, range.page - 1), "Previous page");
    }
    if (range.page + 1 < range.pages) {
        html += stepButton(fmt::format("{} {}", step, range.page + 1), "Next page");
    }
    return html + "</p>";
}

std::string kindButtons()
{
    std::string html;
    for (const auto &[kind, label] : kinds) {
        html += stepButton(fmt::format("list {}", kind), label);
    }
    html += stepButton("grid pool", "Budgets");
    html += stepButton("grid tenant", "Quotas");
    return html;
}

std::string staleNotice(const DraftView &view)
{
    if (view.draft.baseVersion == view.version) {
        return {};
    }
    return fmt::format("<p class=\"warning\">Version {} is in force, but this draft was written "
                       "from version {}. It can be published after it is carried over. {}</p>",
                       view.version, view.draft.baseVersion,
                       stepButton("rebase", "Carry the draft over"));
}

std::vector<std::string_view> gridKeys(std::string_view kind)
{
    return kind == "pool" ? std::vector<std::string_view>{"max_away", "spare"}
                          : std::vector<std::string_view>{"weight", "quota"};
}

}  // namespace

bool isEditableKind(std::string_view kind)
{
    return std::any_of(std::begin(kinds), std::end(kinds),
                       [&](const auto &entry) { return entry.first == kind; });
}

std::string stepButton(std::string_view step, std::string_view label, bool isMain)
{
    return fmt::format("<button name=\"do\" value=\"{}\"{}>{}</button>", escapeHtml(step),
                       isMain ? " class=\"main\"" : "", escapeHtml(label));
}

std::string draftPage(const DraftView &view, std::string_view title, const std::string &body)
{
    PageContext context = view.context;
    context.keepsDraft = true;
    // multipart/form-data keeps the size of a large draft, and a browser can upload a file.
    return makePage(context, title,
                    fmt::format("<form method=\"post\" action=\"/console/draft\" "
                                "enctype=\"multipart/form-data\">{}"
                                "<input type=\"hidden\" name=\"draft\" value=\"{}\">{}{}"
                                "<h2>Draft</h2><p>{} edits, {} faults. {}{}{}</p>"
                                "<p>{}</p></form>",
                                formTokenField(context), escapeHtml(encodeDraft(view.draft)), body,
                                staleNotice(view), view.draft.edits.size(),
                                view.preview.errors.size(), stepButton("review 0", "Review"),
                                stepButton("start", "Start page"),
                                stepButton("discard", "Discard the draft"), kindButtons()));
}

std::string draftStartPage(const DraftView &view, std::string_view message)
{
    const std::string notice = message.empty()
                                       ? std::string()
                                       : fmt::format("<p class=\"warning\" role=\"alert\">{}</p>",
                                                     escapeHtml(message));
    return draftPage(
            view, "Change the configuration",
            notice
                    + fmt::format(
                            "<p>Edits gather in a draft, which this page keeps: nothing changes "
                            "until it is published. Choose what to edit:</p><p>{}</p>"
                            "<h2>Document</h2><p><a href=\"/document\" download=\"fleet.ini\">"
                            "Download the document in force</a> (with the tenants' tokens) {}</p>"
                            "<label for=\"file\">Document to upload (replaces the draft)</label>"
                            "<input id=\"file\" name=\"file\" type=\"file\">"
                            "<label for=\"document\">or its text</label>"
                            "<textarea id=\"document\" name=\"document\" rows=\"6\"></textarea>"
                            "<p>{}</p>",
                            kindButtons(),
                            stepButton("download", "Download the document of the draft"),
                            stepButton("upload", "Compare with the version in force")));
}

std::string sectionListPage(const DraftView &view, std::string_view kind, std::string_view filter,
                            std::string_view page)
{
    const auto sections = sectionsOf(view, kind, filter);
    const ListRange range = listRange(sections.size(), page);
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = range.begin; i < range.end; ++i) {
        rows.push_back({escapeHtml(sections[i]), summaryOf(view, sections[i]),
                        stepButton("edit " + sections[i], "Edit")
                                + stepButton("remove " + sections[i], "Remove")});
    }
    return draftPage(
            view, fmt::format("Edit: {}", kind),
            filterField(kind, filter, "list")
                    + stepButton(fmt::format("edit {} ", kind), fmt::format("New {}", kind))
                    + makeTable(fmt::format("{} sections of kind {}", sections.size(), kind),
                                {"Section", "Values under the draft", "Action"}, rows)
                    + pageButtons(range, fmt::format("list {}", kind)));
}

std::string sectionPage(const DraftView &view, const std::string &section)
{
    const std::string kind = section.substr(0, section.find(' '));
    const bool isNew = section == kind + " ";
    std::string body;
    if (isNew && kind != "fleet") {
        body += fmt::format("<label for=\"name\">Name of the new {}</label>"
                            "<input id=\"name\" name=\"name\">"
                            "<div class=\"hint\">1 to 64 letters, digits, '.', '_' or '-'.</div>",
                            kind);
    }
    body += faultNote(view, section, "", "section-fault");
    const auto known = sectionKind(kind);
    for (const std::string_view key :
         known ? keysOf(*known) : std::span<const std::string_view>()) {
        const std::string id = fmt::format("field-{}", key);
        body += fmt::format("<label for=\"{}\">{}</label>{}<div class=\"hint\">{}</div>", id, key,
                            fieldInput(view, isNew ? kind + " " : section, key, id),
                            escapeHtml(fieldHint(kind, key)));
    }
    body += fmt::format("<input type=\"hidden\" name=\"section\" value=\"{}\"><p>{}</p>",
                        escapeHtml(section), stepButton("save", "Save into the draft", true));
    return draftPage(view, isNew ? "New " + kind : section, body);
}

std::string gridPage(const DraftView &view, std::string_view kind, std::string_view filter,
                     std::string_view page)
{
    const auto sections = sectionsOf(view, kind, filter);
    const ListRange range = listRange(sections.size(), page);
    const auto keys = gridKeys(kind);
    std::vector<std::string_view> heads = {"Section"};
    heads.insert(heads.end(), keys.begin(), keys.end());
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = range.begin; i < range.end; ++i) {
        std::vector<std::string> row = {escapeHtml(sections[i])};
        for (const std::string_view key : keys) {
            const std::string id = fmt::format("field-{}-{}", i, key);
            row.push_back(fmt::format("<label for=\"{}\" class=\"hint\">{}</label>{}", id, key,
                                      fieldInput(view, sections[i], key, id)));
        }
        rows.push_back(std::move(row));
    }
    const bool isPools = kind == "pool";
    return draftPage(view, isPools ? "Budgets" : "Quotas",
                     filterField(kind, filter, "grid")
                             + makeTable(isPools ? "Hosts that may be away at the same time"
                                                 : "Weights, and quotas in requests a second",
                                         heads, rows)
                             + fmt::format("<input type=\"hidden\" name=\"grid\" value=\"{} {}\">",
                                           escapeHtml(kind), range.page)
                             + stepButton("save", "Save into the draft", true)
                             + pageButtons(range, fmt::format("grid {}", kind)));
}

std::string fieldName(std::string_view section, std::string_view key)
{
    return fmt::format("{}{}:{}", fieldPrefix, encodeUrl(key), encodeUrl(section));
}

bool readFieldName(std::string_view name, std::string &section, std::string &key)
{
    if (!name.starts_with(fieldPrefix)) {
        return false;
    }
    name.remove_prefix(fieldPrefix.size());
    const std::size_t colon = name.find(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    key = decodeUrl(name.substr(0, colon));
    section = decodeUrl(name.substr(colon + 1));
    return true;
}

}  // namespace poplarstream::console
