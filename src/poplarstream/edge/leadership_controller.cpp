#include "poplarstream/edge/leadership_controller.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/adapters/http_message.hpp"  // for endpointText
#include "poplarstream/edge/log_follower.hpp"  // for LogFollower
#include "poplarstream/ownership/division.hpp"  // for encodeDivision, decodeDivision
#include "poplarstream/telemetry/event_kinds.hpp"  // for ownershipSeen

namespace poplarstream::edge {

namespace {

using ownership::LeadershipStep;
using ownership::OwnershipRecord;

constexpr std::string_view ownerKey = "owner";
constexpr std::string_view divisionKey = "division";
constexpr Milliseconds tickPeriod{50};
// Longer than a slow store takes. If a response is lost, the record is seen earlier, in the log.
constexpr Milliseconds writeDeadline{1200};
// After a sign that the owner has changed, the log is read again this long after the last read.
constexpr Milliseconds minReadPause{250};

}  // namespace

struct LeadershipController::State : std::enable_shared_from_this<LeadershipController::State>
{
    State(Runtime &sharedRuntime, int shard, LeadershipEvents receivers)
        : runtime(sharedRuntime)
        , events(std::move(receivers))
    {
        leadership.shard = shard;
        leadership.self = runtime.settings.name;
        leadership.address = endpointText(runtime.settings.control);
        leadership.incarnation = runtime.settings.incarnation;
        leadership.processorShare = events.processorShare();
    }

    void start()
    {
        FollowerEvents received;
        received.snapshot = [this](const std::vector<StoredRecord> &records, std::int64_t end) {
            handleRecords(records, end);
        };
        received.records = [this](const std::vector<StoredRecord> &records, std::int64_t end) {
            handleRecords(records, end);
        };
        FollowerSettings settings;
        settings.partition = leadership.shard;
        // Without a pause the number of reads would grow with the renewals, which an owner that
        // moves machines writes often.
        settings.pause = ownership::readInterval(leadership);
        follower = std::make_unique<LogFollower>(runtime, Log::Ownership, settings,
                                                 std::move(received));
        tick();
    }

    void handleRecords(const std::vector<StoredRecord> &records, std::int64_t endOffset)
    {
        std::optional<OwnershipRecord> newest;
        for (const StoredRecord &record : records) {
            if (record.key == ownerKey && record.value) {
                newest = ownership::decodeOwnership(*record.value);
            } else if (record.key == divisionKey && record.value) {
                readDivision(record);
            }
        }
        const auto before = leadership.last;
        const bool wasWriting = leadership.isWriting;
        ownership::observe(leadership, newest, endOffset, steadyNow());
        if (wasWriting && !leadership.isWriting) {
            completeConfirmations(true);
        }
        if (follower) {
            follower->setPause(ownership::readInterval(leadership));
        }
        logChange(before);
        events.changed();
    }

    void readDivision(const StoredRecord &record)
    {
        const std::optional<int> count =
                ownership::decodeDivision(*record.value, runtime.settings.jobPartitions);
        if (!count) {
            logEvent(events::recordUnreadable, {{"stream", "ownership"},
                                                {"offset", fmt::to_string(record.offset)},
                                                {"fault", "not a division of this deployment"}});
            return;
        }
        divisionToStore.reset();
        events.divided(*count);
    }

    void completeConfirmations(bool isConfirmed)
    {
        for (const auto &done : std::exchange(confirmationsInWrite, {})) {
            done(isConfirmed);
        }
    }

    void logChange(const std::optional<OwnershipRecord> &before) const
    {
        const auto &last = leadership.last;
        const bool isSame = before && last && before->epoch == last->epoch
                            && before->owner == last->owner && before->kind == last->kind;
        if (!last || isSame || last->kind == OwnershipRecord::Kind::Renewal) {
            return;
        }
        const bool resigned = last->kind == OwnershipRecord::Kind::Resignation;
        logEvent(events::ownershipSeen, {{"owner", last->owner.text()},
                                         {"epoch", fmt::to_string(last->epoch)},
                                         {"resigned", resigned ? "yes" : "no"},
                                         {"shard", fmt::to_string(leadership.shard)},
                                         {"incarnation", last->incarnation}});
    }

    void tick()
    {
        writeIfDue();
        callAfter(runtime, tickPeriod, [weak = weak_from_this()] {
            if (const auto self = weak.lock(); self && !self->isClosed) {
                self->tick();
            }
        });
    }

    // Logs when the owner may no longer issue commands because its renewals are not confirmed, and
    // when it may again.
    void logConfirmation(TimePoint now)
    {
        const bool mayIssueCommands = ownership::mayIssueCommands(leadership, now);
        if (!ownership::isOwner(leadership) || leadership.isLeaving) {
            unconfirmedSince.reset();
        } else if (!mayIssueCommands && !unconfirmedSince) {
            unconfirmedSince = now;
            logEvent(events::ownershipUnconfirmed,
                     {{"epoch", fmt::to_string(leadership.last->epoch)},
                      {"confirmed_ms_ago", fmt::to_string((now - leadership.confirmedAt).count())},
                      {"last_write", std::string(resultText(lastResult))},
                      {"shard", fmt::to_string(leadership.shard)}});
        } else if (mayIssueCommands && unconfirmedSince) {
            logEvent(events::ownershipConfirmed,
                     {{"epoch", fmt::to_string(leadership.last->epoch)},
                      {"unconfirmed_ms", fmt::to_string((now - *unconfirmedSince).count())},
                      {"shard", fmt::to_string(leadership.shard)}});
            unconfirmedSince.reset();
        }
    }

