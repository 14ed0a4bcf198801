#include "poplarstream/edge/ports.hpp"

namespace poplarstream::edge {

std::size_t storedBytes(const StoredRecord &record)
{
    constexpr std::size_t lengthBytes = 5;  // of the record and of its key
    return lengthBytes + record.key.size() + (record.value ? record.value->size() : 0);
}

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
    case AppendResult::Refused:
        return "refused";
    case AppendResult::Unknown:
        break;
    }
    return "unknown";
}

}  // namespace poplarstream::edge
