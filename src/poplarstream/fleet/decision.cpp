#include "poplarstream/fleet/decision.hpp"

#include <array>  // for array
#include <string_view>  // for string_view

#include <fmt/format.h>  // for format

namespace poplarstream {
namespace {

constexpr std::array<std::string_view, decisionKindCount> subjects = {
        "absence of",    "drained report of",   "departure of",
        "return of",     "end of absence of",   "abandoned absence of",
        "move of",       "failure of",          "recovery of",
        "quarantine of", "end of quarantine of"};

}  // namespace

std::string describe(const Decision &decision)
{
    std::string text =
            fmt::format("offset {}: {} host {}", decision.offset,
                        subjects[static_cast<std::size_t>(decision.kind)], decision.host.text());
    if (!decision.wave.isEmpty()) {
        text += " for wave " + decision.wave.text();
    }
    text += decision.granted ? " granted" : " refused";
    return decision.reason.empty() ? text : text + ": " + decision.reason;
}

std::string describe(const ChangeDecision &decision)
{
    std::string text = fmt::format("offset {}: change {} by {}", decision.offset,
                                   decision.id.text(), decision.author);
    return decision.granted ? text + fmt::format(" granted as version {}", decision.version)
                            : text + " refused: " + decision.reason;
}

}  // namespace poplarstream
