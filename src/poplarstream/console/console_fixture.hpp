#pragma once

#include <stdexcept>  // for invalid_argument
#include <string>  // for string
#include <utility>  // for pair
#include <vector>  // for vector

#include "poplarstream/config/ini.hpp"  // for parseDocument
#include "poplarstream/config/validation.hpp"  // for readConfiguration
#include "poplarstream/console/draft_page.hpp"  // for handleDraftForm
#include "poplarstream/console/html.hpp"  // for decodeUrl
#include "poplarstream/fleet/replay.hpp"  // for apply

// Test helpers: build a fleet from a document, and submit the form of a page as a browser does.
namespace poplarstream::console::testing {

inline const char *const smallDocument = R"([fleet]
name=test
[zone a]
region=r
[pool p]
services=s
max_away=1
[pool q]
services=s
max_away=1
[service s]
class=urgent
deadline_ms=1000
[tenant t]
quota=10
token=topsecret
[host h1]
zone=a
rack=r1
pool=p
cpus=4
memory_mb=1024
worker=127.0.0.1:7000
[host h2]
zone=a
rack=r2
pool=p
cpus=4
memory_mb=1024
worker=127.0.0.1:7001
[host h9]
zone=a
rack=r3
pool=q
cpus=4
memory_mb=1024
worker=127.0.0.1:7002
[wave w]
pools=p
action=reboot
state=stopped
)";

inline ControlOutcome applyChange(FleetState &fleet, std::vector<ConfigEdit> edits,
                                  const std::string &author, std::uint64_t base)
{
    Logged<ControlRecord> logged;
    logged.offset = fleet.next;
    logged.time = timePoint(1'000);
    logged.record.header = {RecordId("change-" + author + std::to_string(base)), EntryHostId("e")};
    logged.record.body = ConfigChange{base, author, std::move(edits)};
    return apply(fleet, logged);
}

inline FleetState fleetOf(const std::string &text)
{
    FleetState fleet;
    const Draft all = draftFromDocument(0, fleet.document, parseDocument(text).document);
    std::vector<ConfigEdit> edits;
    for (const DraftEdit &entry : all.edits) {
        edits.push_back(entry.edit);
    }
    if (const auto outcome = applyChange(fleet, edits, "setup", 0); !outcome.granted) {
        throw std::invalid_argument(outcome.reason);
    }
    return fleet;
}

inline PageContext testPageContext()
{
    return {.entryHost = "e-1", .formToken = "form-token", .nonce = "abc"};
}

inline Forecast emptyForecast(const ConfigDocument &)
{
    return {};
}

inline std::string unescape(std::string text)
{
    const std::pair<std::string, std::string> entities[] = {
            {"&lt;", "<"}, {"&gt;", ">"}, {"&quot;", "\""}, {"&#39;", "'"}, {"&amp;", "&"}};
    for (const auto &[entity, character] : entities) {
        for (std::size_t at = 0; (at = text.find(entity, at)) != std::string::npos;) {
            text.replace(at, entity.size(), character);
            at += character.size();
        }
    }
    return text;
}

// The value of the named input, as a browser would submit it.
inline std::string inputValue(const std::string &html, const std::string &name)
{
    const std::size_t at = html.find("name=\"" + name + "\"");
    const std::size_t begin = html.find("value=\"", at);
    if (at == std::string::npos || begin == std::string::npos) {
        return "(no such input)";
    }
    return unescape(html.substr(begin + 7, html.find('"', begin + 7) - begin - 7));
}

// Submits `page` with `fields` filled in, its hidden draft, and the button for `step`.
inline DraftResponse pressButton(const FleetState &fleet, const std::string &page,
                                 const std::string &step,
                                 std::vector<std::pair<std::string, std::string>> fields = {})
{
    fields.emplace_back("draft", inputValue(page, "draft"));
    fields.emplace_back("do", step);
    return handleDraftForm(testPageContext(), fleet, Form(std::move(fields)), emptyForecast);
}

inline DraftResponse openDraft(const FleetState &fleet)
{
    return handleDraftForm(testPageContext(), fleet, Form(), emptyForecast);
}

}  // namespace poplarstream::console::testing
