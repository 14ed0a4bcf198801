#include "poplarstream/console/draft_fields.hpp"

#include <algorithm>  // for find
#include <vector>  // for vector

#include <fmt/format.h>  // for format

#include "poplarstream/console/html.hpp"  // for escapeHtml

namespace poplarstream::console {

namespace {

struct KeyHelp
{
    std::string_view kind;  // empty for all kinds
    std::string_view key;
    std::string_view hint;
    std::vector<std::string_view> choices = {};
    std::string_view referencedKind = {};  // the section kind that the value refers to
};

const std::vector<KeyHelp> &keyHelpTable()
{
    static const std::vector<KeyHelp> all = {
            {"fleet", "rack_headroom", "Keep room for the loss of a rack.", {"yes", "no"}},
            {"fleet", "weight_rollout", "Weight of roll-out time, 0 to 1000."},
            {"fleet", "weight_moves", "Weight of moves, 0 to 1000."},
            {"fleet", "weight_flood", "Weight of the other work during a flood, 0 to 1000."},
            {"pool", "services", "Names of services, separated by commas."},
            {"pool", "max_away", "The budget: hosts that may be away at the same time."},
            {"pool", "spare", "One pool may be the spare.", {"yes", "no"}},
            {"service", "class", "", {"urgent", "slow"}},
            {"service", "idempotent", "Whether it may run more than once.", {"yes", "no"}},
            {"service", "deadline_ms", "Milliseconds."},
            {"service", "run_seconds", "Seconds that one run is declared to take."},
            {"tenant", "weight", "Share against other tenants, 0.001 to 1000."},
            {"tenant", "quota", "Requests a second."},
            {"tenant", "token", "A secret. Leave it empty to keep the present one."},
            {"host", "pool", "Its pool at creation; later only a move changes it.", {}, "pool"},
            {"", "zone", "", {}, "zone"},
            {"host", "worker", "ip:port."},
            {"host", "minions", "ip:port, separated by commas."},
            {"host", "slots", "Of each minion."},
            {"host", "connections", "Of each minion."},
            {"", "memory_mb", "Megabytes."},
            {"wave", "pools", "Names of pools, separated by commas."},
            {"wave", "action", "", {"reboot", "move", "reboot-move"}},
            {"wave", "target", "The pool to move to; none for a reboot.", {}, "pool"},
            {"wave", "state", "", {"running", "stopped", "withdrawn"}},
            {"wave", "window_start", "Seconds in the UTC day; empty for no window."},
            {"wave", "window_end", "Seconds in the UTC day; empty for no window."},
    };
    return all;
}

const KeyHelp *findKeyHelp(std::string_view kind, std::string_view key)
{
    const auto found =
            std::find_if(keyHelpTable().begin(), keyHelpTable().end(), [&](const KeyHelp &help) {
                return help.key == key && (help.kind.empty() || help.kind == kind);
            });
    return found != keyHelpTable().end() ? &*found : nullptr;
}

std::vector<std::string> choicesOf(const DraftView &view, const KeyHelp &help)
{
    std::vector<std::string> choices(help.choices.begin(), help.choices.end());
    for (const ConfigSection &section : view.preview.document) {
        if (!help.referencedKind.empty() && section.id.kind() == help.referencedKind) {
            choices.emplace_back(section.id.name());
        }
    }
    return choices;
}

std::string option(const std::string &value, bool isSelected)
{
    return fmt::format("<option value=\"{0}\"{1}>{2}</option>", escapeHtml(value),
                       isSelected ? " selected" : "", value.empty() ? "(none)" : escapeHtml(value));
}

std::string selection(const std::string &attributes, std::vector<std::string> choices,
                      const std::string &value)
{
    // An invalid value is kept as an option, so that the field shows it with its error.
    if (std::find(choices.begin(), choices.end(), value) == choices.end() && !value.empty()) {
        choices.push_back(value);
    }
    std::string html = "<select" + attributes + ">" + option("", value.empty());
    for (const std::string &choice : choices) {
        html += option(choice, choice == value);
    }
    return html + "</select>";
}

}  // namespace

std::string fieldErrors(const DraftView &view, std::string_view section, std::string_view key,
                        const std::string &id)
{
    std::string text;
    for (const ConfigError &error : view.preview.errors) {
        if (error.section == section && error.key == key) {
            text += fmt::format("{}expected {}{}", text.empty() ? "" : "; ", error.expected,
                                error.found.empty() ? std::string()
                                                    : fmt::format(", found \"{}\"", error.found));
        }
    }
    return text.empty()
                   ? std::string()
                   : fmt::format("<div class=\"fault\" id=\"{}\">{}</div>", id, escapeHtml(text));
}

std::string fieldInput(const DraftView &view, const std::string &section, std::string_view key,
                       const std::string &id)
{
    const std::string_view kind = std::string_view(section).substr(0, section.find(' '));
    const std::string note = fieldErrors(view, section, key, id + "-fault");
    const std::string attributes =
            fmt::format(" id=\"{}\" name=\"{}\"{}", id, escapeHtml(fieldName(section, key)),
                        note.empty() ? std::string()
                                     : fmt::format(" aria-invalid=\"true\" "
                                                   "aria-describedby=\"{}-fault\"",
                                                   id));
    const std::string value = draftValue(view.draft, view.inForce, section, key).value_or("");
    if (isSecret(section, key)) {
        return fmt::format("<input{} type=\"password\" autocomplete=\"new-password\" value=\"\">"
                           " <span class=\"hint\">{}</span>{}",
                           attributes, displayValue(section, key, value), note);
    }
    const KeyHelp *help = findKeyHelp(kind, key);
    const auto choices = help != nullptr ? choicesOf(view, *help) : std::vector<std::string>();
    const std::string input =
            choices.empty() ? fmt::format("<input{} value=\"{}\">", attributes, escapeHtml(value))
                            : selection(attributes, choices, value);
    return input + note;
}

std::string_view fieldHint(std::string_view kind, std::string_view key)
{
    const KeyHelp *help = findKeyHelp(kind, key);
    return help != nullptr ? help->hint : std::string_view();
}

bool isListKey(std::string_view key)
{
    return key == "services" || key == "pools" || key == "minions";
}

}  // namespace poplarstream::console
