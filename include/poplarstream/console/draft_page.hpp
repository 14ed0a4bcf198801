#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string

#include "poplarstream/console/draft.hpp"  // for Draft
#include "poplarstream/console/forecast.hpp"  // for Forecaster
#include "poplarstream/console/form.hpp"  // for Form
#include "poplarstream/console/page.hpp"  // for PageContext
#include "poplarstream/fleet/state.hpp"  // for FleetState

namespace poplarstream::console {

// What the caller does with a step of the draft: send the page, send `text` as the file of a
// document, or publish the document `targetDocument` against `draft.baseVersion` as `author` and
// then send publishedPage.
enum class DraftAction { Show, Download, Publish };

struct DraftResponse
{
    DraftAction action = DraftAction::Show;
    std::string text;
    Draft draft;
    ConfigDocument targetDocument;
    std::string author;
};

// One step of the draft: reads the draft and the pressed button of the post, and answers with the
// next page. An empty form starts a new draft. The caller has checked the form token.
DraftResponse handleDraftForm(const PageContext &context, const FleetState &fleet, const Form &form,
                              const Forecaster &forecaster);

enum class PublishResult { InForce, Refused, Unknown };

// The outcome of a publication; of a document in stages, that of the last stage that was sent.
struct PublishReport
{
    PublishResult result = PublishResult::Unknown;
    std::uint64_t version = 0;  // in force after the outcome
    std::string change;  // the id of the record, for explain
    std::string reason;
    std::size_t stagesDone = 0;
    std::size_t stages = 1;
};

// The page after a publication. A change that lost a race is explained by the changes that won and
// by the values that they changed; the draft is kept and can be carried over.
std::string publishedPage(const PageContext &context, const FleetState &fleet, const Draft &draft,
                          const std::string &author, const PublishReport &report);

}  // namespace poplarstream::console
