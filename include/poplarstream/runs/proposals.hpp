#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RecordId, RunId
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/records/run_record.hpp"  // for RunRecord

namespace poplarstream {

// A record of this process whose outcome is not known yet.
struct PendingProposal
{
    RunRecord record;
    TimePoint firstSentAt;
    TimePoint lastSentAt;
    std::uint64_t connection = 0;
};

// The records that this process appended and has not read back. Whether the log's answer arrived
// makes no difference: only what was read back counts. Until then, no other proposal is made for
// the runs that they touch.
struct Proposals
{
    std::map<RecordId, PendingProposal> pending;
    std::map<RunId, std::uint32_t> touched;
};

// Remembers a record before it is sent on an append connection (numbered by the caller).
void recordPending(Proposals &proposals, const RunRecord &record, TimePoint now,
                   std::uint64_t connection = 0);

// The record was read back; returns what was known of it, or nothing for records of others and for
// repeated copies.
std::optional<PendingProposal> settle(Proposals &proposals, const RecordId &record);

// The fence: `later`, sent on another connection after `closed` was closed, was read back. What was
// sent only on `closed` and not read back by now never reaches the log. Returns these records.
std::vector<RunRecord> settleFenced(Proposals &proposals, std::uint64_t closed);

// Whether a record of unknown outcome touches the run.
bool isPending(const Proposals &proposals, const RunId &run);

// The records to append again, unchanged and under the same id, because their outcome is unknown
// for longer than `patience` since they were last sent.
std::vector<RunRecord> overdue(const Proposals &proposals, TimePoint now, Milliseconds patience);

}  // namespace poplarstream
