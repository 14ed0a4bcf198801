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

// Whether the text is a valid name: 1 to 64 letters, digits, '.', '_' or '-'.
bool isName(std::string_view text);

// Reads the values of one section and collects their errors. An invalid value is reported and
// replaced by the default, so that one pass finds all errors of a section.
class SectionReader
{
public:
    SectionReader(const ConfigSection &section, ConfigErrors &errors)
        : section_(section)
        , errors_(errors)
    {}

    bool has(std::string_view key) const { return valueOf(section_, key) != nullptr; }

    // A required text that must not be empty. Errors omit the value, since it may be a token.
    std::string text(std::string_view key);
    template <class Id>
    Id name(std::string_view key)
    {
        return Id(requiredName(key));
    }
    // Comma-separated names without duplicates. A missing key is an error if `required` is set.
    template <class Id>
    std::vector<Id> names(std::string_view key, bool required)
    {
        std::vector<Id> ids;
        for (std::string &item : nameList(key, required)) {
            ids.emplace_back(std::move(item));
        }
        return ids;
    }
    bool boolean(std::string_view key, bool fallback);
    // The key is required if there is no fallback.
    std::uint64_t integer(std::string_view key, std::uint64_t minimum, std::uint64_t maximum,
                          std::optional<std::uint64_t> fallback = {});
    double number(std::string_view key, double minimum, double maximum,
                  std::optional<double> fallback = {});
    Address address(std::string_view key);
    std::vector<Address> addresses(std::string_view key);
    // One of the words of `choices`. The key is required if there is no fallback.
    template <class Enum, std::size_t Count>
    Enum choice(std::string_view key, const std::pair<std::string_view, Enum> (&choices)[Count],
                std::optional<Enum> fallback = {})
    {
        const std::string *value = find(key, !fallback, joinWords(choices));
        if (!value) {
            return fallback.value_or(choices[0].second);
        }
        for (const auto &[word, meaning] : choices) {
            if (word == *value) {
                return meaning;
            }
        }
        addError(key, joinWords(choices), *value);
        return choices[0].second;
    }

    void addError(std::string_view key, std::string expected, std::string found = {});
    // Reports each unknown key and suggests the nearest known one.
    void reportUnknownKeys(SectionKind kind);

private:
    template <class Enum, std::size_t Count>
    static std::string joinWords(const std::pair<std::string_view, Enum> (&choices)[Count])
    {
        std::string words;
        for (std::size_t i = 0; i < Count; ++i) {
            words += i == 0 ? "" : i + 1 == Count ? " or " : ", ";
            words += choices[i].first;
        }
        return words;
    }
    const std::string *find(std::string_view key, bool required, std::string_view expected);
    std::string requiredName(std::string_view key);
    std::vector<std::string> nameList(std::string_view key, bool required);

    const ConfigSection &section_;
    ConfigErrors &errors_;
};

// Parses a non-negative decimal integer. Returns nullopt if any other character is present.
std::optional<std::uint64_t> parseInteger(const std::string &text);

// Splits a comma-separated list and trims spaces around the items.
std::vector<std::string> splitList(std::string_view text);

}  // namespace poplarstream
