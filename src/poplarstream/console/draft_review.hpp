#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/console/draft_forms.hpp"  // for DraftView
#include "poplarstream/console/forecast.hpp"  // for Forecaster

namespace poplarstream::console {

// All edits with old and new values, each fault beside its edit, and the cost of the result. The
// forecaster is called only for a draft without errors.
std::string reviewPage(const DraftView &view, const Forecaster &forecaster, std::string_view page);

}  // namespace poplarstream::console
