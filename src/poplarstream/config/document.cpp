#include "poplarstream/config/document.hpp"

#include <algorithm>  // for find_if
#include <utility>  // for pair

#include "poplarstream/config/schema.hpp"  // for sectionKind, keyRank

namespace poplarstream {

SectionId::SectionId(std::string text)
    : text_(std::move(text))
{
    const auto known = sectionKind(kind());
    rank_ = known ? static_cast<int>(*known) : sectionKindCount;
}

std::string_view SectionId::kind() const
{
    return std::string_view(text_).substr(0, text_.find(' '));
}

std::string_view SectionId::name() const
{
    const std::size_t space = text_.find(' ');
    return space == std::string::npos ? std::string_view{}
                                      : std::string_view(text_).substr(space + 1);
}

const std::string *valueOf(const ConfigSection &section, std::string_view key)
{
    const auto at = std::find_if(section.entries.begin(), section.entries.end(),
                                 [&](const ConfigEntry &entry) { return entry.key == key; });
    return at == section.entries.end() ? nullptr : &at->value;
}

void setEntry(ConfigSection &section, std::string_view key, std::string value)
{
    const std::string_view kind = section.id.kind();
    const auto place = std::pair(keyRank(kind, key), key);
    auto at = section.entries.end();
    while (at != section.entries.begin()) {
        const auto before =
                std::pair(keyRank(kind, (at - 1)->key), std::string_view((at - 1)->key));
        if (before == place) {
            (at - 1)->value = std::move(value);
            return;
        }
        if (before < place) {
            break;
        }
        --at;
    }
    section.entries.insert(at, ConfigEntry{std::string(key), std::move(value)});
}

bool removeEntry(ConfigSection &section, std::string_view key)
{
    return std::erase_if(section.entries,
                         [&](const ConfigEntry &entry) { return entry.key == key; })
           > 0;
}

}  // namespace poplarstream
