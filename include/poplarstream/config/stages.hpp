#pragma once

#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/records/control_record.hpp"  // for ConfigEdit

namespace poplarstream {

// Returns the edits that lead from one valid document to another, as a sequence of changes to
// publish in order. If the edits fit into one record of the log, there is a single stage, which is
// applied atomically. A larger difference, such as the first publication of 4,500 hosts, is split
// into stages that each fit and each lead to a valid document: budgets stay at the lower of both
// values until all hosts are present, and rows are removed after the last reference to them. Fails
// with the error of the stage if this order leads to an invalid document; such a change has to be
// published manually in several steps.
Result<std::vector<std::vector<ConfigEdit>>> stagedEdits(const ConfigDocument &from,
                                                         const ConfigDocument &to);

}  // namespace poplarstream
