#include "poplarstream/edge/ports.hpp"

namespace poplarstream::edge {

std::string_view resultText(AppendResult result)
{
    switch (result) {
    case AppendResult::Stored:
        return "stored";
    case AppendResult::ConditionFailed:
        return "condition-failed";
    case AppendResult::Fenced:
        return "fenced";
    case AppendResult::OutOfSequence:
        return "out-of-sequence";
    case AppendResult::NotDone:
        return "not-done";
    case AppendResult::Unknown:
        break;
    }
    return "unknown";
}

}  // namespace poplarstream::edge
