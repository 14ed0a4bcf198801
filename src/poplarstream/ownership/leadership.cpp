#include "poplarstream/ownership/leadership.hpp"

#include <algorithm>  // for find, max
#include <utility>  // for exchange

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJson
#include "poplarstream/base/json_value.hpp"  // for integerFrom
#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream::ownership {

namespace {

using nlohmann::json;
using Kind = OwnershipRecord::Kind;

constexpr std::string_view kindTexts[] = {"claim", "renewal", "resignation"};

// Fencing tokens are made of the epoch and 32 bits more.
constexpr std::int64_t maxEpoch = std::int64_t{1} << 30;
constexpr std::int64_t maxAgeMs = std::int64_t{1} << 40;
constexpr double minShare = 0.01;
constexpr std::uint64_t claimSpreadSteps = 1000;
// A process reads its own records at most a few writes later.
constexpr std::size_t maxTrackedWrites = 16;

void finishWrite(Leadership &leadership, std::int64_t sequence)
{
    if (sequence == leadership.lastSequence) {
        leadership.isWriting = false;
    }
}

void recordConfirmation(Leadership &leadership, const OwnershipRecord &record)
{
    const auto sent = leadership.sentAt.find(record.sequence);
    if (sent != leadership.sentAt.end()) {
        leadership.confirmedAt = std::max(leadership.confirmedAt, sent->second);
    }
}

// A record of this process shows that its earlier resignations were not stored, and never will be:
// each was to follow a record that has another successor now.
void closeEarlierResignations(Leadership &leadership, std::int64_t sequence)
{
    leadership.openResignations.erase(leadership.openResignations.begin(),
                                      leadership.openResignations.lower_bound(sequence));
}

bool isConfirmed(const Leadership &leadership, TimePoint now)
{
    return now < leadership.confirmedAt + leadership.settings.validity;
}

bool isOwn(const Leadership &leadership, const OwnershipRecord &record)
{
    return record.owner == leadership.self && record.incarnation == leadership.incarnation;
}

// Called before `record`, which may be the first one of its epoch, becomes the newest one.
void recordEpoch(Leadership &leadership, const OwnershipRecord &record, TimePoint now)
{
    const std::optional<OwnershipRecord> &last = leadership.last;
    if (last && last->epoch == record.epoch) {
        return;
    }
    leadership.ownerSince = now;
    const bool isFirstOwner = !last && isOwn(leadership, record);
    const bool followsResignation =
            last && last->kind == Kind::Resignation && last->epoch + 1 == record.epoch;
    if (!isFirstOwner && !followsResignation) {
        leadership.earlier.unresignedUntil = now;
    }
    if (isOwn(leadership, record)) {
        leadership.earlier.predecessor = last;
    }
}

}  // namespace

std::string encodeOwnership(const OwnershipRecord &record)
{
    json machines = json::object();
    for (const auto &[id, age] : record.recentMachineCommands) {
        machines[id] = age.count();
    }
    json value = {{"kind", kindTexts[static_cast<std::size_t>(record.kind)]},
                  {"epoch", record.epoch},
                  {"owner", record.owner.text()},
                  {"address", record.address},
                  {"incarnation", record.incarnation},
                  {"sequence", record.sequence},
                  {"share", record.processorShare},
                  {"largestShare", record.largestShare},
                  {"machines", std::move(machines)},
                  {"waves", record.carriedOutWaves},
                  {"fenced", record.hasFenced}};
    if (!record.accountHolds.empty()) {
        value["accounts"] = record.accountHolds;
    }
    return value.dump();
}

std::optional<OwnershipRecord> decodeOwnership(std::string_view text)
{
    const json value = parseBoundedJson(text).value_or(json());
    if (!value.is_object()) {
        return {};
    }
    try {
        OwnershipRecord record;
        const auto kind = value.at("kind").get<std::string>();
        const auto *const found = std::find(std::begin(kindTexts), std::end(kindTexts), kind);
        if (found == std::end(kindTexts)) {
            return {};
        }
        record.kind = static_cast<Kind>(found - std::begin(kindTexts));
        record.epoch = integerFrom<std::int64_t>(value.at("epoch"), 0, maxEpoch);
        record.owner = EntryHostId(value.at("owner").get<std::string>());
        record.address = value.at("address").get<std::string>();
        record.incarnation = value.at("incarnation").get<std::string>();
        record.sequence = integerFrom<std::int64_t>(value.at("sequence"), 0);
        record.processorShare = value.at("share").get<double>();
        record.largestShare = value.at("largestShare").get<double>();
        for (const auto &[id, age] : value.at("machines").items()) {
            record.recentMachineCommands[id] =
                    Milliseconds(integerFrom<std::int64_t>(age, 0, maxAgeMs));
        }
        // Records of earlier versions have no waves.
        if (const auto waves = value.find("waves"); waves != value.end()) {
            for (const json &wave : *waves) {
                record.carriedOutWaves.insert(integerFrom<std::int64_t>(wave, 0));
            }
        }
        // Records of earlier versions do not say it.
        const auto fenced = value.find("fenced");
        record.hasFenced = fenced != value.end() && fenced->get<bool>();
        if (const auto holds = value.find("accounts"); holds != value.end()) {
            record.accountHolds = holds->get<std::string>();
        }
        return record;
    } catch (const std::exception &) {
        return {};
    }
}

