#include "poplarstream/runs/replay.hpp"

#include <algorithm>  // for none_of, max

#include <fmt/format.h>  // for format

#include "poplarstream/runs/queries.hpp"  // for findRun, findRunByKey
#include "replay_step.hpp"  // for Replay, RefusalReason
#include "run_index.hpp"  // for insertRun, markRecordSeen, evictExpired

namespace poplarstream {
namespace {

RunId runOf(const RunEntry &entry)
{
    return std::visit(
            [](const auto &e) -> RunId {
                if constexpr (requires { e.run; }) {
                    return e.run;
                } else if constexpr (requires { e.accepted.run; }) {
                    return e.accepted.run;
                } else {
                    return {};
                }
            },
            entry);
}

}  // namespace

RefusalReason invalidStage(const Run &run)
{
    return fmt::format("the run is {}", stageText(run.stage));
}

bool holdsClaim(const Run &run, const FencingToken &token)
{
    return run.claim && run.claim->token == token;
}

void insertAccepted(RunsState &state, const RunAccepted &accepted)
{
    Run run;
    run.accepted = accepted;
    run.ordinal = state.nextOrdinal++;
    run.acceptedAt = run.waitingSince = state.now;
    insertRun(state, std::move(run));
}

RefusalReason Replay::operator()(const RunAccepted &accepted)
{
    if (findRun(state, accepted.run)) {
        return "the run id is in use";
    }
    if (!accepted.idempotencyKey.empty()) {
        if (const Run *first = findRunByKey(state, accepted.tenant, accepted.idempotencyKey)) {
            return first->accepted.payloadHash == accepted.payloadHash
                           ? fmt::format("the same request was accepted before as {}",
                                         first->id().text())
                           : "the idempotency key was used before with another payload";
        }
    }
    insertAccepted(state, accepted);
    return {};
}

RefusalReason Replay::operator()(const OwnerLease &lease)
{
    if (lease.duration.count() <= 0) {
        state.leases.erase(lease.owner);
        return {};
    }
    state.leases[lease.owner] = state.now + lease.duration;
    std::erase_if(state.leases,
                  [&](const auto &other) { return other.second + resultRetention < state.now; });
    return {};
}

void Replay::refuse(const RunId &run, RefusalReason reason)
{
    applied.refusals.push_back({token.offset, token.index, run, std::move(reason)});
    state.refusals.push_back(applied.refusals.back());
    if (state.refusals.size() > maxRefusals) {
        state.refusals.pop_front();
    }
}

bool ApplyResult::isGranted(std::uint32_t index) const
{
    return !isDuplicate
           && std::none_of(refusals.begin(), refusals.end(),
                           [&](const Refusal &refusal) { return refusal.index == index; });
}

ApplyResult apply(RunsState &state, const Logged<RunRecord> &logged)
{
    ApplyResult applied;
    if (logged.offset < state.nextOffset) {
        applied.isDuplicate = true;
        return applied;
    }
    state.nextOffset = logged.offset + 1;
    state.now = std::max(state.now, logged.time);
    evictExpired(state);
    if (!markRecordSeen(state, logged.record.header.id)) {
        applied.isDuplicate = true;
        return applied;
    }
    Replay replay{state, applied, {logged.offset, 0}};
    for (const RunEntry &entry : logged.record.entries) {
        if (RefusalReason reason = std::visit(replay, entry); !reason.empty()) {
            replay.refuse(runOf(entry), std::move(reason));
        }
        ++replay.token.index;
    }
    return applied;
}

}  // namespace poplarstream
