#pragma once

#include <string>  // for string

#include "poplarstream/runs/replay.hpp"  // for ApplyResult

namespace poplarstream {

// Why an entry was refused; empty when it is granted.
using Reason = std::string;

// Applies the entries of one record, each in turn.
struct Replay
{
    RunsState &state;
    ApplyResult &applied;
    FencingToken token;  // of the entry at hand

    Reason operator()(const RunAccepted &accepted);
    Reason operator()(const RunClaimed &claimed);
    Reason operator()(const RunTakenOver &taken);
    Reason operator()(const RunStarted &started);
    Reason operator()(const RunFinished &finished);
    Reason operator()(const RunReleased &released);
    Reason operator()(const RunsCancelled &cancelled);
    Reason operator()(const RunDeadLettered &setAside);
    Reason operator()(const RunHandedOver &handed);
    Reason operator()(const RunReceived &received);
    Reason operator()(const HandOverConfirmed &confirmed);
    Reason operator()(const OwnerLease &lease);
    Reason operator()(const SnapshotPart &) { return {}; }

    void refuse(const RunId &run, Reason reason);
};

inline constexpr const char *unknownRun = "the run is not known";
inline constexpr const char *otherClaim = "the claim is over or another one was granted";

Reason invalidStage(const Run &run);

// Whether the token is that of the run's present claim.
bool holds(const Run &run, const FencingToken &token);

// Enters a run that the zone answers for from now on.
void insertAccepted(RunsState &state, const RunAccepted &accepted);

}  // namespace poplarstream
