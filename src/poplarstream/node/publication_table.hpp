#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <string_view>  // for string_view

#include "poplarstream/fleet/state.hpp"  // for FleetState
#include "poplarstream/node/control_duty.hpp"  // for PublicationOutcome

namespace poplarstream {

// A published change whose record was not read back yet.
struct AwaitedPublication
{
    std::function<void(PublicationOutcome)> reply;
    TimePoint respondBy;
};

// The publications that operators wait for, by record.
struct PublicationTable
{
    std::map<RecordId, AwaitedPublication> byRecord;
};

// The record was read back: the change is in force, or refused with the recorded reason.
void respondReadBack(PublicationTable &table, const RecordId &record, const FleetState &state);

// The record certainly never enters the log.
void respondRefused(PublicationTable &table, const RecordId &record, const FleetState &state,
                    std::string_view reason);

// The time of these publications is over; they may still take effect.
void respondOverdue(PublicationTable &table, const FleetState &state, TimePoint now);

}  // namespace poplarstream
