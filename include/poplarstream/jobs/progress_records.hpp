#pragma once

#include <cstddef>  // for size_t
#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/jobs/model.hpp"  // for Job

namespace poplarstream::jobs {

// A record for the store. Without a value it deletes the key.
struct ProgressRecord
{
    std::string key;
    std::optional<std::string> value;
};

// Progress is stored in records of limited size. A job of few tasks has one, under its id. A larger
// one has
//
//     ID                      its state, the occurrences that are done and their number,
//     ID.OCCURRENCE           the steps of an open occurrence that are done,
//     ID.OCCURRENCE.STEP.N    tasks of an open step, from number N on,
//
// and only those that have changed are written. Records of what is done meanwhile are deleted;
// until then they are ignored when they are read. Each record is true by itself, so that it does
// not matter if some of the records of a change are stored earlier than the others.

// The records of a job that differ from those taken last, the one under its id first. `maxBytes`
// limits the size of a record, key and value.
std::vector<ProgressRecord> takeChangedRecords(Job &job, std::size_t maxBytes);

// The id of the job that a record of the progress belongs to, by the key.
std::string_view jobOfRecord(std::string_view key);

// Applies the stored progress to a job fresh from makeJob(), like applyProgress(): `head` is the
// value under its id, `parts` are its other records, the oldest first. Of tasks that are done, only
// that is stored, not the number of their last run. Fails without changing the job if a record is
// malformed or doesn't match the job, or if the records lack finished occurrences.
Result<bool> applyProgressRecords(Job &job, std::string_view head,
                                  std::span<const ProgressRecord> parts);

}  // namespace poplarstream::jobs
