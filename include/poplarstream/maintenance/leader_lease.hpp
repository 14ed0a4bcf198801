#pragma once

#include <cstdint>  // for uint32_t
#include <optional>  // for optional

#include "poplarstream/base/id.hpp"  // for DutyId, EntryHostId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/records/control_record.hpp"  // for LeaderLease

namespace poplarstream::maintenance {

// The replayed leader lease of one controller; `until` is log time.
struct LeaseView
{
    EntryHostId holder;  // empty if it was never held
    TimePoint until;
};

struct LeasePolicy
{
    // A wave makes no progress from the crash of the lease holder until the lease expires. At 15 s
    // this took a third of the roll-out of 50 hosts.
    Milliseconds duration{8'000};
    // Three renewals within a lease tolerate two consecutive lost renewals, and a log that takes
    // 2.5 s for an append and for a read.
    Milliseconds renewInterval{2'000};
    // Delay between the first claims of adjacent ranks; longer than an append and its read-back.
    Milliseconds rankDelay{1'500};
    // Added to the claim delay of a process that paused recently; longer than the delays of 8
    // ranks.
    Milliseconds pausedDelay{15'000};
    // Safety margin for the error of the estimated log time: others claim the lease only this long
    // after `until`, and the holder stops acting this long before it.
    Milliseconds margin{1'000};
};

struct LeaseInput
{
    DutyId duty;
    EntryHostId self;
    LeaseView lease;
    // Rank of this process among the live entry hosts in rendezvous order for `duty`.
    std::uint32_t rank = 0;
    bool isLeaving = false;
    bool isInFlight = false;  // the outcome of an earlier proposal for `duty` is not known yet
    TimePoint now;  // estimate of the log's time
    // A process that pauses repeatedly but renews in between would keep the lease without doing all
    // of its work, so a recent pause makes it release the lease and claim last.
    bool hasPausedRecently = false;
};

// The record to propose now, if any: a claim of a free or expired lease after a delay that grows
// with the rank, a renewal by the holder, or a release by a holder that is leaving or has paused
// recently.
std::optional<LeaderLease> decideLeaderLease(const LeaseInput &input, const LeasePolicy &policy);

// Whether `self` holds the lease at `now`, with the safety margin. Must be checked again before
// each action, because a process can be paused between the decision and the action.
bool holdsLease(const LeaseView &lease, const EntryHostId &self, TimePoint now,
                const LeasePolicy &policy);

}  // namespace poplarstream::maintenance
