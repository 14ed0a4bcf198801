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

// The value of the pressed button: "list host 2" is the verb "list" with the argument "host 2".
struct Step
{
    std::string verb;
    std::string argument;
};

Step parseStep(const std::string &text)
{
    const std::size_t space = text.find(' ');
    return {text.substr(0, space),
            space == std::string::npos ? std::string() : text.substr(space + 1)};
}

// An argument is a section kind, then optionally a space and a page number.
std::string kindOf(const std::string &argument)
{
    return argument.substr(0, argument.find(' '));
}

std::string pageOf(const std::string &argument)
{
    const std::size_t space = argument.find(' ');
    return space == std::string::npos ? std::string() : argument.substr(space + 1);
}

std::string authorFrom(const Form &form)
{
    std::string author = form.value("author").substr(0, maxAuthorBytes);
    std::erase_if(author, [](char c) { return static_cast<unsigned char>(c) < 0x20; });
    return author;
}

// Handles one form post and applies its changes to the draft.
struct DraftFormHandler
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

    DraftResponse show(const std::function<std::string(const DraftView &)> &page) const
    {
        const DraftPreview preview = previewDraft(draft, fleet.document);
        return {.text = page(view(preview)), .draft = draft};
    }

    DraftResponse start(std::string_view message = {}) const
    {
        return show([&](const DraftView &view) { return draftStartPage(view, message); });
    }

    DraftResponse review(const std::string &page) const
    {
        return show([&](const DraftView &view) { return reviewPage(view, forecaster, page); });
    }

    DraftResponse list(const std::string &argument) const
    {
        return show([&](const DraftView &view) {
            return sectionListPage(view, kindOf(argument), form.value("filter"), pageOf(argument));
        });
    }

    DraftResponse grid(const std::string &argument) const
    {
        return show([&](const DraftView &view) {
            return gridPage(view, kindOf(argument), form.value("filter"), pageOf(argument));
        });
    }

    DraftResponse edit(const std::string &section) const
    {
        return show([&](const DraftView &view) { return sectionPage(view, section); });
    }

    // Applies all fields that set keys. Returns the sections that the form contained.
    std::set<std::string> applyFields()
    {
        const std::string name = form.value("name");
        // Drops the edits of an earlier save of a new section without a name.
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
            const bool isUnchanged = value.empty() && (isSecret(section, key) || !present);
            if (!isUnchanged) {
                const bool isRemoval = value.empty() && !isListKey(key);
                setDraftValue(draft, fleet.document, section, key,
                              isRemoval ? std::nullopt : std::optional(value));
            }
        }
        return sections;
    }

    DraftResponse save()
    {
        const std::set<std::string> sections = applyFields();
        const DraftPreview preview = previewDraft(draft, fleet.document);
        const bool hasErrors = std::any_of(
                preview.errors.begin(), preview.errors.end(),
                [&](const ConfigError &error) { return sections.contains(error.section); });
        if (!hasErrors || sections.empty()) {
            return review({});
        }
        const std::string gridStep = form.value("grid");
        return gridStep.empty() ? edit(*sections.begin()) : grid(gridStep);
    }

    DraftResponse undo(const std::string &number)
    {
        std::size_t index = draft.edits.size();
        std::from_chars(number.data(), number.data() + number.size(), index);
        if (index < draft.edits.size()) {
            draft.edits.erase(draft.edits.begin() + static_cast<std::ptrdiff_t>(index));
        }
        return review({});
    }

    DraftResponse upload()
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

    DraftResponse publish() const
    {
        DraftPreview preview = previewDraft(draft, fleet.document);
        const bool isOutdated = draft.baseVersion != fleet.version;
        if (draft.edits.empty() || (!preview.errors.empty() && !isOutdated)) {
            return review({});
        }
        const std::string author = authorFrom(form);
        return {.action = DraftAction::Publish,
                .draft = draft,
                .targetDocument = std::move(preview.document),
                .author = author.empty() ? "console" : author};
    }
};

}  // namespace

DraftResponse handleDraftForm(const PageContext &context, const FleetState &fleet, const Form &form,
                              const Forecaster &forecaster)
{
    const Step step = parseStep(form.value("do"));
    DraftFormHandler handler{context, fleet, form, forecaster, Draft{fleet.version, {}}};
    if (const auto text = form.find("draft"); text && step.verb != "discard") {
        auto draft = decodeDraft(*text);
        if (!draft) {
            return handler.start("The draft of the page could not be read; this is a new one.");
        }
        handler.draft = std::move(*draft);
    }
    const bool hasKind = isEditableKind(kindOf(step.argument));
    if (step.verb == "list" && hasKind) {
        return handler.list(step.argument);
    }
    if (step.verb == "grid"
        && (step.argument.starts_with("pool") || step.argument.starts_with("tenant"))) {
        return handler.grid(step.argument);
    }
    if (step.verb == "edit" && hasKind) {
        return handler.edit(step.argument);
    }
    if (step.verb == "remove" && hasKind) {
        removeDraftSection(handler.draft, fleet.document, step.argument);
        return handler.review({});
    }
    if (step.verb == "save") {
        return handler.save();
    }
    if (step.verb == "undo") {
        return handler.undo(step.argument);
    }
    if (step.verb == "review") {
        return handler.review(step.argument);
    }
    if (step.verb == "rebase") {
        handler.draft = rebaseDraft(handler.draft, fleet.version, fleet.document);
        return handler.review({});
    }
    if (step.verb == "upload") {
        return handler.upload();
    }
    if (step.verb == "download") {
        return {.action = DraftAction::Download,
                .text = formatDocument(previewDraft(handler.draft, fleet.document).document)};
    }
    return step.verb == "publish" ? handler.publish() : handler.start();
}

}  // namespace poplarstream::console
