#pragma once

#include <cstdint>  // for uint64_t
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <utility>  // for pair
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for Id
#include "poplarstream/config/address.hpp"  // for Address
#include "poplarstream/config/config_error.hpp"  // for ConfigErrors
#include "poplarstream/config/document.hpp"  // for ConfigSection
#include "poplarstream/config/schema.hpp"  // for SectionKind

namespace poplarstream {

// Whether a text may be used as a name: 1 to 64 letters, digits, '.', '_' and '-'.
bool isName(std::string_view text);

// Reads the values of one section and lists what is wrong with them. A value that can not be read
// is reported and replaced by the default, so that all errors of a section are found in one pass.
class SectionReader
{
public:
    SectionReader(const ConfigSection &section, ConfigErrors &errors)
        : section_(section)
        , errors_(errors)
    {}

    // Whether the section has this key.
    bool has(std::string_view key) const { return valueOf(section_, key) != nullptr; }

    // A text that is not empty; required. It is not shown in errors, since it may be a token.
    std::string text(std::string_view key);
    template <class Id>
    Id name(std::string_view key)
    {
        return Id(nameText(key));
    }
    // Names separated by commas, each once; without a default for a missing key, it is required.
    template <class Id>
    std::vector<Id> names(std::string_view key, bool required)
    {
        std::vector<Id> ids;
        for (std::string &item : nameTexts(key, required)) {
            ids.emplace_back(std::move(item));
        }
        return ids;
    }
    bool yesNo(std::string_view key, bool fallback);
    // Without a fallback the key is required.
    std::uint64_t whole(std::string_view key, std::uint64_t least, std::uint64_t most,
                        std::optional<std::uint64_t> fallback = {});
    double number(std::string_view key, double least, double most,
                  std::optional<double> fallback = {});
    Address address(std::string_view key);
    std::vector<Address> addresses(std::string_view key);
    // One of the words of `choices`; without a fallback the key is required.
    template <class Enum, std::size_t Count>
    Enum choice(std::string_view key, const std::pair<std::string_view, Enum> (&choices)[Count],
                std::optional<Enum> fallback = {})
    {
        const std::string *value = find(key, !fallback, listed(choices));
        if (!value) {
            return fallback.value_or(choices[0].second);
        }
        for (const auto &[word, meaning] : choices) {
            if (word == *value) {
                return meaning;
            }
        }
        fault(key, listed(choices), *value);
        return choices[0].second;
    }

    void fault(std::string_view key, std::string expected, std::string found = {});
    // Reports each key that the kind does not have, with the nearest one that it has.
    void reportUnknownKeys(SectionKind kind);

private:
    template <class Enum, std::size_t Count>
    static std::string listed(const std::pair<std::string_view, Enum> (&choices)[Count])
    {
        std::string words;
        for (std::size_t i = 0; i < Count; ++i) {
            words += i == 0 ? "" : i + 1 == Count ? " or " : ", ";
            words += choices[i].first;
        }
        return words;
    }
    const std::string *find(std::string_view key, bool required, std::string_view expected);
    std::string nameText(std::string_view key);
    std::vector<std::string> nameTexts(std::string_view key, bool required);

    const ConfigSection &section_;
    ConfigErrors &errors_;
};

// The number that the whole text spells in decimal digits, or nothing.
std::optional<std::uint64_t> wholeNumber(const std::string &text);

// The items of a list, separated by commas, without the blanks around them.
std::vector<std::string> splitList(std::string_view text);

}  // namespace poplarstream
