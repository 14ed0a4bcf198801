#include <array>  // for array

#include <fmt/format.h>  // for format

#include "poplarstream/telemetry/event.hpp"  // for EventKind
#include "poplarstream/telemetry/event_kinds.hpp"  // for the kinds

namespace poplarstream {

namespace {

using namespace events;

constexpr std::array allKinds{
        entryHostStarting,
        entryHostReady,
        entryHostLeaving,
        entryHostStopped,
        settingsFault,
        noConfiguration,
        internalFault,
        ringFull,
        settingsReloaded,
        configurationInForce,
        configurationRefused,
        recordUnreadable,
        snapshotRestored,
        snapshotWritten,
        retentionGap,
        stateFromPeer,
        logUnavailable,
        logAvailable,
        appendUnknown,
        dutyAcquired,
        dutyLost,
        absenceGranted,
        absenceRefused,
        absenceProgress,
        hostMoved,
        hostFailed,
        hostRecovered,
        hostNotBack,
        zoneReachability,
        waveProgress,
        runAccepted,
        runClaimed,
        runFinished,
        runSetAside,
        runMayHaveRun,
        workerQuarantined,
        workerSilent,
        workerReleased,
        requestRefused,
        minionEjected,
        minionLeaving,
        connectionSilent,
        peerSuspected,
        peerSeen,
        ownershipSeen,
        ownershipLost,
        ownerLoaded,
        progressNotStored,
        ownershipUnconfirmed,
        ownershipConfirmed,
        startsHeld,
        startsResumed,
        callbackFailed,
        recordNotStorable,
        jobAccepted,
        jobRefused,
        jobCancelled,
        taskPlanned,
        taskEnded,
        taskReleased,
        taskStopped,
        taskRelieved,
        jobEnded,
        decisionsSuppressed,
        machineOrdered,
        waveReported,
        poolSized,
        waveUnderWay,
        ownerLoad,
        deploymentDivided,
        workerSuspected,
        workerEnded,
        workerUnanswered,
        workerAnswers,
        leaseLapsed,
        startUnanswered,
        taskLost,
        taskGivenUp,
        workerTrusted,
        workerEntryUnusable,
        progressRefused,
        takeoverBegun,
        lateJob,
        releasesSuppressed,
        zoneSilent,
        zoneHeard,
        jobHeld,
        accountCapped,
        accountUncapped,
        callRejected,
        configurationUnusable,
        capLent,
        capNotLent,
        capReturned,
        storeCircuitOpened,
        storeCircuitClosed,
        accountHeld,
        accountAdmitted,
        pairNamed,
        pairForgotten,
        taskPaced,
        taskSeparated,
        taskUnplaced,
};

}  // namespace

std::span<const EventKind> eventCatalogue()
{
    return allKinds;
}

std::string eventCatalogueMarkdown()
{
    std::string text = "| number | level | name | fields | what an operator does |\n"
                       "|---|---|---|---|---|\n";
    for (const EventKind &kind : eventCatalogue()) {
        const std::string_view level = kind.level == EventLevel::Info      ? "info"
                                       : kind.level == EventLevel::Warning ? "warning"
                                                                           : "error";
        text += fmt::format("| {} | {} | {} | {} | {} |\n", kind.number, level, kind.name,
                            kind.fields, kind.operatorAction);
    }
    return text;
}

}  // namespace poplarstream
