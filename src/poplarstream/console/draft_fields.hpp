#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/console/draft_forms.hpp"  // for DraftView

namespace poplarstream::console {

// The errors of one field as HTML; empty if there are none. `id` is that of the element.
std::string faultNote(const DraftView &view, std::string_view section, std::string_view key,
                      const std::string &id);

// An input or a choice for a key with its value under the draft, without a label. A secret is never
// filled in. `id` is the id of the element.
std::string fieldInput(const DraftView &view, const std::string &section, std::string_view key,
                       const std::string &id);

// The unit or format of a key for operators.
std::string_view fieldHint(std::string_view kind, std::string_view key);

// Whether an empty field means an empty list, not the removal of the key.
bool isListKey(std::string_view key);

}  // namespace poplarstream::console
