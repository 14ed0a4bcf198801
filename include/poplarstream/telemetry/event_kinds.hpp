#pragma once

#include "poplarstream/telemetry/event.hpp"  // for EventKind

// The kinds of events, ordered by number: 1xx process, 2xx log and configuration, 3xx hosts and
// waves, 4xx runs, 5xx urgent requests, 6xx peers, 7xx jobs. Each constant has the name of its
// event.
namespace poplarstream::events {

inline constexpr EventKind entryHostStarting{100, EventLevel::Info, "entry-host-starting",
                                             "id zone version", "None."};
inline constexpr EventKind entryHostReady{101, EventLevel::Info, "entry-host-ready",
                                          "config offset", "None."};
inline constexpr EventKind entryHostLeaving{
        102, EventLevel::Info, "entry-host-leaving", "",
        "None; the process ends when the requests in progress have been answered."};
inline constexpr EventKind entryHostStopped{
        103, EventLevel::Info, "entry-host-stopped", "seconds drained left",
        "None, unless drained is no: then requests were cut off at the drain limit."};
inline constexpr EventKind settingsFault{104, EventLevel::Error, "settings-fault",
                                         "file section key fault",
                                         "Correct the key and start the process again."};
inline constexpr EventKind settingsReloaded{
        108, EventLevel::Info, "settings-reloaded", "sound",
        "None; if sound is no, correct the keys of the events before it."};
inline constexpr EventKind noConfiguration{
        105, EventLevel::Warning, "no-configuration", "",
        "Publish a document; until then the process is not ready."};
inline constexpr EventKind internalFault{
        106, EventLevel::Error, "internal-fault", "duty fault",
        "Report it with the surrounding lines. The other duties continue."};
inline constexpr EventKind ringFull{
        107, EventLevel::Warning, "ring-full", "ring refused",
        "If it repeats, add entry hosts or look for a slow duty in /metrics."};

inline constexpr EventKind configurationInForce{200, EventLevel::Info, "configuration-in-force",
                                                "config offset author", "None."};
inline constexpr EventKind configurationRefused{
        201, EventLevel::Warning, "configuration-refused", "record reason",
        "Redo the change on the version in force and publish it."};
inline constexpr EventKind recordUnreadable{
        202, EventLevel::Error, "record-unreadable", "stream offset fault",
        "Check that all entry hosts run the same release; the record is skipped."};
inline constexpr EventKind snapshotRestored{203, EventLevel::Info, "snapshot-restored",
                                            "stream through", "None."};
inline constexpr EventKind snapshotWritten{204, EventLevel::Info, "snapshot-written",
                                           "stream through parts", "None."};
inline constexpr EventKind retentionGap{
        205, EventLevel::Error, "retention-gap", "stream expected first",
        "Records were dropped by the log before a snapshot covered them; the process "
        "restarts its replay from the newest snapshot or a peer."};
inline constexpr EventKind stateFromPeer{206, EventLevel::Info, "state-from-peer", "peer through",
                                         "None."};
inline constexpr EventKind logUnavailable{
        210, EventLevel::Warning, "log-unavailable", "fault",
        "Check the platform's log service. Urgent requests continue."};
inline constexpr EventKind logAvailable{211, EventLevel::Info, "log-available", "offset", "None."};
inline constexpr EventKind appendUnknown{
        212, EventLevel::Warning, "append-unknown", "stream record",
        "None; the log is searched for the record before the append is repeated."};
inline constexpr EventKind dutyAcquired{220, EventLevel::Info, "duty-acquired", "duty", "None."};
inline constexpr EventKind dutyLost{221, EventLevel::Info, "duty-lost", "duty", "None."};

inline constexpr EventKind absenceGranted{300, EventLevel::Info, "absence-granted",
                                          "host pool kind wave", "None."};
inline constexpr EventKind absenceRefused{301, EventLevel::Info, "absence-refused", "host reason",
                                          "None; it is proposed again when the budget allows it."};
inline constexpr EventKind absenceProgress{302, EventLevel::Info, "absence-progress", "host phase",
                                           "None."};
inline constexpr EventKind hostMoved{303, EventLevel::Info, "host-moved", "host from to", "None."};
inline constexpr EventKind hostFailed{
        304, EventLevel::Warning, "host-failed", "host evidence",
        "Repair or replace the host; it counts as away until it is back."};
inline constexpr EventKind hostRecovered{305, EventLevel::Info, "host-recovered", "host", "None."};
inline constexpr EventKind hostNotBack{
        306, EventLevel::Error, "host-not-back", "page",
        "The host did not come back from its reboot. Repair or remove it."};
inline constexpr EventKind zoneReachability{307, EventLevel::Warning, "zone-reachability",
                                            "zone lost", "Check the network between the zones."};
inline constexpr EventKind waveProgress{308, EventLevel::Info, "wave-progress", "wave done",
                                        "None."};

inline constexpr EventKind runAccepted{400, EventLevel::Info, "run-accepted", "run service",
                                       "None."};
inline constexpr EventKind runClaimed{401, EventLevel::Info, "run-claimed", "run worker token",
                                      "None."};
inline constexpr EventKind runFinished{402, EventLevel::Info, "run-finished", "run outcome",
                                       "None."};
inline constexpr EventKind runSetAside{403, EventLevel::Warning, "run-set-aside", "run reason",
                                       "Correct the cause that is named and submit the run again."};
inline constexpr EventKind runMayHaveRun{
        404, EventLevel::Error, "run-may-have-run", "run",
        "Find out at the back end whether the run took effect; it is not started again."};
inline constexpr EventKind workerQuarantined{405, EventLevel::Warning, "worker-quarantined",
                                             "host evidence",
                                             "Inspect the worker; it gets probe runs only."};
inline constexpr EventKind workerSilent{406, EventLevel::Warning, "worker-silent", "host fault",
                                        "None unless it persists; the host then counts as failed."};
inline constexpr EventKind workerReleased{407, EventLevel::Info, "worker-released", "host",
                                          "None."};

inline constexpr EventKind requestRefused{
        500, EventLevel::Info, "request-refused", "service reason count",
        "If it repeats, compare the demand with the pool's size. Written at most once a "
        "second for each service and reason."};
inline constexpr EventKind minionEjected{501, EventLevel::Warning, "minion-ejected",
                                         "minion reason",
                                         "Inspect the minion; probes let it back in."};
inline constexpr EventKind minionLeaving{502, EventLevel::Info, "minion-leaving", "minion",
                                         "None."};
inline constexpr EventKind connectionSilent{
        503, EventLevel::Warning, "connection-silent", "connections",
        "If it repeats, look at the network between the entry host and the minions."};
inline constexpr EventKind peerSuspected{600, EventLevel::Warning, "peer-suspected", "peer",
                                         "None unless the peer stays unreachable."};
inline constexpr EventKind peerSeen{601, EventLevel::Info, "peer-seen", "peer incarnation",
                                    "None."};

inline constexpr EventKind ownershipSeen{700, EventLevel::Info, "ownership-seen",
                                         "owner epoch resigned shard incarnation", "None."};
inline constexpr EventKind ownershipLost{701, EventLevel::Info, "ownership-lost", "epoch shard",
                                         "None; another entry host takes over."};
inline constexpr EventKind ownerLoaded{702, EventLevel::Info, "owner-loaded",
                                       "epoch jobs active shard adopted adopted_workers "
                                       "without_job",
                                       "If `without_job` is not 0, look for 748: the submissions "
                                       "of these jobs were not in the job log yet, or are no "
                                       "longer there."};
inline constexpr EventKind progressNotStored{
        703, EventLevel::Warning, "progress-not-stored", "reason",
        "Check the platform's store. Nothing new starts until the write is repeated."};
inline constexpr EventKind ownershipUnconfirmed{
        704, EventLevel::Warning, "ownership-unconfirmed",
        "epoch confirmed_ms_ago last_write shard",
        "Nothing new starts until 705 or 701; look at the store's response time."};
inline constexpr EventKind ownershipConfirmed{705, EventLevel::Info, "ownership-confirmed",
                                              "epoch unconfirmed_ms shard", "None."};
inline constexpr EventKind startsHeld{
        706, EventLevel::Warning, "starts-held", "epoch read_ms_ago shard",
        "Nothing new starts until 707: cancellations may be unread. Check the store, and the "
        "processor time of this process."};
inline constexpr EventKind startsResumed{707, EventLevel::Info, "starts-resumed",
                                         "epoch held_ms shard", "None."};
inline constexpr EventKind callbackFailed{
        708, EventLevel::Error, "callback-failed", "error",
        "Report it with the log before it. The process goes on; if it owned the jobs, another "
        "takes over."};
inline constexpr EventKind recordNotStorable{
        709, EventLevel::Error, "record-not-storable", "log",
        "Report it: a key is empty or longer than the store allows, so nothing was written."};
inline constexpr EventKind jobAccepted{710, EventLevel::Info, "job-accepted", "job queue", "None."};
inline constexpr EventKind jobRefused{
        711, EventLevel::Warning, "job-refused", "job reason",
        "See the reason; the response tells the caller whether to retry."};
inline constexpr EventKind jobCancelled{712, EventLevel::Info, "job-cancelled", "job", "None."};
inline constexpr EventKind taskPlanned{
        713, EventLevel::Info, "task-planned", "task run worker inputs",
        "None; for a job of an account, `inputs` give what the account had in use here, and its "
        "limit."};
inline constexpr EventKind taskEnded{714, EventLevel::Info, "task-ended", "task run worker inputs",
                                     "None; end=failed counts as an attempt of the task."};
inline constexpr EventKind taskReleased{
        715, EventLevel::Info, "task-released", "task run worker inputs",
        "None; the task starts again, since this run is not running and will not run later."};
inline constexpr EventKind taskStopped{716, EventLevel::Info, "task-stopped",
                                       "task run worker inputs", "None."};
inline constexpr EventKind taskRelieved{717, EventLevel::Warning, "task-relieved",
                                        "task run worker inputs",
                                        "If it repeats for one worker, look at that worker."};
inline constexpr EventKind jobEnded{718, EventLevel::Info, "job-ended", "task run worker inputs",
                                    "If state=failed, see task-ended of its tasks, or task-lost if "
                                    "crashes= is given."};
inline constexpr EventKind decisionsSuppressed{
        719, EventLevel::Warning, "decisions-suppressed", "count",
        "None; the log is bounded under load. The counters on the metrics page are complete."};
inline constexpr EventKind machineOrdered{
        720, EventLevel::Info, "machine-ordered", "machine order to result permitted_ms_ago",
        "None; a command that was not carried out is repeated or "
        "given up, depending on its result. `permitted_ms_ago` is "
        "the age of the permission when the command was written; "
        ""
        "withheld: it had run out by then."};
inline constexpr EventKind waveReported{721, EventLevel::Info, "wave-reported", "wave completed",
                                        "None."};
inline constexpr EventKind poolSized{
        722, EventLevel::Info, "pool-sized",
        "pool wanted kept present open coming silent leaving running_milli waiting_milli "
        "late_milli "
        "expected_milli shard",
        "If `wanted` stays above `present`, look for refused machine commands (720)."};
inline constexpr EventKind waveUnderWay{
        723, EventLevel::Info, "wave-under-way",
        "wave left away hosts not_up oldest oldest_ms held_by shard",
        "If `oldest_ms` keeps rising, see `held_by`: tasks of the "
        "step are missing, or no worker has free capacity."};
inline constexpr EventKind ownerLoad{
        724, EventLevel::Info, "owner-load", "active waiting work calls shard",
        "`work` gives elapsed milliseconds and number of each kind of work since the last line. If "
        "their sum nears the processor share of the machine, let a larger machine own the jobs. "
        "`calls` gives the calls to workers by what they led to: polls with ends, long ones "
        "without, "
        "those for the progress of starting tasks, those that did not wait, those without a "
        "response; starts; stops."};
inline constexpr EventKind deploymentDivided{725, EventLevel::Info, "deployment-divided", "shards",
                                             "None; the number never changes afterwards."};
inline constexpr EventKind workerSuspected{730, EventLevel::Warning, "worker-suspected",
                                           "task run worker inputs",
                                           "If it repeats, take the worker out of its pool."};
inline constexpr EventKind workerEnded{731, EventLevel::Info, "worker-ended",
                                       "task run worker inputs",
                                       "None if planned=true; otherwise see 736 of the same worker "
                                       "for the tasks that were lost with it."};
inline constexpr EventKind workerUnanswered{732, EventLevel::Warning, "worker-unanswered",
                                            "task run worker inputs",
                                            "Check the network to the worker."};
inline constexpr EventKind workerAnswers{733, EventLevel::Info, "worker-answers",
                                         "task run worker inputs", "None."};
inline constexpr EventKind leaseLapsed{734, EventLevel::Warning, "lease-lapsed",
                                       "task run worker inputs",
                                       "None; its tasks start elsewhere."};
inline constexpr EventKind startUnanswered{
        735, EventLevel::Warning, "start-unanswered", "task run worker inputs",
        "None; a poll settles whether the run has started. Check the network to the worker."};
inline constexpr EventKind taskLost{736, EventLevel::Warning, "task-lost", "task run worker inputs",
                                    "If `crashes` and `suspicion` of one task rise from worker to "
                                    "worker, the task takes its workers down and its job is given "
                                    "up: tell its owner. shared=true points to the rack."};
inline constexpr EventKind taskGivenUp{
        737, EventLevel::Error, "task-given-up", "task run worker inputs",
        "Tell the owner of the job: the task takes its workers down and is not started any more; "
        "the "
        "other tasks go on. See 736 of the task. Waves wait as if the task were away."};
inline constexpr EventKind workerTrusted{738, EventLevel::Info, "worker-trusted",
                                         "task run worker inputs", "None."};
inline constexpr EventKind workerEntryUnusable{
        745, EventLevel::Warning, "worker-entry-unusable", "entry fault",
        "Find out who writes the entry. Its worker gets no new task until a usable entry comes; "
        "the "
        "other workers are used as before. Written once for an entry until it is removed."};
inline constexpr EventKind progressRefused{
        746, EventLevel::Error, "progress-refused", "key",
        "Report it: the store refuses this record of the progress for good. If it belongs to a "
        "job, the job fails; all others go on."};
inline constexpr EventKind takeoverBegun{
        747, EventLevel::Info, "takeover-begun",
        "epoch shard predecessor predecessor_epoch predecessor_incarnation resigned wait_ms",
        "None; if tasks run twice, compare `predecessor` and `resigned` with 700 and 731 of the "
        "time. A `wait_ms` below 8000 with resigned=no is a fault: report it."};
inline constexpr EventKind lateJob{
        748, EventLevel::Warning, "late-job", "job runs",
        "None; the job goes on with its stored progress. If it repeats, look at the response times "
        "of the store's job log."};
inline constexpr EventKind releasesSuppressed{749, EventLevel::Info, "releases-suppressed",
                                              "worker cause count previous",
                                              "None; it stands for `count` lines 715 of the worker "
                                              "that the log suppressed. `previous` of "
                                              "these runs were taken over from an earlier owner."};
inline constexpr EventKind zoneSilent{
        750, EventLevel::Warning, "zone-silent", "zone shard workers away",
        "Check the network to the zone, also the platform's. Its tasks start elsewhere once their "
        "leases have lapsed, and its machines without a known worker get no command."};
inline constexpr EventKind zoneHeard{
        751, EventLevel::Info, "zone-heard", "zone shard workers away",
        "None; `workers` and `away` are those when the zone was last silent."};
inline constexpr EventKind jobHeld{
        752, EventLevel::Error, "job-held", "job fault",
        "Report it: the stored progress of the job could not be read in full, so nothing of it "
        "starts. Let a process that can read it become the owner, or cancel the job and submit it "
        "again under another id if running tasks again does no harm."};
inline constexpr EventKind accountCapped{
        756, EventLevel::Info, "account-capped", "task run worker inputs",
        "None if the account has what it pays for: its cap keeps further tasks waiting. "
        "reason=gang-wider-than-cap: raise the cap or tell the customer, since the gang never "
        "starts. reason=account-not-configured: the account was removed while jobs of it wait; add "
        "it again or cancel them."};
inline constexpr EventKind accountUncapped{757, EventLevel::Info, "account-uncapped",
                                           "task run worker inputs",
                                           "None; the cap keeps nothing of the account waiting."};
inline constexpr EventKind callRejected{
        760, EventLevel::Warning, "call-rejected", "reason queue count",
        "If the account complains, compare its key with the configuration in force (200). "
        "reason=not-current: this process cannot read the store. Written at most once a second; "
        "`count` is the calls since the last line, `reason` and `queue` are those of the newest."};
inline constexpr EventKind configurationUnusable{
        761, EventLevel::Error, "configuration-unusable", "in_force offset fault",
        "Correct the field that is named and write a higher version; until then the version "
        "`in_force` stays, 0 if there is none."};
inline constexpr EventKind capLent{
        763, EventLevel::Info, "cap-lent",
        "shard borrower account cpu_milli memory_mb gpus omitted",
        "None; the amounts are all that the shard has lent the borrower of the account's cap. Of "
        "763, 764 and 765 each, at most one line is written in a second; `omitted` counts the "
        "others."};
inline constexpr EventKind capNotLent{
        764, EventLevel::Info, "cap-not-lent",
        "shard borrower account cpu_milli memory_mb gpus omitted",
        "None; the account has work that waits at the borrower, and this shard has nothing to "
        "spare of its cap. The amounts are those that were asked for."};
inline constexpr EventKind capReturned{765, EventLevel::Info, "cap-returned",
                                       "shard borrower account cpu_milli memory_mb gpus omitted",
                                       "None; the amounts are what is still lent."};
inline constexpr EventKind storeCircuitOpened{
        770, EventLevel::Warning, "store-circuit-opened", "partition result owner_reached waiting",
        "Check the platform's store. Submissions wait while their callers do. owner_reached=no "
        "points to the network of this host."};
inline constexpr EventKind storeCircuitClosed{771, EventLevel::Info, "store-circuit-closed",
                                              "partition away_ms waiting",
                                              "None; what waits is stored now."};
inline constexpr EventKind accountHeld{
        772, EventLevel::Warning, "account-held",
        "account shard accepted_per_s owed_per_s wait_ms objective_ms admitted_permille",
        "None; its submissions beyond its share are rejected with 429. If it repeats, raise the "
        "account's weight or add machines."};
inline constexpr EventKind accountAdmitted{773, EventLevel::Info, "account-admitted",
                                           "account shard", "None."};
inline constexpr EventKind pairNamed{
        780, EventLevel::Info, "pair-named", "task run worker inputs",
        "None; tasks of image `neighbour` slow those of `victim` down (by a factor of e to the "
        "power of `effect`), so they are kept apart where there is room."};
inline constexpr EventKind pairForgotten{781, EventLevel::Info, "pair-forgotten",
                                         "task run worker inputs",
                                         "None; the two images may share workers again."};
inline constexpr EventKind taskPaced{
        782, EventLevel::Info, "task-paced", "task run worker inputs",
        "None; `load` is the highest tail latency beside it as a part of the target. With "
        "no_effect=yes the target was missed while nothing filled. If it repeats for one worker, "
        "add workers to the pool."};
inline constexpr EventKind taskSeparated{783, EventLevel::Info, "task-separated",
                                         "task run worker inputs",
                                         "None; the filling task starts on a worker without "
                                         "serving tasks, or, where no pace acts in "
                                         "time and there is none, after a rest of 4 s."};
inline constexpr EventKind taskUnplaced{
        784, EventLevel::Warning, "task-unplaced", "task run worker inputs",
        "`tasks` of the step of `task` have been waiting for `waits_ms` although `with_room` of "
        "the "
        "service's `workers` have room. The other fields count these by what keeps the tasks off "
        "them; OPERATIONS.md says what to do about each."};

}  // namespace poplarstream::events
