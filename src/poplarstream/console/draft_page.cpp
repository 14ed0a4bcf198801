#include "poplarstream/console/draft_page.hpp"

#include <algorithm>  // for any_of
#include <charconv>  // for from_chars
#include <set>  // for set

#include <fmt/format.h>  // for format

#include "poplarstream/config/ini.hpp"  // for parseDocument, formatDocument
#include "poplarstream/console/draft_fields.hpp"  // for isListKey
#include "poplarstream/console/draft_forms.hpp"  // for DraftView
#include "poplarstream/console/draft_review.hpp"  // for reviewPage

namespace poplarstream::console {

namespace {

constexpr std::size_t maxAuthorBytes = 64;

// The pressed button: "list host 2" is the verb "list" with the rest "host 2".
struct Step
{
    std::string verb;
    std::string rest;
};

Step stepFrom(const std::string &text)
{
    const std::size_t blank = text.find(' ');
    return {text.substr(0, blank),
            blank == std::string::npos ? std::string() : text.substr(blank + 1)};
}

// The part of `rest` up to the first blank is the kind, what follows is the page.
std::string kindOf(const std::string &rest)
{
    return rest.substr(0, rest.find(' '));
}

std::string pageOf(const std::string &rest)
{
    const std::size_t blank = rest.find(' ');
    return blank == std::string::npos ? std::string() : rest.substr(blank + 1);
}

std::string authorFrom(const Form &form)
{
    std::string author = form.value("author").substr(0, maxAuthorBytes);
    std::erase_if(author, [](char c) { return static_cast<unsigned char>(c) < 0x20; });
    return author;
}

// A step with all that it needs; the draft changes as the step asks.
struct Session
{
    const PageContext &context;
    const FleetState &fleet;
    const Form &form;
    const Forecaster &forecaster;
    Draft draft;

    DraftView view(const DraftPreview &preview) const
    {
        return {context, fleet.document, fleet.version, draft, preview, authorFrom(form)};
    }

    DraftReply show(const std::function<std::string(const DraftView &)> &page) const
    {
        const DraftPreview preview = previewDraft(draft, fleet.document);
        return {.text = page(view(preview)), .draft = draft};
    }

    DraftReply start(std::string_view message = {}) const
    {
        return show([&](const DraftView &view) { return draftStartPage(view, message); });
    }

    DraftReply review(const std::string &page) const
    {
        return show([&](const DraftView &view) { return reviewPage(view, forecaster, page); });
    }

    DraftReply list(const std::string &rest) const
    {
        return show([&](const DraftView &view) {
            return sectionListPage(view, kindOf(rest), form.value("filter"), pageOf(rest));
        });
    }

    DraftReply grid(const std::string &rest) const
    {
        return show([&](const DraftView &view) {
            return gridPage(view, kindOf(rest), form.value("filter"), pageOf(rest));
        });
    }

    DraftReply edit(const std::string &section) const
    {
        return show([&](const DraftView &view) { return sectionPage(view, section); });
    }

    // Applies all fields that set keys. Returns the sections that were in the form.
    std::set<std::string> applyFields()
    {
        const std::string name = form.value("name");
        // What an earlier save without a name left behind.
        std::erase_if(draft.edits,
                      [](const DraftEdit &entry) { return entry.edit.section.ends_with(' '); });
        std::set<std::string> sections;
        for (const auto &[field, value] : form.fields()) {
            std::string section;
            std::string key;
            if (!readFieldName(field, section, key)) {
                continue;
            }
            if (section.ends_with(' ')) {
                section = section == "fleet " ? "fleet" : section.append(name);
            }
            sections.insert(section);
            const auto present = draftValue(draft, fleet.document, section, key);
            const bool isKept = value.empty() && (isSecret(section, key) || !present);
            if (!isKept) {
                const bool isRemoval = value.empty() && !isListKey(key);
                setDraftValue(draft, fleet.document, section, key,
                              isRemoval ? std::nullopt : std::optional(value));
            }
        }
        return sections;
    }

    DraftReply save()
    {
        const std::set<std::string> sections = applyFields();
        const DraftPreview preview = previewDraft(draft, fleet.document);
        const bool hasFaults = std::any_of(
                preview.errors.begin(), preview.errors.end(),
                [&](const ConfigError &fault) { return sections.contains(fault.section); });
        if (!hasFaults || sections.empty()) {
            return review({});
        }
        const std::string gridStep = form.value("grid");
        return gridStep.empty() ? edit(*sections.begin()) : grid(gridStep);
    }

    DraftReply undo(const std::string &number)
    {
        std::size_t index = draft.edits.size();
        std::from_chars(number.data(), number.data() + number.size(), index);
        if (index < draft.edits.size()) {
            draft.edits.erase(draft.edits.begin() + static_cast<std::ptrdiff_t>(index));
        }
        return review({});
    }

    DraftReply upload()
    {
        const std::string file = form.value("file");
        const ParsedDocument parsed = parseDocument(file.empty() ? form.value("document") : file);
        if (!parsed.errors.empty()) {
            return start("The document can not be read: " + describe(parsed.errors));
        }
        if (parsed.document.isEmpty()) {
            return start("The document is empty. Choose a file or paste its text.");
        }
        draft = draftFromDocument(fleet.version, fleet.document, parsed.document);
        return review({});
    }

    DraftReply publish() const
    {
        DraftPreview preview = previewDraft(draft, fleet.document);
        const bool isStale = draft.baseVersion != fleet.version;
        if (draft.edits.empty() || (!preview.errors.empty() && !isStale)) {
            return review({});
        }
        const std::string author = authorFrom(form);
        return {.action = DraftAction::Publish,
                .draft = draft,
                .wanted = std::move(preview.document),
                .author = author.empty() ? "console" : author};
    }
};

}  // namespace

DraftReply draftStep(const PageContext &context, const FleetState &fleet, const Form &form,
                     const Forecaster &forecaster)
{
    const Step step = stepFrom(form.value("do"));
    Session session{context, fleet, form, forecaster, Draft{fleet.version, {}}};
    if (const auto text = form.find("draft"); text && step.verb != "discard") {
        auto draft = decodeDraft(*text);
        if (!draft) {
            return session.start("The draft of the page could not be read; this is a new one.");
        }
        session.draft = std::move(*draft);
    }
    const bool hasKind = isEditableKind(kindOf(step.rest));
    if (step.verb == "list" && hasKind) {
        return session.list(step.rest);
    }
    if (step.verb == "grid" && (step.rest.starts_with("pool") || step.rest.starts_with("tenant"))) {
        return session.grid(step.rest);
    }
    if (step.verb == "edit" && hasKind) {
        return session.edit(step.rest);
    }
    if (step.verb == "remove" && hasKind) {
        removeDraftSection(session.draft, fleet.document, step.rest);
        return session.review({});
    }
    if (step.verb == "save") {
        return session.save();
    }
    if (step.verb == "undo") {
        return session.undo(step.rest);
    }
    if (step.verb == "review") {
        return session.review(step.rest);
    }
    if (step.verb == "rebase") {
        session.draft = carriedOver(session.draft, fleet.version, fleet.document);
        return session.review({});
    }
    if (step.verb == "upload") {
        return session.upload();
    }
    if (step.verb == "download") {
        return {.action = DraftAction::Download,
                .text = formatDocument(previewDraft(session.draft, fleet.document).document)};
    }
    return step.verb == "publish" ? session.publish() : session.start();
}

}  // namespace poplarstream::console
