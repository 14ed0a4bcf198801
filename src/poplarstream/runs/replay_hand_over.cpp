#include "poplarstream/base/rendezvous.hpp"  // for stableHash
#include "poplarstream/runs/queries.hpp"  // for findRun
#include "replay_step.hpp"  // for Replay
#include "run_index.hpp"  // for setStage, markArrivalSeen, confirmHandOver

namespace poplarstream {

RefusalReason Replay::operator()(const RunHandedOver &handed)
{
    Run *run = findMutableRun(state, handed.run);
    if (!run) {
        return unknownRun;
    }
    const auto stage = next(run->stage, RunEvent::HandOver);
    if (!stage) {
        return invalidStage(*run);
    }
    if (run->mayHaveStarted) {
        // The other zone could neither revoke the earlier attempt nor guarantee a "not run"
        // verdict.
        return "an attempt in this zone may have started";
    }
    run->handedTo = handed.to;
    run->handedOverAt = token.offset;
    setStage(state, *run, *stage);
    return {};
}

RefusalReason Replay::operator()(const RunReceived &received)
{
    const std::uint64_t arrival = stableHash(
            received.accepted.run.text(), stableHash(received.from.text(), received.handedOverAt));
    if (!markArrivalSeen(state, arrival)) {
        return "the run has arrived before";
    }
    if (findRun(state, received.accepted.run)) {
        return "the run id is in use";
    }
    // The key was checked on acceptance; refusing the run here would lose an accepted run.
    insertAccepted(state, received.accepted);
    return {};
}

RefusalReason Replay::operator()(const HandOverConfirmed &confirmed)
{
    Run *run = findMutableRun(state, confirmed.run);
    if (!run) {
        return unknownRun;
    }
    if (!state.pendingHandOvers.contains(run->ordinal)) {
        return "no hand-over of the run is open";
    }
    confirmHandOver(state, *run);
    return {};
}

}  // namespace poplarstream
