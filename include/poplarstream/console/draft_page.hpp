#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string

#include "poplarstream/console/draft.hpp"  // for Draft
#include "poplarstream/console/forecast.hpp"  // for Forecaster
#include "poplarstream/console/form.hpp"  // for Form
#include "poplarstream/console/page.hpp"  // for PageContext
#include "poplarstream/fleet/state.hpp"  // for FleetState

namespace poplarstream::console {

// What the caller does with a response: Show sends `text` as the page, Download sends `text` as a
// configuration file, and Publish publishes `targetDocument` against `draft.baseVersion` as
// `author` and then sends publishedPage.
enum class DraftAction { Show, Download, Publish };

struct DraftResponse
{
    DraftAction action = DraftAction::Show;
    std::string text;
    Draft draft;
    ConfigDocument targetDocument;
    std::string author;
};

// Handles a form post of the draft pages: decodes the draft, applies the action of the pressed
// button and returns the next page. An empty form starts a new draft. The caller has checked the
// form token.
DraftResponse handleDraftForm(const PageContext &context, const FleetState &fleet, const Form &form,
                              const Forecaster &forecaster);

enum class PublishResult { InForce, Refused, Unknown };

// The outcome of a publication; for a staged publication, that of the last stage sent.
struct PublishReport
{
    PublishResult result = PublishResult::Unknown;
    std::uint64_t version = 0;  // in force after the publication
    std::string change;  // record id, shown as a link to the explain page
    std::string reason;
    std::size_t stagesDone = 0;
    std::size_t stages = 1;
};

// The page after a publication. For a change refused because of an outdated base version it lists
// the changes published since and the conflicting values; the draft is kept and can be rebased.
std::string publishedPage(const PageContext &context, const FleetState &fleet, const Draft &draft,
                          const std::string &author, const PublishReport &report);

}  // namespace poplarstream::console
