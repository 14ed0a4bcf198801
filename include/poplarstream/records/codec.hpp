#pragma once

#include <string>  // for string
#include <string_view>  // for string_view

#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/records/control_record.hpp"  // for ControlRecord
#include "poplarstream/records/run_record.hpp"  // for RunRecord

namespace poplarstream {

// The JSON text of a record. Does not throw for records whose texts are valid UTF-8; other bytes
// are replaced by U+FFFD, since a record must never be lost for its spelling.
std::string encode(const ControlRecord &record);
std::string encode(const RunRecord &record);

// The inverse. The failure names the first fault; unknown fields are ignored and unknown types of
// body are a failure, so that a reader skips a record that it cannot understand.
Result<ControlRecord> decodeControlRecord(std::string_view text);
Result<RunRecord> decodeRunRecord(std::string_view text);

}  // namespace poplarstream
