#include "poplarstream/traffic/messages.hpp"

namespace poplarstream::traffic {

std::string_view reasonText(Reason reason)
{
    switch (reason) {
    case Reason::UnknownService:
        return "the service is not known";
    case Reason::UnknownTenant:
        return "the tenant is not known";
    case Reason::Quota:
        return "the quota of the tenant is used up";
    case Reason::DeadlineTooClose:
        return "the deadline cannot be met";
    case Reason::QueueFull:
        return "the queue is full";
    case Reason::DeadlinePassed:
        return "the deadline has passed";
    case Reason::NoMinion:
        return "no minion of the service can be reached";
    case Reason::MinionRefused:
        return "the minion refused the request";
    case Reason::MinionFailed:
        return "the minion or its connection failed";
    case Reason::Leaving:
        return "the entry host is stopping";
    }
    return "unknown reason";
}

}  // namespace poplarstream::traffic
