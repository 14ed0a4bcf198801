#include "poplarstream/ownership/start_permission.hpp"

namespace poplarstream::ownership {

StartHold planningHold(const StartEvidence &evidence, const StartLimits &limits, TimePoint now)
{
    if (!evidence.isOwner) {
        return StartHold::NotOwner;
    }
    return evidence.cancellationsReadAt + limits.maxCancellationAge < now
                   ? StartHold::CancellationsUnread
                   : StartHold::None;
}

StartHold sendingHold(const StartEvidence &evidence, TimePoint recordedAt,
                      const StartLimits &limits, TimePoint now)
{
    const StartHold planning = planningHold(evidence, limits, now);
    if (planning != StartHold::None) {
        return planning;
    }
    return recordedAt + limits.maxRecordAge <= now ? StartHold::RecordTooOld : StartHold::None;
}

}  // namespace poplarstream::ownership
