#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

namespace poplarstream {

// The kinds of sections in the order of the design page: first those of the fleet configuration,
// then those of the process settings.
enum class SectionKind {
    Fleet,
    Zone,
    Rack,
    Pool,
    Service,
    Tenant,
    Host,
    Wave,
    EntryHost,
    Listen,
    Platform,
    Peers,
    Limits,
    Tokens,
};

inline constexpr int sectionKindCount = 14;

std::optional<SectionKind> sectionKind(std::string_view text);
std::string_view sectionKindText(SectionKind kind);

// The keys of a section kind, in the order in which they are written.
std::span<const std::string_view> keysOf(SectionKind kind);

// The index of the key in keysOf(kind), or the number of keys if the key is unknown.
int keyRank(std::string_view kind, std::string_view key);

}  // namespace poplarstream
