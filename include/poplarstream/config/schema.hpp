#pragma once

#include <optional>  // for optional
#include <span>  // for span
#include <string_view>  // for string_view

namespace poplarstream {

// The kinds of sections in the order of the design page, first those of the fleet's configuration,
// then those of the settings of a process.
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

// The keys of a kind, in the order in which they are written.
std::span<const std::string_view> keysOf(SectionKind kind);

// The position of the key in keysOf(), or its size for an unknown key.
int keyRank(std::string_view kind, std::string_view key);

}  // namespace poplarstream
