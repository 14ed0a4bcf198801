#include "poplarstream/config/edits.hpp"

#include <string>  // for string
#include <utility>  // for move

namespace poplarstream {
namespace {

void appendRemovals(std::vector<ConfigEdit> &edits, const ConfigSection &from,
                    const ConfigSection &to)
{
    for (const ConfigEntry &entry : from.entries) {
        if (!valueOf(to, entry.key)) {
            edits.push_back({from.id.text(), entry.key, std::nullopt});
        }
    }
}

void appendSettings(std::vector<ConfigEdit> &edits, const ConfigSection *from,
                    const ConfigSection &to)
{
    for (const ConfigEntry &entry : to.entries) {
        const std::string *before = from ? valueOf(*from, entry.key) : nullptr;
        if (!before || *before != entry.value) {
            edits.push_back({to.id.text(), entry.key, entry.value});
        }
    }
}

ConfigError editError(const ConfigEdit &edit, std::string expected)
{
    return {edit.section, edit.key.value_or(""), std::move(expected), ""};
}

std::string checkEdit(const ConfigEdit &edit)
{
    if (std::string problem = checkHeading(edit.section); !problem.empty()) {
        return "as heading " + problem;
    }
    if (!edit.key) {
        return edit.value ? "a key for the new value" : "";
    }
    if (std::string problem = checkKey(*edit.key); !problem.empty()) {
        return "as key " + problem;
    }
    return edit.value ? checkValue(*edit.value) : "";
}

// Returns what was expected instead, or an empty string on success.
std::string applyEdit(ConfigDocument &document, const ConfigEdit &edit)
{
    if (std::string problem = checkEdit(edit); !problem.empty()) {
        return problem;
    }
    const SectionId id(edit.section);
    if (!edit.key) {
        return document.remove(id) ? "" : "a section that exists, to remove it";
    }
    const ConfigSection *present = document.find(id);
    ConfigSection section = present ? *present : ConfigSection{id, {}};
    if (edit.value) {
        setEntry(section, *edit.key, *edit.value);
    } else if (!removeEntry(section, *edit.key)) {
        return "a key that exists, to remove it";
    }
    if (section.entries.empty()) {
        document.remove(id);
    } else {
        document.set(std::move(section));
    }
    return "";
}

}  // namespace

std::vector<ConfigEdit> difference(const ConfigDocument &from, const ConfigDocument &to)
{
    std::vector<ConfigEdit> edits;
    for (const ConfigSection &section : from) {
        const ConfigSection *remaining = to.find(section.id);
        if (!remaining) {
            edits.push_back({section.id.text(), std::nullopt, std::nullopt});
        }
    }
    for (const ConfigSection &section : to) {
        const ConfigSection *before = from.find(section.id);
        if (before == &section) {
            continue;
        }
        // Set values first, so that a section whose keys are all replaced is never empty in
        // between.
        appendSettings(edits, before, section);
        if (before) {
            appendRemovals(edits, *before, section);
        }
    }
    return edits;
}

ParsedDocument applyEdits(const ConfigDocument &document, std::span<const ConfigEdit> edits)
{
    ParsedDocument result{document, {}};
    for (const ConfigEdit &edit : edits) {
        if (std::string expected = applyEdit(result.document, edit); !expected.empty()) {
            result.errors.push_back(editError(edit, std::move(expected)));
        }
    }
    return result;
}

}  // namespace poplarstream
