#pragma once

#include <cstdint>  // for uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/records/control_record.hpp"  // for ConfigEdit

namespace poplarstream::console {

// An edit and the value that it replaces, as in force when the edit was made. The old value of a
// secret is not kept.
struct DraftEdit
{
    ConfigEdit edit;
    std::optional<std::string> old;

    friend bool operator==(const DraftEdit &, const DraftEdit &) = default;
};

// Edits that an operator has gathered and not published. A page carries the draft in a hidden
// field, since the next request may reach another entry host. There is at most one edit for each
// (section, key), and one for the removal of a section.
struct Draft
{
    std::uint64_t baseVersion = 0;
    std::vector<DraftEdit> edits;

    friend bool operator==(const Draft &, const Draft &) = default;
};

// ASCII text without line breaks, so that a form post returns the same bytes.
std::string encodeDraft(const Draft &draft);

// The inverse, for bytes from outside; nothing if they are no draft.
std::optional<Draft> decodeDraft(std::string_view text);

// The document that the draft leads to and everything that is wrong with it.
struct DraftPreview
{
    ConfigDocument document;
    ConfigErrors errors;
};

DraftPreview previewDraft(const Draft &draft, const ConfigDocument &inForce);

// The value of a key under the draft, also where the draft has errors.
std::optional<std::string> draftValue(const Draft &draft, const ConfigDocument &inForce,
                                      std::string_view section, std::string_view key);

// Whether the draft removes the whole section.
bool removesSection(const Draft &draft, std::string_view section);

// Sets a key, or removes it when there is no value. An edit that changes nothing is dropped.
void setDraftValue(Draft &draft, const ConfigDocument &inForce, const std::string &section,
                   const std::string &key, std::optional<std::string> value);

// Removes a section with all its keys.
void removeDraftSection(Draft &draft, const ConfigDocument &inForce, const std::string &section);

// The draft that turns the document in force into another one.
Draft draftFromDocument(std::uint64_t version, const ConfigDocument &inForce,
                        const ConfigDocument &wanted);

// Takes the edits over to the version in force. Edits that it holds already are dropped.
Draft carriedOver(const Draft &draft, std::uint64_t version, const ConfigDocument &inForce);

// Whether another change has touched what the edit replaces since it was made. False for secrets,
// whose old values are not known.
bool isOvertaken(const DraftEdit &edit, const ConfigDocument &inForce);

// Tenants' tokens.
bool isSecret(std::string_view section, std::string_view key);

// The value as pages show it: "set" or "not set" for a secret.
std::string shownValue(std::string_view section, std::string_view key,
                       const std::optional<std::string> &value);

}  // namespace poplarstream::console
