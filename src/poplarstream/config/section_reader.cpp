#include "poplarstream/config/section_reader.hpp"

#include <algorithm>  // for all_of, sort
#include <charconv>  // for from_chars

#include <fmt/format.h>  // for format

#include "poplarstream/config/suggest.hpp"  // for nearestWord

namespace poplarstream {
namespace {

constexpr std::string_view nameRule = "a name of 1 to 64 letters, digits, '.', '_' or '-'";
constexpr std::string_view addressRule = "a numeric address ip:port";

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
           || c == '_' || c == '-';
}

template <class Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc{} && read.ptr == end ? std::optional(number) : std::nullopt;
}

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    const std::size_t end = text.find_last_not_of(' ');
    return begin == std::string_view::npos ? std::string_view{}
                                           : text.substr(begin, end + 1 - begin);
}

}  // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= 64
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::optional<std::uint64_t> parseInteger(const std::string &text)
{
    return parseNumber<std::uint64_t>(text);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    if (trim(text).empty()) {
        return items;
    }
    for (std::size_t begin = 0; begin <= text.size();) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        items.emplace_back(trim(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return items;
}

void SectionReader::addError(std::string_view key, std::string expected, std::string found)
{
    errors_.push_back(
            {section_.id.text(), std::string(key), std::move(expected), std::move(found)});
}

const std::string *SectionReader::find(std::string_view key, bool required,
                                       std::string_view expected)
{
    const std::string *value = valueOf(section_, key);
    if (!value && required) {
        addError(key, fmt::format("{}; the key is missing", expected));
    }
    return value;
}

std::string SectionReader::text(std::string_view key)
{
    const std::string *value = find(key, true, "text");
    if (value && value->empty()) {
        addError(key, "text that is not empty");
    }
    return value ? *value : std::string{};
}

std::string SectionReader::requiredName(std::string_view key)
{
    const std::string *value = find(key, true, nameRule);
    if (value && !isName(*value)) {
        addError(key, std::string(nameRule), *value);
    }
    return value ? *value : std::string{};
}

std::vector<std::string> SectionReader::nameList(std::string_view key, bool required)
{
    const std::string *value = find(key, required, "a list of names separated by commas");
    std::vector<std::string> items = value ? splitList(*value) : std::vector<std::string>{};
    for (const std::string &item : items) {
        if (!isName(item)) {
            addError(key, std::string(nameRule), item);
        }
    }
    std::vector<std::string> sorted = items;
    std::sort(sorted.begin(), sorted.end());
    if (const auto duplicate = std::adjacent_find(sorted.begin(), sorted.end());
        duplicate != sorted.end()) {
        addError(key, "each name once", *duplicate);
    }
    if (required && value && items.empty()) {
        addError(key, "at least one name");
    }
    return items;
}

bool SectionReader::boolean(std::string_view key, bool fallback)
{
    static constexpr std::pair<std::string_view, bool> choices[] = {{"yes", true}, {"no", false}};
    return choice(key, choices, std::optional(fallback));
}

std::uint64_t SectionReader::integer(std::string_view key, std::uint64_t minimum,
                                     std::uint64_t maximum, std::optional<std::uint64_t> fallback)
{
    const std::string expected = fmt::format("a whole number from {} to {}", minimum, maximum);
    const std::string *value = find(key, !fallback, expected);
    if (!value) {
        return fallback.value_or(minimum);
    }
    const auto number = parseInteger(*value);
    if (!number || *number < minimum || *number > maximum) {
        addError(key, expected, *value);
        return fallback.value_or(minimum);
    }
    return *number;
}

double SectionReader::number(std::string_view key, double minimum, double maximum,
                             std::optional<double> fallback)
{
    const std::string expected = fmt::format("a number from {} to {}", minimum, maximum);
    const std::string *value = find(key, !fallback, expected);
    if (!value) {
        return fallback.value_or(minimum);
    }
    const auto number = parseNumber<double>(*value);
    // This form also rejects "nan", which from_chars accepts.
    if (!number || !(*number >= minimum && *number <= maximum)) {
        addError(key, expected, *value);
        return fallback.value_or(minimum);
    }
    return *number;
}

Address SectionReader::address(std::string_view key)
{
    const std::string *value = find(key, true, addressRule);
    const auto read = value ? addressFromText(*value) : std::nullopt;
    if (value && !read) {
        addError(key, std::string(addressRule), *value);
    }
    return read.value_or(Address{});
}

std::vector<Address> SectionReader::addresses(std::string_view key)
{
    std::vector<Address> read;
    const std::string *value = valueOf(section_, key);
    for (const std::string &item : value ? splitList(*value) : std::vector<std::string>{}) {
        if (const auto one = addressFromText(item)) {
            read.push_back(*one);
        } else {
            addError(key, std::string(addressRule), item);
        }
    }
    return read;
}

void SectionReader::reportUnknownKeys(SectionKind kind)
{
    const auto known = keysOf(kind);
    for (const ConfigEntry &entry : section_.entries) {
        if (std::find(known.begin(), known.end(), entry.key) == known.end()) {
            addError(entry.key, fmt::format("a key of [{}]; the nearest is '{}'",
                                            sectionKindText(kind), nearestWord(entry.key, known)));
        }
    }
}

}  // namespace poplarstream