bool isOwner(const Leadership &leadership)
{
    return leadership.last && leadership.last->kind != Kind::Resignation
           && isOwn(leadership, *leadership.last);
}

bool isHolding(const Leadership &leadership)
{
    return isOwner(leadership) || leadership.isWriting;
}

bool mayHaveResigned(const Leadership &leadership)
{
    return !leadership.openResignations.empty();
}

bool mayIssueCommands(const Leadership &leadership, TimePoint now)
{
    return isOwner(leadership) && !leadership.isLeaving
           && leadership.last->epoch != leadership.abandonedEpoch && isConfirmed(leadership, now);
}

Milliseconds claimDelay(const Leadership &leadership)
{
    const LeadershipSettings &settings = leadership.settings;
    const double share = std::max(leadership.processorShare, minShare);
    const auto scaled = [](Milliseconds unit, double factor) {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(unit.count()) * factor));
    };
    const auto seed = static_cast<std::uint64_t>(leadership.shard);
    const auto spread =
            static_cast<double>(stableHash(leadership.self.text(), seed) % claimSpreadSteps)
            / claimSpreadSteps;
    if (!leadership.last) {
        return scaled(settings.firstClaimDelay, 1 / share)
               + (leadership.shard == 0 ? Milliseconds{0}
                                        : scaled(settings.firstClaimSpread, spread));
    }
    const double shareDeficit = std::max(leadership.last->largestShare / share - 1, 0.0);
    return scaled(settings.claimSpread, spread)
           + std::min(scaled(settings.smallShareDelay, shareDeficit), settings.maxSmallShareDelay);
}

Milliseconds readInterval(const Leadership &leadership)
{
    const LeadershipSettings &settings = leadership.settings;
    const bool isCandidate =
            !leadership.last || isOwner(leadership)
            || settings.ownerTimeout + claimDelay(leadership) < settings.otherReadInterval * 2;
    return isCandidate ? settings.candidateReadInterval : settings.otherReadInterval;
}

TimePoint earliestClaim(const Leadership &leadership)
{
    const LeadershipSettings &settings = leadership.settings;
    const Milliseconds delay = claimDelay(leadership);
    if (!leadership.last) {
        return leadership.inContactSince + delay;
    }
    const OwnershipRecord &last = *leadership.last;
    // An earlier process that listened on the address of this one has ended. A name alone proves
    // nothing: a host that replaces another may have its name while that one lives on.
    const bool isEarlierProcess =
            last.owner == leadership.self && last.address == leadership.address;
    if (last.kind == Kind::Resignation || isEarlierProcess) {
        return std::max(leadership.lastSeenAt, leadership.inContactSince) + delay;
    }
    const TimePoint timeoutClaim = std::max(leadership.lastSeenAt + settings.ownerTimeout,
                                            leadership.inContactSince + settings.recoveryGrace);
    if (leadership.processorShare < last.processorShare * settings.takeoverShareRatio) {
        return timeoutClaim + delay;
    }
    const TimePoint takeoverClaim = std::max(leadership.ownerSince + settings.takeoverDelay,
                                             leadership.inContactSince + settings.recoveryGrace);
    return std::min(timeoutClaim, takeoverClaim) + delay;
}

LeadershipStep nextStep(const Leadership &leadership, TimePoint now)
{
    const LeadershipSettings &settings = leadership.settings;
    if (!leadership.hasRead || leadership.isWriting) {
        return LeadershipStep::None;
    }
    if (leadership.isLeaving && !isOwner(leadership)) {
        return LeadershipStep::None;
    }
    if (leadership.isLeaving && isConfirmed(leadership, now)) {
        return LeadershipStep::Resign;
    }
    if (isOwner(leadership) && leadership.last->epoch == leadership.abandonedEpoch) {
        return LeadershipStep::Resign;
    }
    if (now < leadership.writtenAt + settings.renewalInterval
        && !(leadership.wantsRenewal && isOwner(leadership))) {
        return LeadershipStep::None;
    }
    if (isOwner(leadership)) {
        return LeadershipStep::Renew;
    }
    // A claim sent during an outage of the log may be the first write after it, before the owner's
    // next renewal, and nearly all processes are smaller than the owner.
    return leadership.isInContact && now >= earliestClaim(leadership) ? LeadershipStep::Claim
                                                                      : LeadershipStep::None;
}

