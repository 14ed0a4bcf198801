#pragma once

#include "poplarstream/base/time.hpp"  // for TimePoint

namespace poplarstream::edge {

// What an entry host knows of its contact with the rest of the deployment.
struct ContactEvidence
{
    bool isStoreReachable = false;  // the newest read succeeded and the next one is not overdue
    TimePoint storeReadAt{};  // when the newest successful read ended
    TimePoint ownerStoredAt{};  // when an owner last wrote something to the store for this process
};

// Whether an entry host can serve callers. One that reaches neither the store nor an owner that
// reaches it may be cut off with its availability zone, and its owner with it; callers that the
// load balancer sends to another zone are served there.
bool isInContact(const ContactEvidence &evidence, TimePoint now);

}  // namespace poplarstream::edge
