#pragma once

#include <cstdint>  // for uint32_t
#include <optional>  // for optional

#include "poplarstream/base/id.hpp"  // for DutyId, EntryHostId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/records/control_record.hpp"  // for LeaderLease

namespace poplarstream::maintenance {

// The replayed lease of one duty; `until` is log time.
struct LeaseView
{
    EntryHostId holder;  // empty if nobody ever held it
    TimePoint until;
};

struct LeasePolicy
{
    // A wave stands still from the death of its driver until the lease lapses. With 15 s that was
    // a third of the roll-out of 50 hosts.
    Milliseconds duration{8'000};
    // Renewing three times in a lease survives two lost renewals in a row, and a log that takes
    // 2.5 s for an append and for a read.
    Milliseconds renewAfter{2'000};
    // Between the first proposals of neighbouring ranks; longer than an append and its read-back.
    Milliseconds rankDelay{1'500};
    // Added to the delay of an unfit process: longer than the delays of 8 ranks.
    Milliseconds unfitDelay{15'000};
    // Added on the far side of `until` before a claim and taken off on the near side before an
    // act; covers the error of the estimate of the log's time.
    Milliseconds margin{1'000};
};

struct LeaseInput
{
    DutyId duty;
    EntryHostId self;
    LeaseView lease;
    // Position of this process in the rendezvous order of the live entry hosts for the duty.
    std::uint32_t rank = 0;
    bool isLeaving = false;
    bool isInFlight = false;  // an earlier proposal for the duty has no known outcome yet
    TimePoint now;  // estimate of the log's time
    // It has paused a short time ago. A process that pauses again and again but renews in between
    // would keep the duty and do a part of it.
    bool isUnfit = false;
};

// The record to propose now, if any: a claim of a free or lapsed lease after a delay that grows
// with the rank, a renewal by the holder, or a release by a holder that is leaving or unfit.
std::optional<LeaderLease> decideDutyLease(const LeaseInput &input, const LeasePolicy &policy);

// Whether the process may act for the duty at `now`. Checked again before each act, because a
// process can be paused between the decision and the act.
bool mayAct(const LeaseView &lease, const EntryHostId &self, TimePoint now,
            const LeasePolicy &policy);

}  // namespace poplarstream::maintenance
