#include "poplarstream/config/ini.hpp"

#include <algorithm>  // for any_of
#include <sstream>  // for istringstream, ostringstream

#include <boost/property_tree/ini_parser.hpp>  // for read_ini, write_ini
#include <boost/property_tree/ptree.hpp>  // for ptree
#include <fmt/format.h>  // for format

namespace poplarstream {
namespace {

using boost::property_tree::ptree;

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

bool isSpace(char c)
{
    return c == ' ';
}

// Boost.PropertyTree trims all names and values, so leading and trailing spaces would be lost.
std::string checkText(std::string_view text, std::string_view forbidden)
{
    if (std::any_of(text.begin(), text.end(), isControl)) {
        return "text without control characters";
    }
    if (!text.empty() && (isSpace(text.front()) || isSpace(text.back()))) {
        return "text without blanks at its ends";
    }
    if (text.find_first_of(forbidden) != std::string_view::npos) {
        return fmt::format("text without any of '{}'", forbidden);
    }
    return {};
}

// The nearest section heading at or before a line; names the section of a syntax error.
std::string sectionAtLine(std::string_view text, unsigned long line)
{
    std::istringstream lines{std::string(text)};
    std::string heading;
    std::string current;
    for (unsigned long i = 0; i < line && std::getline(lines, current); ++i) {
        const std::size_t open = current.find_first_not_of(" \t");
        if (open != std::string::npos && current[open] == '[') {
            const std::size_t close = current.find(']');
            heading =
                    current.substr(open + 1, close == std::string::npos ? close : close - open - 1);
        }
    }
    return heading;
}

std::string keyAtLine(std::string_view text, unsigned long line)
{
    std::istringstream lines{std::string(text)};
    std::string current;
    for (unsigned long i = 0; i < line; ++i) {
        std::getline(lines, current);
    }
    const std::size_t begin = current.find_first_not_of(" \t");
    const std::size_t equals = current.find('=');
    if (begin == std::string::npos || current[begin] == '[' || equals == std::string::npos) {
        return {};
    }
    return current.substr(begin, current.find_last_not_of(" \t", equals - 1) + 1 - begin);
}

ConfigError describeSyntaxError(std::string_view text,
                                const boost::property_tree::ini_parser_error &error)
{
    const std::string reason = error.message();
    std::string expected = "valid INI";
    if (reason == "duplicate section name") {
        expected = "each section once";
    } else if (reason == "duplicate key name") {
        expected = "each key once in a section";
    } else if (reason == "unmatched '['") {
        expected = "']' at the end of a heading";
    } else if (reason == "'=' character not found in line") {
        expected = "key=value, [section] or a comment";
    } else if (reason == "key expected") {
        expected = "a key before '='";
    }
    expected += fmt::format(" (line {})", error.line());
    return {sectionAtLine(text, error.line()), keyAtLine(text, error.line()), expected, ""};
}

// Reads one section and reports headings, keys and values that cannot be written back.
ConfigSection readSectionEntries(const std::string &heading, const ptree &entries,
                                 ConfigErrors &errors)
{
    ConfigSection section{SectionId(heading), {}};
    if (const std::string problem = checkHeading(heading); !problem.empty()) {
        errors.push_back({heading, "", "as heading " + problem, ""});
    }
    for (const auto &[key, value] : entries) {
        if (const std::string problem = checkKey(key); !problem.empty()) {
            errors.push_back({heading, key, "as key " + problem, ""});
        }
        if (const std::string problem = checkValue(value.data()); !problem.empty()) {
            errors.push_back({heading, key, problem, ""});
        }
        setEntry(section, key, value.data());
    }
    return section;
}

}  // namespace

std::string checkHeading(std::string_view heading)
{
    return heading.empty() ? "text that is not empty" : checkText(heading, "[]");
}

std::string checkKey(std::string_view key)
{
    if (key.empty()) {
        return "text that is not empty";
    }
    if (key.front() == ';' || key.front() == '#') {
        return "text that does not begin like a comment";
    }
    return checkText(key, "=[]");
}

std::string checkValue(std::string_view value)
{
    return checkText(value, "");
}

ParsedDocument parseDocument(std::string_view text)
{
    ParsedDocument parsed;
    ptree tree;
    std::istringstream stream{std::string(text)};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        parsed.errors.push_back(describeSyntaxError(text, error));
        return parsed;
    }
    for (const auto &[heading, entries] : tree) {
        if (entries.empty()) {
            parsed.errors.push_back({"", heading, "a [section] before the first key", ""});
            continue;
        }
        parsed.document.set(readSectionEntries(heading, entries, parsed.errors));
    }
    return parsed;
}

std::string formatDocument(const ConfigDocument &document)
{
    ptree tree;
    for (const ConfigSection &section : document) {
        ptree &entries = tree.push_back({section.id.text(), ptree()})->second;
        for (const ConfigEntry &entry : section.entries) {
            entries.push_back({entry.key, ptree(entry.value)});
        }
    }
    std::ostringstream stream;
    boost::property_tree::write_ini(stream, tree);
    return std::move(stream).str();
}

}  // namespace poplarstream
