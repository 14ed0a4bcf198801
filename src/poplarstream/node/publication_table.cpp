#include "publication_table.hpp"

#include <utility>  // for move

#include "poplarstream/fleet/queries.hpp"  // for changeOutcome

namespace poplarstream {

void replyReadBack(PublicationTable &table, const RecordId &record, const FleetState &state)
{
    const auto node = table.byRecord.extract(record);
    if (node.empty()) {
        return;
    }
    const auto outcome = changeOutcome(state, record);
    const bool isGranted = outcome && outcome->granted;
    node.mapped().reply(
            {.result = isGranted ? PublicationResult::InForce : PublicationResult::Refused,
             .version = state.version,
             .record = record,
             .reason = outcome ? outcome->reason : std::string()});
}

void replyRefused(PublicationTable &table, const RecordId &record, const FleetState &state,
                  std::string_view reason)
{
    const auto node = table.byRecord.extract(record);
    if (!node.empty()) {
        node.mapped().reply({.result = PublicationResult::Refused,
                             .version = state.version,
                             .record = record,
                             .reason = std::string(reason)});
    }
}

void replyOverdue(PublicationTable &table, const FleetState &state, TimePoint now)
{
    std::erase_if(table.byRecord, [&](auto &entry) {
        if (now < entry.second.replyDeadline) {
            return false;
        }
        entry.second.reply({.result = PublicationResult::Unknown,
                            .version = state.version,
                            .record = entry.first,
                            .reason = "the log did not answer in time; the change may still take "
                                      "effect"});
        return true;
    });
}

}  // namespace poplarstream
