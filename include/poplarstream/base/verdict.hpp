#pragma once

#include <optional>  // for optional
#include <string_view>  // for string_view

namespace poplarstream {

// Whether a request may have run at a back end. Every response to a caller carries a verdict.
enum class Verdict {
    Ran,  // the back end responded
    NotRun,  // no back end has started it, and none will
    MayHaveRun,  // bytes may have reached a back end whose response is missing
};

// The text used in the `Poplar-Verdict` header: "ran", "not-run" or "may-have-run".
std::string_view verdictText(Verdict verdict);

// The inverse of verdictText(); empty for any other text.
std::optional<Verdict> verdictFromText(std::string_view text);

}  // namespace poplarstream
