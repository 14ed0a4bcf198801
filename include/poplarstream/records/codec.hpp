#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/records/control_record.hpp"  // for ControlRecord
#include "poplarstream/records/run_record.hpp"  // for RunRecord

namespace poplarstream {

// Encodes a record as JSON. Invalid UTF-8 is replaced by U+FFFD instead of throwing, so that a
// record is never lost because of its encoding.
std::string encode(const ControlRecord &record);
std::string encode(const RunRecord &record);

// Decodes a record. Unknown fields are ignored. An unknown body or entry type is a failure, so that
// readers skip records that they do not support. The failure describes the first error.
Result<ControlRecord> decodeControlRecord(std::string_view text);
Result<RunRecord> decodeRunRecord(std::string_view text);

}  // namespace poplarstream
