#include "poplarstream/engine/decision.hpp"

namespace poplarstream::engine {

std::string_view causeText(ReleaseCause cause)
{
    switch (cause) {
    case ReleaseCause::NotListed:
        return "not-listed";
    case ReleaseCause::StartRejected:
        return "start-rejected";
    case ReleaseCause::NotSent:
        return "not-sent";
    case ReleaseCause::StoppedBeforeStart:
        return "stopped-before-start";
    case ReleaseCause::LeaseLapsed:
        return "lease-lapsed";
    case ReleaseCause::WorkerEnded:
        break;
    }
    return "worker-ended";
}

}  // namespace poplarstream::engine