    void writeIfDue()
    {
        const TimePoint now = steadyNow();
        logConfirmation(now);
        leadership.inContactSince = follower->reachableSince();
        leadership.isInContact = follower->isReachable();
        leadership.processorShare = events.processorShare();
        const LeadershipStep step = ownership::nextStep(leadership, now);
        if (step != LeadershipStep::None) {
            confirmationsInWrite = std::exchange(pendingConfirmations, {});
            write(ownership::beginWrite(leadership, step, now));
        }
    }

    void write(const OwnershipRecord &record)
    {
        AppendRequest request;
        request.log = Log::Ownership;
        request.partition = leadership.shard;
        request.records.push_back({std::string(ownerKey), ownership::encodeOwnership(record), 0});
        // Only an owner divides the deployment: with its renewal, on the same condition.
        const std::optional<int> division =
                record.kind == OwnershipRecord::Kind::Renewal ? divisionToStore : std::nullopt;
        if (division) {
            request.records.push_back(
                    {std::string(divisionKey), ownership::encodeDivision(*division), 0});
        }
        request.atOffset = leadership.endOffset;
        request.deadline = writeDeadline;
        runtime.store.append(std::move(request), [weak = weak_from_this(), record,
                                                  division](const AppendOutcome &outcome) {
            if (const auto self = weak.lock(); self && !self->isClosed) {
                self->handleWriteResult(record, division, outcome);
            }
        });
    }

    void handleWriteResult(const OwnershipRecord &record, std::optional<int> division,
                           const AppendOutcome &outcome)
    {
        lastResult = outcome.result;
        const bool isStored = outcome.result == AppendResult::Stored;
        if (isStored) {
            const auto before = leadership.last;
            ownership::confirmWrite(leadership, record, outcome.endOffset, steadyNow());
            logChange(before);
        } else {
            // The end of the log may be another than expected because an earlier write that got no
            // response was stored.
            const bool mayBeStored = outcome.result != AppendResult::NotDone
                                     && outcome.result != AppendResult::Refused;
            ownership::failWrite(leadership, record, mayBeStored);
        }
        if (!leadership.isWriting) {
            completeConfirmations(isStored);
        }
        if (isStored && division && divisionToStore) {
            divisionToStore.reset();
            events.divided(*division);
        }
        events.changed();
        if (isStored) {
            writeIfDue();
        } else {
            // What was written instead decides the next step.
            follower->readSoon(minReadPause);
        }
    }

    Runtime &runtime;
    LeadershipEvents events;
    ownership::Leadership leadership;
    std::optional<int> divisionToStore;
    AppendResult lastResult = AppendResult::Stored;
    std::optional<TimePoint> unconfirmedSince;
    std::vector<std::function<void(bool)>> pendingConfirmations;  // for the next write
    std::vector<std::function<void(bool)>> confirmationsInWrite;  // for the write in flight
    std::unique_ptr<LogFollower> follower;
    bool isClosed = false;
};

LeadershipController::LeadershipController(Runtime &runtime, int shard, LeadershipEvents events)
    : state_(std::make_shared<State>(runtime, shard, std::move(events)))
{
    state_->start();
}

LeadershipController::~LeadershipController()
{
    state_->isClosed = true;
    state_->follower.reset();
}

const ownership::Leadership &LeadershipController::leadership() const
{
    return state_->leadership;
}

const std::map<std::string, TimePoint> &LeadershipController::recentMachineCommands() const
{
    return state_->leadership.recentMachineCommands;
}

void LeadershipController::confirm(std::vector<std::string> machines,
                                   std::function<void(bool isConfirmed)> done)
{
    for (std::string &machine : machines) {
        state_->leadership.machinesToCommand.push_back(std::move(machine));
    }
    state_->pendingConfirmations.push_back(std::move(done));
    state_->leadership.wantsRenewal = true;
    state_->writeIfDue();
}

void LeadershipController::storeDivision(int shardCount)
{
    state_->divisionToStore = shardCount;
    state_->leadership.wantsRenewal = true;
    state_->writeIfDue();
}

void LeadershipController::recordCarriedOut(std::int64_t wave)
{
    state_->leadership.carriedOutWaves.insert(wave);
}

void LeadershipController::publishAccountHolds(std::string holds)
{
    state_->leadership.accountHolds = std::move(holds);
}

void LeadershipController::recordFence(std::int64_t epoch)
{
    state_->leadership.fencedEpoch = epoch;
}

void LeadershipController::refresh()
{
    state_->follower->readSoon(minReadPause);
}

void LeadershipController::abandon(std::int64_t epoch)
{
    state_->leadership.abandonedEpoch = epoch;
}

void LeadershipController::leave()
{
    state_->leadership.isLeaving = true;
}

}  // namespace poplarstream::edge
