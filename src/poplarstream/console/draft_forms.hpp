#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/console/draft.hpp"  // for Draft, DraftPreview
#include "poplarstream/console/page.hpp"  // for PageContext

namespace poplarstream::console {

// The data that the draft pages show. Referenced objects must outlive the view.
struct DraftView
{
    const PageContext &context;
    const ConfigDocument &inForce;
    std::uint64_t version = 0;  // of the document in force
    const Draft &draft;
    const DraftPreview &preview;
    std::string author;
};

// Whether sections of this kind can be edited with a form.
bool isEditableKind(std::string_view kind);

// A submit button that posts `step` in the field "do".
std::string stepButton(std::string_view step, std::string_view label, bool isMain = false);

// A draft page: `body` is HTML inside the page's single form, which carries the draft.
std::string draftPage(const DraftView &view, std::string_view title, const std::string &body);

// The start page: buttons for all section kinds, the upload, and the number of edits.
std::string draftStartPage(const DraftView &view, std::string_view message);

// The sections of a kind whose name contains `filter`, with buttons to edit and remove them.
std::string sectionListPage(const DraftView &view, std::string_view kind, std::string_view filter,
                            std::string_view page);

// The fields of one section, each with its validation errors. For a new section, `section` is the
// kind followed by a space.
std::string sectionPage(const DraftView &view, const std::string &section);

// One table to edit the budgets of all pools, or the weights and quotas of all tenants.
std::string gridPage(const DraftView &view, std::string_view kind, std::string_view filter,
                     std::string_view page);

// The name of the form field that sets a key of a section, and its parser.
std::string fieldName(std::string_view section, std::string_view key);
bool readFieldName(std::string_view name, std::string &section, std::string &key);

}  // namespace poplarstream::console
