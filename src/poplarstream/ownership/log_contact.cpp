#include "poplarstream/ownership/log_contact.hpp"

namespace poplarstream::ownership {

namespace {

// A read that fails and succeeds when it is retried does not count as a gap.
constexpr Milliseconds reachabilitySlack{800};

}  // namespace

void recordRead(LogContact &contact, bool isSuccess, TimePoint now, Milliseconds interval)
{
    contact.hasLastReadFailed = !isSuccess;
    if (!isSuccess) {
        return;
    }
    if (now > contact.lastSuccessAt + interval + reachabilitySlack) {
        contact.reachableSince = now;
    }
    contact.lastSuccessAt = now;
}

bool isReachable(const LogContact &contact, TimePoint now, Milliseconds interval)
{
    return !contact.hasLastReadFailed
           && now <= contact.lastSuccessAt + interval + reachabilitySlack;
}

}  // namespace poplarstream::ownership
