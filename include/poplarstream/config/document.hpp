#pragma once

#include <compare>  // for strong_ordering
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/config/shared_table.hpp"  // for SharedTable

namespace poplarstream {

// The heading of a section, "kind name" or "kind" alone. Ordered by kind as listed on the design
// page (unknown kinds last), then by text, so that each document has one canonical form.
class SectionId
{
public:
    SectionId() = default;
    explicit SectionId(std::string text);

    const std::string &text() const { return text_; }
    // The part before the first space.
    std::string_view kind() const;
    // The part after the first space; empty for a section without a name.
    std::string_view name() const;

    // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const SectionId &, const SectionId &) = default;

private:
    int rank_ = 0;
    std::string text_;
};

struct ConfigEntry
{
    std::string key;
    std::string value;

    friend bool operator==(const ConfigEntry &, const ConfigEntry &) = default;
};

// A section. Its entries are in the key order of the design page, unknown keys last.
struct ConfigSection
{
    SectionId id;
    std::vector<ConfigEntry> entries;

    friend bool operator==(const ConfigSection &, const ConfigSection &) = default;
};

// Returns the value of `key`, or null if the section lacks it.
const std::string *valueOf(const ConfigSection &section, std::string_view key);

// Inserts or replaces one entry and keeps the entries ordered.
void setEntry(ConfigSection &section, std::string_view key, std::string value);

// Removes the entry of `key`. Returns false if there was none.
bool removeEntry(ConfigSection &section, std::string_view key);

// A configuration document: sections with at least one entry each, ordered by heading.
using ConfigDocument = SharedTable<ConfigSection>;

}  // namespace poplarstream
