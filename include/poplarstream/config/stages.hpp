#pragma once

#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/config/document.hpp"  // for ConfigDocument
#include "poplarstream/records/control_record.hpp"  // for ConfigEdit

namespace poplarstream {

// The edits from one valid document to another, as the changes to publish one after the other. It
// is a single stage, applied completely or not at all, if the edits fit into one record of the log.
// A larger difference, such as the first publication of 4,500 hosts, is cut into stages that each
// fit and lead to a valid document: budgets stay at the lower of both values until all hosts are
// there, and rows are removed after the last reference to them. Fails, with the fault of the stage,
// if this order does not give valid documents; such a change has to be published by hand in steps.
Result<std::vector<std::vector<ConfigEdit>>> stagedEdits(const ConfigDocument &from,
                                                         const ConfigDocument &to);

}  // namespace poplarstream
