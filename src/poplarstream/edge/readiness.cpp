#include "poplarstream/edge/readiness.hpp"

namespace poplarstream::edge {

namespace {

// The load balancer needs two failed checks, one a second, to send callers elsewhere. A caller
// waits 3 s, so a longer time would leave none for another entry host.
constexpr Milliseconds contactTimeout{1000};

}  // namespace

bool isInContact(const ContactEvidence &evidence, TimePoint now)
{
    return evidence.isStoreReachable || evidence.storeReadAt + contactTimeout >= now
           || evidence.ownerStoredAt + contactTimeout >= now;
}

}  // namespace poplarstream::edge
