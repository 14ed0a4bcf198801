#include "poplarstream/maintenance/leader_lease.hpp"

namespace poplarstream::maintenance {

std::optional<LeaderLease> decideLeaderLease(const LeaseInput &input, const LeasePolicy &policy)
{
    if (input.isInFlight) {
        return std::nullopt;
    }
    const bool isHeld = !input.lease.holder.isEmpty() && input.now < input.lease.until;
    if (isHeld && input.lease.holder == input.self) {
        if (input.isLeaving || input.hasPausedRecently) {
            return LeaderLease{input.duty, input.self, Milliseconds{0}};
        }
        const bool isDue = input.now >= input.lease.until - policy.duration + policy.renewInterval;
        return isDue ? std::optional(LeaderLease{input.duty, input.self, policy.duration})
                     : std::nullopt;
    }
    if (isHeld || input.isLeaving) {
        return std::nullopt;
    }
    const Milliseconds delay = input.rank * policy.rankDelay
                               + (input.hasPausedRecently ? policy.pausedDelay : Milliseconds{0});
    const TimePoint claimAt = input.lease.until + policy.margin + delay;
    if (input.now < claimAt) {
        return std::nullopt;
    }
    return LeaderLease{input.duty, input.self, policy.duration};
}

bool holdsLease(const LeaseView &lease, const EntryHostId &self, TimePoint now,
                const LeasePolicy &policy)
{
    return lease.holder == self && now < lease.until - policy.margin;
}

}  // namespace poplarstream::maintenance