OwnershipRecord beginWrite(Leadership &leadership, LeadershipStep step, TimePoint now)
{
    leadership.isWriting = true;
    leadership.wantsRenewal = false;
    leadership.writtenAt = now;
    OwnershipRecord record;
    record.kind = Kind::Renewal;
    record.epoch = leadership.last ? leadership.last->epoch : 0;
    record.owner = leadership.self;
    record.address = leadership.address;
    record.incarnation = leadership.incarnation;
    record.sequence = ++leadership.lastSequence;
    record.processorShare = leadership.processorShare;
    record.largestShare = leadership.processorShare;
    leadership.sentAt[record.sequence] = now;
    if (leadership.sentAt.size() > maxTrackedWrites) {
        leadership.sentAt.erase(leadership.sentAt.begin());
    }
    if (leadership.last) {
        record.largestShare = std::max(record.largestShare, leadership.last->largestShare);
    }
    if (step == LeadershipStep::Renew) {
        record.accountHolds = leadership.accountHolds;
        for (const std::string &machine : std::exchange(leadership.machinesToCommand, {})) {
            leadership.recentMachineCommands[machine] = now;
        }
    }
    std::erase_if(leadership.recentMachineCommands, [&](const auto &entry) {
        return entry.second + leadership.settings.machineCommandRetention < now;
    });
    record.carriedOutWaves = leadership.carriedOutWaves;
    for (const auto &[id, commandedAt] : leadership.recentMachineCommands) {
        record.recentMachineCommands[id] = now - commandedAt;
    }
    if (step == LeadershipStep::Claim) {
        record.kind = Kind::Claim;
        ++record.epoch;
    } else if (step == LeadershipStep::Resign) {
        record.kind = Kind::Resignation;
        leadership.openResignations.insert(record.sequence);
    }
    record.hasFenced = record.epoch == leadership.fencedEpoch;
    return record;
}

TimePoint earlierRenewalsUntil(const EarlierOwners &earlier, TimePoint fencedAt, Milliseconds grace)
{
    // Stored progress confirms an owner as a renewal does.
    const auto &predecessor = earlier.predecessor;
    const bool isConfirmedUntilFence =
            predecessor && (predecessor->kind != Kind::Resignation || !predecessor->hasFenced);
    const TimePoint confirmedUntil = isConfirmedUntilFence ? fencedAt : earlier.unresignedUntil;
    return std::max(fencedAt, confirmedUntil + grace);
}

void confirmWrite(Leadership &leadership, const OwnershipRecord &record, std::int64_t endOffset,
                  TimePoint now)
{
    finishWrite(leadership, record.sequence);
    closeEarlierResignations(leadership, record.sequence);
    if (endOffset > leadership.endOffset) {
        leadership.endOffset = endOffset;
        recordEpoch(leadership, record, now);
        leadership.last = record;
        leadership.lastSeenAt = now;
    }
    recordConfirmation(leadership, record);
}

void failWrite(Leadership &leadership, const OwnershipRecord &record, bool mayBeStored)
{
    finishWrite(leadership, record.sequence);
    if (!mayBeStored) {
        leadership.openResignations.erase(record.sequence);
    }
}

void observe(Leadership &leadership, const std::optional<OwnershipRecord> &newest,
             std::int64_t endOffset, TimePoint now)
{
    leadership.hasRead = true;
    if (endOffset <= leadership.endOffset && leadership.last) {
        return;
    }
    leadership.endOffset = std::max(leadership.endOffset, endOffset);
    if (newest) {
        leadership.carriedOutWaves.insert(newest->carriedOutWaves.begin(),
                                          newest->carriedOutWaves.end());
        for (const auto &[id, age] : newest->recentMachineCommands) {
            TimePoint &commandedAt = leadership.recentMachineCommands[id];
            commandedAt = std::max(commandedAt, now - age);
        }
        recordEpoch(leadership, *newest, now);
        leadership.last = newest;
        leadership.lastSeenAt = now;
        if (isOwn(leadership, *newest)) {
            finishWrite(leadership, newest->sequence);
            closeEarlierResignations(leadership, newest->sequence);
            recordConfirmation(leadership, *newest);
        }
    }
}

}  // namespace poplarstream::ownership
