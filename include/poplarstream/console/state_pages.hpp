#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for PoolId
#include "poplarstream/console/charts.hpp"  // for AwayHistory
#include "poplarstream/console/form.hpp"  // for Form
#include "poplarstream/console/page.hpp"  // for PageContext
#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/runs/runs_state.hpp"  // for RunsState
#include "poplarstream/telemetry/request_histograms.hpp"  // for RequestHistograms

namespace poplarstream::console {

// Why a host or wave waits at the moment. `subject` is the id of either.
struct WaitNote
{
    std::string subject;
    std::string text;
};

// What an entry host knows, for the pages of states. All parts outlive the view.
struct StateView
{
    const PageContext &context;
    const FleetState &fleet;
    const RunsState &runs;  // of this entry host's zone
    const RequestHistograms &histograms;  // of this entry host
    const AwayHistory &history;
    std::vector<WaitNote> waitReasons;
    std::vector<std::string> alerts;  // what an operator is called for
    std::map<PoolId, double> demands;  // in hosts
};

// The page of a path below /console/, without that prefix: "", "waves", "wave/<id>", "pools",
// "pool/<id>", "hosts", "runs", "run/<id>", "tenants" or "tenant/<id>". `query` has the fields
// "filter" and "page" of lists. Nothing for other paths and unknown ids.
std::optional<std::string> statePage(const StateView &view, std::string_view path,
                                     const Form &query);

// The answer to a search; `lines` are the recorded decisions. Without an id, the search alone.
std::string explainPage(const PageContext &context, std::string_view id,
                        const std::vector<std::string> &lines);

// The search field for any id.
std::string searchForm(std::string_view id);

}  // namespace poplarstream::console
