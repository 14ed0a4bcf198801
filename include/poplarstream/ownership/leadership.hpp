#pragma once

#include <cstdint>  // for int64_t
#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for EntryHostId
#include "poplarstream/base/time.hpp"  // for TimePoint, Milliseconds

namespace poplarstream::ownership {

// What an owner writes to claim, to renew and to hand over the ownership of all jobs. The records
// of one log are written under the condition that nothing came in between.
struct OwnershipRecord
{
    enum class Kind { Claim, Renewal, Resignation };

    Kind kind = Kind::Claim;
    std::int64_t epoch = 0;  // rises with each claim
    EntryHostId owner;
    std::string address;  // where the owner answers the other entry hosts
    std::string incarnation;  // of the owner's process
    std::int64_t sequence = 0;  // rises with each write of the incarnation
    double processorShare = 1.0;  // of a core, that the owner has
    double largestShare = 1.0;  // of a core, that any owner so far had
    // How long ago machines were ordered, by this owner or one before; 0 for those that the owner
    // orders once this is confirmed.
    std::map<std::string, Milliseconds> recentMachineCommands;
};

std::string encodeOwnership(const OwnershipRecord &record);
std::optional<OwnershipRecord> decodeOwnership(std::string_view text);

struct LeadershipSettings
{
    // Between two renewals.
    Milliseconds renewalInterval{300};
    // An owner that has not confirmed a renewal for this long orders nothing more: the period, and
    // what a slow store takes for a write and a read.
    Milliseconds validity{1300};
    // Silence after which another process claims: the validity, and what a renewal may take from
    // being sent to being read.
    Milliseconds ownerTimeout{1700};
    // Added to the ownerTimeout, and spread over candidates that are as good as the last owner.
    Milliseconds claimSpread{120};
    // A smaller candidate waits this long for each time that the last owner's share is larger.
    Milliseconds smallShareDelay{400};
    Milliseconds maxSmallShareDelay{2400};
    // A process with a share this many times the owner's takes over after this long: long enough
    // to load all jobs first where the owner has just changed.
    double takeoverShareRatio = 1.5;
    Milliseconds takeoverDelay{3000};
    // After an outage of the log the owner has this long for its next renewal: one period and the
    // time of a call that failed late.
    Milliseconds recoveryGrace{1000};
    // Orders to machines are passed on for this long: longer than they bind a successor.
    Milliseconds machineCommandRetention{5000};
    // Of the first claim ever, divided by the share: machines start at different moments.
    Milliseconds firstClaimDelay{200};
};

enum class LeadershipStep { None, Claim, Renew, Resign };

// The view of one process on who owns the jobs. All times are of its own steady clock, which also
// counts while the process is suspended.
struct Leadership
{
    LeadershipSettings settings;
    EntryHostId self;
    std::string address;
    std::string incarnation;
    double processorShare = 1.0;  // of a core

    std::optional<OwnershipRecord> last;  // newest record of the log
    TimePoint lastSeenAt{};  // when it was read here
    TimePoint ownerSince{};  // when the first record of its epoch was read here
    TimePoint inContactSince{};  // the log has been readable since
    std::int64_t endOffset = 0;  // of the log, as read
    bool hasRead = false;
    bool isWriting = false;
    TimePoint confirmedAt{};  // when the newest confirmed own record was sent
    TimePoint writtenAt{};
    std::int64_t lastSequence = 0;  // of own writes
    std::map<std::int64_t, TimePoint> sentAt;  // of the last own writes, by sequence
    bool wantsRenewal = false;  // a renewal is written ahead of its time
    std::vector<std::string> machinesToCommand;  // named by the next renewal
    std::map<std::string, TimePoint> recentMachineCommands;  // lately, by any owner
    bool isLeaving = false;  // hands over and claims no more
};

bool isOwner(const Leadership &leadership);

// Whether this process may give orders at `now`.
bool mayIssueCommands(const Leadership &leadership, TimePoint now);

// How long this process lets better candidates claim first.
Milliseconds claimDelay(const Leadership &leadership);

// From when on this process claims unless another record is read.
TimePoint earliestClaim(const Leadership &leadership);

// What has to be written now.
LeadershipStep nextStep(const Leadership &leadership, TimePoint now);

// The record for a step, written at the end of the log as it was read. At most one write is under
// way.
OwnershipRecord beginWrite(Leadership &leadership, LeadershipStep step, TimePoint now);

// A write has been confirmed; `endOffset` is the end of the log after it.
void confirmWrite(Leadership &leadership, const OwnershipRecord &record, std::int64_t endOffset,
                  TimePoint now);

// A write was refused or its answer is missing; the log tells what became of it.
void failWrite(Leadership &leadership, const OwnershipRecord &record);

// Records were read from the log; `endOffset` is the end of what was read. An own record confirms
// its write, whether or not that was answered.
void observe(Leadership &leadership, const std::optional<OwnershipRecord> &newest,
             std::int64_t endOffset, TimePoint now);

}  // namespace poplarstream::ownership
