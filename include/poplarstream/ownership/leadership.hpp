#pragma once

#include <cstdint>  // for int64_t
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::ownership {

// A record by which a process claims, renews or resigns the ownership of a shard. Each record is
// appended on the condition that nothing else was appended since the log was read.
struct OwnershipRecord
{
    enum class Kind { Claim, Renewal, Resignation };

    Kind kind = Kind::Claim;
    std::int64_t epoch = 0;  // increases with each claim
    EntryHostId owner;
    std::string address;  // where the owner serves the other entry hosts
    std::string incarnation;  // of the owner's process
    std::int64_t sequence = 0;  // increases with each write of the incarnation
    double processorShare = 1.0;  // processor time of the owner, in cores
    double largestShare = 1.0;  // largest processor share of any owner so far
    // Age of the last command to each machine, by this owner or a previous one; 0 for machines that
    // the owner commands once this record is confirmed.
    std::map<std::string, Milliseconds> recentMachineCommands;
    // The waves whose maintenance is over in this shard, as this owner or a previous one found.
    std::set<std::int64_t> carriedOutWaves;
    // Whether the owner has fenced the progress of earlier owners.
    bool hasFenced = false;
    // Of a renewal: the client accounts of which less is to be accepted, as accounts::encodeHolds
    // writes them.
    std::string accountHolds;
};

std::string encodeOwnership(const OwnershipRecord &record);
std::optional<OwnershipRecord> decodeOwnership(std::string_view text);

struct LeadershipSettings
{
    Milliseconds renewalInterval{300};
    // An owner issues no commands if its last confirmed renewal is older than this: the renewal
    // interval plus the time that a slow store takes for a write and a read.
    Milliseconds validity{1300};
    // Another process claims the ownership if it has read no renewal for this long: the validity
    // plus the time from sending a renewal to reading it.
    Milliseconds ownerTimeout{1700};
    // Largest extra delay of a claim; it differs by process, so that equal candidates do not claim
    // at the same time.
    Milliseconds claimSpread{120};
    // Extra claim delay of a candidate with a smaller processor share: this much per unit by which
    // the ratio of the largest share to its own exceeds 1, up to the maximum.
    Milliseconds smallShareDelay{400};
    Milliseconds maxSmallShareDelay{2400};
    // A process whose share is at least this many times the owner's takes over after the takeover
    // delay, which lets a new owner load all jobs first.
    double takeoverShareRatio = 1.5;
    Milliseconds takeoverDelay{3000};
    // After an outage of the log the owner has this long for its next renewal: one interval plus
    // the time of a call that failed late.
    Milliseconds recoveryGrace{1000};
    // Commands to machines are passed on in the records for this long, which is longer than a
    // successor has to respect them.
    Milliseconds machineCommandRetention{5000};
    // Interval at which a process reads the log if it may be the next owner.
    Milliseconds candidateReadInterval{250};
    // The same for a process whose claim waits for larger ones: short enough for two reads before a
    // claim of the smallest entry hosts (0.12 of a core beside 0.5), whatever their spread.
    Milliseconds otherReadInterval{1450};
    // Delay of the first claim in an empty log, divided by the processor share, as processes start
    // at different times.
    Milliseconds firstClaimDelay{200};
    // Largest extra delay of the first claim of a shard other than 0; it differs by process and
    // shard, so that the processes that read an empty log together do not all claim the same shard.
    Milliseconds firstClaimSpread{400};
};

enum class LeadershipStep { None, Claim, Renew, Resign };

// What the log tells a process of the owners before it.
struct EarlierOwners
{
    // The record that this process's newest claim followed; none in an empty log. A claim is
    // appended on the condition that it was read, so no earlier owner has written a later one.
    std::optional<OwnershipRecord> predecessor;
    // Until when an owner before the newest one, which has not resigned as far as is known, may
    // have had confirmations.
    TimePoint unresignedUntil{};
};

// The view of one process on the ownership. All times are of its own steady clock, which also
// advances while the process is suspended.
struct Leadership
{
    LeadershipSettings settings;
    EntryHostId self;
    std::string address;
    std::string incarnation;
    int shard = 0;
    double processorShare = 1.0;  // processor time for this shard, in cores

    std::optional<OwnershipRecord> last;  // newest record of the log
    TimePoint lastSeenAt{};  // when it was read by this process
    TimePoint ownerSince{};  // when this process read the first record of its epoch
    EarlierOwners earlier;
    TimePoint inContactSince{};  // since when the log has been readable
    // Whether the log is readable now. Without contact, `inContactSince` is that of the time
    // before.
    bool isInContact = true;
    std::int64_t endOffset = 0;  // of the log, as far as it was read
    bool hasRead = false;
    bool isWriting = false;
    TimePoint confirmedAt{};  // when the newest confirmed record of this process was sent
    TimePoint writtenAt{};
    std::int64_t lastSequence = 0;  // of this process's writes
    std::map<std::int64_t, TimePoint> sentAt;  // of this process's latest writes, by sequence
    bool wantsRenewal = false;  // renew before the interval has passed
    std::vector<std::string> machinesToCommand;  // listed in the next renewal
    std::map<std::string, TimePoint> recentMachineCommands;  // by any owner
    std::set<std::int64_t> carriedOutWaves;  // as any owner found
    std::string accountHolds;  // for the renewals
    bool isLeaving = false;  // resigns and makes no more claims
    // The sequences of this process's resignations that are or may yet be stored.
    std::set<std::int64_t> openResignations;
    std::int64_t abandonedEpoch = 0;  // the ownership of this epoch is resigned
    std::int64_t fencedEpoch = 0;  // this process has fenced the progress of earlier ones
};

bool isOwner(const Leadership &leadership);

// Whether this process is the owner or has sent a claim whose outcome it does not know.
bool isHolding(const Leadership &leadership);

// Whether a resignation of this process has been sent and may be stored. A successor that reads it
// relies on it that this process renews no lease and sends no command any more, so both end before
// it is sent.
bool mayHaveResigned(const Leadership &leadership);

// Whether this process may issue commands at `now`.
bool mayIssueCommands(const Leadership &leadership, TimePoint now);

// Extra delay of a claim by this process, so that better candidates can claim first.
Milliseconds claimDelay(const Leadership &leadership);

// How long this process waits between two reads of the log. Only the processes that may claim next
// read often, so that the number of reads hardly grows with the deployment.
Milliseconds readInterval(const Leadership &leadership);

// When this process claims the ownership unless it reads another record.
TimePoint earliestClaim(const Leadership &leadership);

// What this process has to write now. A leaving owner resigns while its ownership is confirmed: in
// an outage its resignation would reach nobody, and the leases of the workers would expire.
LeadershipStep nextStep(const Leadership &leadership, TimePoint now);

// Returns the record for a step, to be appended at the end of the log as it was read. At most one
// write is in progress at a time.
OwnershipRecord beginWrite(Leadership &leadership, LeadershipStep step, TimePoint now);

// Until when an earlier owner may renew the leases of workers. The present owner has fenced the
// progress of its predecessor at `fencedAt`. Owners that have not resigned renew leases for `grace`
// after their last confirmation. A resignation says nothing of the owner before it unless its
// writer had fenced that one.
TimePoint earlierRenewalsUntil(const EarlierOwners &earlier, TimePoint fencedAt,
                               Milliseconds grace);

// Handles a confirmed write; `endOffset` is the end of the log after it.
void confirmWrite(Leadership &leadership, const OwnershipRecord &record, std::int64_t endOffset,
                  TimePoint now);

// Handles a write that was refused or got no response. The log shows whether it was stored.
// `mayBeStored` is false only if the store says that nothing was written.
void failWrite(Leadership &leadership, const OwnershipRecord &record, bool mayBeStored);

// Handles records read from the log; `endOffset` is the end of what was read. A record of this
// process confirms its write, whether or not the response arrived.
void observe(Leadership &leadership, const std::optional<OwnershipRecord> &newest,
             std::int64_t endOffset, TimePoint now);

}  // namespace poplarstream::ownership
