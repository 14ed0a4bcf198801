#pragma once

#include <string>  // for string

#include "poplarstream/runs/replay.hpp"  // for ApplyResult

namespace poplarstream {

// Why an entry was refused; empty if it was granted.
using RefusalReason = std::string;

// Visitor that applies the entries of one record in order.
struct Replay
{
    RunsState &state;
    ApplyResult &applied;
    FencingToken token;  // of the current entry

    RefusalReason operator()(const RunAccepted &accepted);
    RefusalReason operator()(const RunClaimed &claimed);
    RefusalReason operator()(const RunTakenOver &taken);
    RefusalReason operator()(const RunStarted &started);
    RefusalReason operator()(const RunFinished &finished);
    RefusalReason operator()(const RunReleased &released);
    RefusalReason operator()(const RunsCancelled &cancelled);
    RefusalReason operator()(const RunDeadLettered &deadLettered);
    RefusalReason operator()(const RunHandedOver &handed);
    RefusalReason operator()(const RunReceived &received);
    RefusalReason operator()(const HandOverConfirmed &confirmed);
    RefusalReason operator()(const OwnerLease &lease);
    RefusalReason operator()(const SnapshotPart &) { return {}; }

    void refuse(const RunId &run, RefusalReason reason);
};

inline constexpr const char *unknownRun = "the run is not known";
inline constexpr const char *staleToken = "the claim is over or another one was granted";

RefusalReason invalidStage(const Run &run);

// Whether the token belongs to the current claim of the run.
bool holdsClaim(const Run &run, const FencingToken &token);

// Adds a newly accepted or received run to the state.
void insertAccepted(RunsState &state, const RunAccepted &accepted);

}  // namespace poplarstream
