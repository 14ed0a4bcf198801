#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <string_view>  // for string_view

#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/node/control_duty.hpp"  // for PublicationOutcome

namespace poplarstream {

// A proposed change whose record has not been read back yet.
struct PendingPublication
{
    std::function<void(PublicationOutcome)> reply;
    TimePoint replyDeadline;
};

// The publications that await their outcome, by record.
struct PublicationTable
{
    std::map<RecordId, PendingPublication> byRecord;
};

// Replies after the record was read back: the change is in force, or refused with the recorded
// reason.
void replyReadBack(PublicationTable &table, const RecordId &record, const FleetState &state);

// Replies that the change was refused: the record will never enter the log.
void replyRefused(PublicationTable &table, const RecordId &record, const FleetState &state,
                  std::string_view reason);

// Replies to publications past their deadline that the outcome is unknown.
void replyOverdue(PublicationTable &table, const FleetState &state, TimePoint now);

}  // namespace poplarstream
