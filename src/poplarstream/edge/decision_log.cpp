#include "poplarstream/edge/decision_log.hpp"

#include <algorithm>  // for max

#include <fmt/format.h>  // for format

#include "poplarstream/telemetry/event_kinds.hpp"  // for taskPlanned, releasesSuppressed

namespace poplarstream::edge {

namespace {

// An event takes a few microseconds, so this many of both kinds take well under 1 % of a core.
constexpr int maxEventsPerSecond = 400;
constexpr Milliseconds window{1000};

const EventKind &kindOf(engine::DecisionKind kind)
{
    switch (kind) {
    case engine::DecisionKind::TaskPlanned:
        return events::taskPlanned;
    case engine::DecisionKind::TaskEnded:
        return events::taskEnded;
    case engine::DecisionKind::StartUnanswered:
        return events::startUnanswered;
    case engine::DecisionKind::TaskReleased:
        return events::taskReleased;
    case engine::DecisionKind::TaskStopped:
        return events::taskStopped;
    case engine::DecisionKind::TaskStalled:
        return events::taskRelieved;
    case engine::DecisionKind::JobEnded:
        return events::jobEnded;
    case engine::DecisionKind::WorkerQuarantined:
        return events::workerSuspected;
    case engine::DecisionKind::WorkerTrusted:
        return events::workerTrusted;
    case engine::DecisionKind::WorkerEnded:
        return events::workerEnded;
    case engine::DecisionKind::WorkerUnresponsive:
        return events::workerUnanswered;
    case engine::DecisionKind::WorkerRecovered:
        return events::workerAnswers;
    case engine::DecisionKind::TaskLost:
        return events::taskLost;
    case engine::DecisionKind::TaskGivenUp:
        return events::taskGivenUp;
    case engine::DecisionKind::AccountHeld:
        return events::accountCapped;
    case engine::DecisionKind::AccountFree:
        return events::accountUncapped;
    case engine::DecisionKind::PairNamed:
        return events::pairNamed;
    case engine::DecisionKind::PairForgotten:
        return events::pairForgotten;
    case engine::DecisionKind::TaskPaced:
        return events::taskPaced;
    case engine::DecisionKind::TaskUnplaced:
        return events::taskUnplaced;
    case engine::DecisionKind::TaskSeparated:
        return events::taskSeparated;
    case engine::DecisionKind::LeaseLapsed:
        break;
    }
    return events::leaseLapsed;
}

// Starts and completions come by the thousand under load. They have a limit of their own, so that
// the events that explain a lost or repeated run are not suppressed with them.
bool isFrequent(engine::DecisionKind kind)
{
    return kind == engine::DecisionKind::TaskPlanned || kind == engine::DecisionKind::TaskEnded;
}

}  // namespace

std::string taskText(const jobs::TaskRef &task)
{
    return task.job.isEmpty() ? "-"
                              : fmt::format("{}.{}.{}.{}", task.job.text(), task.occurrence,
                                            task.step, task.index);
}

std::size_t DecisionLog::allowance(TimePoint now) const
{
    const int written = now >= windowStart_ + window ? 0 : frequentInWindow_;
    return static_cast<std::size_t>(std::max(maxEventsPerSecond - written, 0));
}

void DecisionLog::write(const engine::Decision &decision, TimePoint now)
{
    advance(now);
    int &written = isFrequent(decision.kind) ? frequentInWindow_ : othersInWindow_;
    if (++written > maxEventsPerSecond) {
        ++suppressed_;
        if (decision.cause) {
            ReleaseSum &sum = releaseSums_[{decision.worker, *decision.cause}];
            ++sum.count;
            sum.fromPreviousOwner += decision.isFromPreviousOwner ? 1 : 0;
        }
        return;
    }
    logEvent(kindOf(decision.kind), {{"task", taskText(decision.task)},
                                     {"run", fmt::to_string(decision.run)},
                                     {"worker", decision.worker.text()},
                                     {"inputs", decision.inputs}});
}

void DecisionLog::advance(TimePoint now)
{
    if (now < windowStart_ + window) {
        return;
    }
    windowStart_ = now;
    frequentInWindow_ = 0;
    othersInWindow_ = 0;
    if (suppressed_ > 0) {
        logEvent(events::decisionsSuppressed, {{"count", fmt::to_string(suppressed_)}});
        suppressed_ = 0;
    }
    writeReleaseSums();
}

// What is more than one second may have is left for the next one.
void DecisionLog::writeReleaseSums()
{
    for (int written = 0; written < maxEventsPerSecond && !releaseSums_.empty(); ++written) {
        const auto first = releaseSums_.begin();
        const auto &[worker, cause] = first->first;
        logEvent(events::releasesSuppressed,
                 {{"worker", worker.text()},
                  {"cause", std::string(engine::causeText(cause))},
                  {"count", fmt::to_string(first->second.count)},
                  {"previous", fmt::to_string(first->second.fromPreviousOwner)}});
        releaseSums_.erase(first);
    }
}

}  // namespace poplarstream::edge
