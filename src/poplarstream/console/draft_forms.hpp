#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/console/draft.hpp"  // for Draft, DraftPreview
#include "poplarstream/console/page.hpp"  // for PageContext

namespace poplarstream::console {

// What the pages of a draft are made from. All parts outlive the view.
struct DraftView
{
    const PageContext &context;
    const ConfigDocument &inForce;
    std::uint64_t version = 0;  // of the document in force
    const Draft &draft;
    const DraftPreview &preview;
    std::string author;
};

// The kinds of sections with a form, in the order of their buttons.
bool isEditableKind(std::string_view kind);

// A submit button with the step that it asks for.
std::string stepButton(std::string_view step, std::string_view label, bool isMain = false);

// A page of the draft: `body` is HTML inside the one form, which carries the draft.
std::string draftPage(const DraftView &view, std::string_view title, const std::string &body);

// The start: buttons for all kinds, the upload, and the number of edits so far.
std::string draftStartPage(const DraftView &view, std::string_view message);

// The sections of a kind whose text contains `filter`, with buttons to edit and remove.
std::string sectionListPage(const DraftView &view, std::string_view kind, std::string_view filter,
                            std::string_view page);

// The fields of one section, with each fault beside its field. For a new section `section` is the
// kind and a blank.
std::string sectionPage(const DraftView &view, const std::string &section);

// The fields of `keys` for all sections of a kind in one table: budgets and quotas.
std::string gridPage(const DraftView &view, std::string_view kind, std::string_view filter,
                     std::string_view page);

// The name of the field that sets a key of a section, and its inverse.
std::string fieldName(std::string_view section, std::string_view key);
bool readFieldName(std::string_view name, std::string &section, std::string &key);

}  // namespace poplarstream::console
