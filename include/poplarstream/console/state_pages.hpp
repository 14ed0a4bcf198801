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

// Why a host or wave is currently waiting. `subject` is its id.
struct WaitReason
{
    std::string subject;
    std::string text;
};

// The state of an entry host that the state pages show. Referenced objects must outlive the view.
struct StateView
{
    const PageContext &context;
    const FleetState &fleet;
    const RunsState &runs;  // of this entry host's zone
    const RequestHistograms &histograms;  // of this entry host
    const AwayHistory &history;
    std::vector<WaitReason> waitReasons;
    std::vector<std::string> alerts;  // conditions that need an operator
    std::map<PoolId, double> demands;  // in hosts
};

// The page for a path relative to /console/: "", "waves", "wave/<id>", "pools", "pool/<id>",
// "hosts", "runs", "run/<id>", "tenants" or "tenant/<id>". Lists use the fields "filter" and "page"
// of `query`. nullopt for other paths and unknown ids.
std::optional<std::string> statePage(const StateView &view, std::string_view path,
                                     const Form &query);

// The search results for an id; `lines` are the recorded decisions. With an empty id, only the
// search form.
std::string explainPage(const PageContext &context, std::string_view id,
                        const std::vector<std::string> &lines);

// The search form for ids of any kind.
std::string searchForm(std::string_view id);

}  // namespace poplarstream::console
