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

// An edit and the value that was in force when the edit was made. The old value of a secret is not
// stored.
struct DraftEdit
{
    ConfigEdit edit;
    std::optional<std::string> old;

    friend bool operator==(const DraftEdit &, const DraftEdit &) = default;
};

// The unpublished edits of an operator. Each page carries the draft in a hidden field, since the
// next request may reach another entry host. There is at most one edit for each (section, key), and
// one for the removal of a section.
struct Draft
{
    std::uint64_t baseVersion = 0;
    std::vector<DraftEdit> edits;

    friend bool operator==(const Draft &, const Draft &) = default;
};

// Encodes a draft as JSON in ASCII without line breaks, so that a form post returns the same bytes.
std::string encodeDraft(const Draft &draft);

// Decodes untrusted input; nullopt if it is not a valid draft.
std::optional<Draft> decodeDraft(std::string_view text);

// The document that results from a draft, with all its validation errors.
struct DraftPreview
{
    ConfigDocument document;
    ConfigErrors errors;
};

DraftPreview previewDraft(const Draft &draft, const ConfigDocument &inForce);

// The value of a key with the draft applied, whether or not it is valid.
std::optional<std::string> draftValue(const Draft &draft, const ConfigDocument &inForce,
                                      std::string_view section, std::string_view key);

// Whether the draft removes the whole section.
bool removesSection(const Draft &draft, std::string_view section);

// Sets a key, or removes it if there is no value. An edit equal to the value in force is dropped.
void setDraftValue(Draft &draft, const ConfigDocument &inForce, const std::string &section,
                   const std::string &key, std::optional<std::string> value);

// Removes a section with all its keys.
void removeDraftSection(Draft &draft, const ConfigDocument &inForce, const std::string &section);

// The edits that turn the document in force into `target`.
Draft draftFromDocument(std::uint64_t version, const ConfigDocument &inForce,
                        const ConfigDocument &target);

// Rebases the draft onto the version in force. Edits that are already in force are dropped.
Draft rebaseDraft(const Draft &draft, std::uint64_t version, const ConfigDocument &inForce);

// Whether the value that the edit replaces has changed since the edit was made. Always false for
// secrets, whose old values are not stored.
bool hasConflict(const DraftEdit &edit, const ConfigDocument &inForce);

// True for tenants' tokens.
bool isSecret(std::string_view section, std::string_view key);

// The value for display: "set" or "not set" for a secret.
std::string displayValue(std::string_view section, std::string_view key,
                         const std::optional<std::string> &value);

}  // namespace poplarstream::console
