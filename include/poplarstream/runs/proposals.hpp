#pragma once

#include <map>  // for map
#include <optional>  // for optional
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RecordId, RunId
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds
#include "poplarstream/records/run_record.hpp"  // for RunRecord

namespace poplarstream {

// A record sent by this process whose outcome is not yet known.
struct PendingProposal
{
    RunRecord record;
    TimePoint firstSentAt;
    TimePoint lastSentAt;
    std::uint64_t connection = 0;
};

// The records that this process appended and has not read back. The log's response to an append is
// ignored: a record counts only once it is read back. Until then, no other proposal is made for the
// runs that it concerns.
struct Proposals
{
    std::map<RecordId, PendingProposal> pending;
    std::map<RunId, std::uint32_t> pendingByRun;
};

// Call before sending a record on an append connection (numbered by the caller).
void recordPending(Proposals &proposals, const RunRecord &record, TimePoint now,
                   std::uint64_t connection = 0);

// Removes and returns the proposal of a record that was read back. Empty for records of other
// writers and for duplicates.
std::optional<PendingProposal> settle(Proposals &proposals, const RecordId &record);

// Call when a record that was sent on a later connection, after `closed` had been closed, was read
// back. It acts as a fence: records last sent on `closed` or before and not read back by now never
// reach the log. Removes and returns them.
std::vector<RunRecord> settleFenced(Proposals &proposals, std::uint64_t closed);

// Whether a record of unknown outcome concerns the run.
bool isPending(const Proposals &proposals, const RunId &run);

// The records to append again, unchanged and under the same id, because they were last sent at
// least `retryInterval` ago and their outcome is still unknown.
std::vector<RunRecord> overdue(const Proposals &proposals, TimePoint now,
                               Milliseconds retryInterval);

}  // namespace poplarstream
