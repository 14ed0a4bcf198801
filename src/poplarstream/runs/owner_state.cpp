#include "poplarstream/runs/owner_state.hpp"

#include <algorithm>  // for max
#include <set>  // for set

#include "poplarstream/runs/queries.hpp"  // for findRun

namespace poplarstream {
namespace {

bool isTerminal(TaskState state)
{
    return state != TaskState::Running && state != TaskState::Refused;
}

OwnerTaskState knownSince(TimePoint now)
{
    OwnerTaskState task;
    task.knownSince = now;
    return task;
}

}  // namespace

void recordAppend(OwnerState &ownerState, const RunRecord &record, TimePoint now,
                  std::uint64_t connection)
{
    recordPending(ownerState.proposals, record, now, connection);
}

void recordReadBack(OwnerState &ownerState, const RunsState &state, const Logged<RunRecord> &logged,
                    const ApplyResult &applied, TimePoint now)
{
    const auto proposal = settle(ownerState.proposals, logged.record.header.id);
    if (!proposal || applied.isDuplicate) {
        return;
    }
    FencingToken token{logged.offset, 0};
    for (const RunEntry &entry : logged.record.entries) {
        if (const auto *lease = std::get_if<OwnerLease>(&entry)) {
            if (lease->owner == ownerState.self) {
                ownerState.leaseUntil = lease->duration.count() > 0
                                                ? std::max(ownerState.leaseUntil,
                                                           proposal->firstSentAt + lease->duration)
                                                : TimePoint{};
            }
        } else if (const auto *claimed = std::get_if<RunClaimed>(&entry)) {
            const Run *run = findRun(state, claimed->run);
            if (claimed->owner == ownerState.self && run && run->claim
                && run->claim->token == token) {
                OwnerTaskState &task = ownerState.tasks[token] = knownSince(now);
                task.isOwnClaim = true;
            }
        }
        ++token.index;
    }
}

void recordTaskObservation(OwnerState &ownerState, const TaskObservation &observation,
                           TimePoint now)
{
    OwnerTaskState &task =
            ownerState.tasks.try_emplace(observation.task.token, knownSince(now)).first->second;
    task.isStartRefused = task.isStartRefused || observation.state == TaskState::Refused;
    const bool isOlder = task.observation
                         && ((isTerminal(task.observation->state) && !isTerminal(observation.state))
                             || (task.observation->state == TaskState::Running
                                 && observation.state == TaskState::Refused));
    if (!isOlder) {
        task.observation = observation;
    }
}

void recordCommands(OwnerState &ownerState, std::span<const WorkerCommand> commands, TimePoint now)
{
    const auto task = [&](const TaskRef &ref) -> OwnerTaskState & {
        return ownerState.tasks.try_emplace(ref.token, knownSince(now)).first->second;
    };
    struct Recorder
    {
        decltype(task) &find;
        OwnerState &ownerState;
        TimePoint now;

        void operator()(const StartTask &c) const { find(c.task).startSentAt = now; }
        void operator()(const RevokeTask &c) const { find(c.task).revokeSentAt = now; }
        void operator()(const StopTask &c) const { find(c.task).stopSentAt = now; }
        void operator()(const ThrottleTask &c) const
        {
            OwnerTaskState &throttled = find(c.task);
            throttled.isThrottled = !c.isLifted;
            throttled.throttleSentAt = now;
        }
        void operator()(const CheckpointTask &c) const { find(c.task).checkpointSentAt = now; }
        void operator()(const RenewLeases &c) const
        {
            for (const FencingToken &token : c.tokens) {
                ownerState.tasks.try_emplace(token, knownSince(now)).first->second.renewedAt = now;
            }
        }
    };
    for (const WorkerCommand &command : commands) {
        std::visit(Recorder{task, ownerState, now}, command);
    }
}

void recordKnownAttempt(OwnerState &ownerState, const FencingToken &token, TimePoint now)
{
    ownerState.tasks.try_emplace(token, knownSince(now));
}

void recordArrivalSent(OwnerState &ownerState, const RunId &run, TimePoint now)
{
    ownerState.arrivalSentAt[run] = now;
}

void recordArrivalConfirmed(OwnerState &ownerState, const RunId &run, TimePoint now)
{
    ownerState.arrivedAt[run] = now;
}

void eraseSettled(OwnerState &ownerState, const RunsState &state)
{
    // After a state transfer from a peer, the state contains records of this process that it did
    // not read back. Their claims do not become `isOwnClaim`.
    std::vector<RecordId> transferred;
    for (const auto &[id, proposal] : ownerState.proposals.pending) {
        if (isRecordApplied(state, id)) {
            transferred.push_back(id);
        }
    }
    for (const RecordId &id : transferred) {
        settle(ownerState.proposals, id);
    }
    std::set<FencingToken> open;
    for (const std::uint64_t ordinal : state.active) {
        const Run &run = state.runs.find(ordinal)->second;
        if (run.claim) {
            open.insert(run.claim->token);
        }
        for (const LostAttempt &attempt : run.lostAttempts) {
            open.insert(attempt.token);
        }
    }
    std::erase_if(ownerState.tasks, [&](const auto &task) { return !open.contains(task.first); });
    const auto hasArrived = [&](const auto &entry) {
        const Run *run = findRun(state, entry.first);
        return !run || !state.pendingHandOvers.contains(run->ordinal);
    };
    std::erase_if(ownerState.arrivalSentAt, hasArrived);
    std::erase_if(ownerState.arrivedAt, hasArrived);
}

}  // namespace poplarstream
