#include "poplarstream/runs/owner_memory.hpp"

#include <algorithm>  // for max
#include <set>  // for set

#include "poplarstream/runs/queries.hpp"  // for findRun

namespace poplarstream {
namespace {

bool isEnd(TaskState state)
{
    return state != TaskState::Running && state != TaskState::Refused;
}

TaskMemory knownSince(TimePoint now)
{
    TaskMemory task;
    task.knownSince = now;
    return task;
}

}  // namespace

void noteAppend(OwnerMemory &memory, const RunRecord &record, TimePoint now,
                std::uint64_t connection)
{
    notePending(memory.proposals, record, now, connection);
}

void noteReadBack(OwnerMemory &memory, const RunsState &state, const Logged<RunRecord> &logged,
                  const ApplyResult &applied, TimePoint now)
{
    const auto proposal = settle(memory.proposals, logged.record.header.id);
    if (!proposal || applied.isDuplicate) {
        return;
    }
    FencingToken token{logged.offset, 0};
    for (const RunEntry &entry : logged.record.entries) {
        if (const auto *lease = std::get_if<OwnerLease>(&entry)) {
            if (lease->owner == memory.self) {
                memory.leaseUntil = lease->duration.count() > 0
                                            ? std::max(memory.leaseUntil,
                                                       proposal->firstSentAt + lease->duration)
                                            : TimePoint{};
            }
        } else if (const auto *claimed = std::get_if<RunClaimed>(&entry)) {
            const Run *run = findRun(state, claimed->run);
            if (claimed->owner == memory.self && run && run->claim && run->claim->token == token) {
                TaskMemory &task = memory.tasks[token] = knownSince(now);
                task.isFresh = true;
            }
        }
        ++token.index;
    }
}

void noteTask(OwnerMemory &memory, const TaskObservation &observation, TimePoint now)
{
    TaskMemory &task =
            memory.tasks.try_emplace(observation.task.token, knownSince(now)).first->second;
    task.isStartRefused = task.isStartRefused || observation.state == TaskState::Refused;
    const bool isOlder = task.seen
                         && ((isEnd(task.seen->state) && !isEnd(observation.state))
                             || (task.seen->state == TaskState::Running
                                 && observation.state == TaskState::Refused));
    if (!isOlder) {
        task.seen = observation;
    }
}

void noteCommands(OwnerMemory &memory, std::span<const WorkerCommand> commands, TimePoint now)
{
    const auto task = [&](const TaskRef &ref) -> TaskMemory & {
        return memory.tasks.try_emplace(ref.token, knownSince(now)).first->second;
    };
    struct Note
    {
        decltype(task) &find;
        OwnerMemory &memory;
        TimePoint now;

        void operator()(const StartTask &c) const { find(c.task).startSentAt = now; }
        void operator()(const RevokeTask &c) const { find(c.task).revokeSentAt = now; }
        void operator()(const StopTask &c) const { find(c.task).stopSentAt = now; }
        void operator()(const ThrottleTask &c) const
        {
            TaskMemory &throttled = find(c.task);
            throttled.isThrottled = !c.isLifted;
            throttled.throttleSentAt = now;
        }
        void operator()(const CheckpointTask &c) const { find(c.task).checkpointSentAt = now; }
        void operator()(const RenewLeases &c) const
        {
            for (const FencingToken &token : c.tokens) {
                memory.tasks.try_emplace(token, knownSince(now)).first->second.renewedAt = now;
            }
        }
    };
    for (const WorkerCommand &command : commands) {
        std::visit(Note{task, memory, now}, command);
    }
}

void noteKnown(OwnerMemory &memory, const FencingToken &token, TimePoint now)
{
    memory.tasks.try_emplace(token, knownSince(now));
}

void noteArrivalSent(OwnerMemory &memory, const RunId &run, TimePoint now)
{
    memory.arrivalSentAt[run] = now;
}

void noteArrived(OwnerMemory &memory, const RunId &run, TimePoint now)
{
    memory.arrivedAt[run] = now;
}

void forgetSettled(OwnerMemory &memory, const RunsState &state)
{
    // After a state transfer from a peer, the own records are in the state but were not read back
    // here. Their claims are not fresh then.
    std::vector<RecordId> transferred;
    for (const auto &[id, proposal] : memory.proposals.pending) {
        if (isRecordApplied(state, id)) {
            transferred.push_back(id);
        }
    }
    for (const RecordId &id : transferred) {
        settle(memory.proposals, id);
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
    std::erase_if(memory.tasks, [&](const auto &task) { return !open.contains(task.first); });
    const auto hasArrived = [&](const auto &entry) {
        const Run *run = findRun(state, entry.first);
        return !run || !state.pendingHandOvers.contains(run->ordinal);
    };
    std::erase_if(memory.arrivalSentAt, hasArrived);
    std::erase_if(memory.arrivedAt, hasArrived);
}

}  // namespace poplarstream
