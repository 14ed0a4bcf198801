#include "poplarstream/edge/log_follower.hpp"

#include <map>  // for map
#include <optional>  // for optional

#include "poplarstream/ownership/log_contact.hpp"  // for LogContact, recordRead

namespace poplarstream::edge {

namespace {

constexpr Milliseconds retryDelay{100};

}  // namespace

struct LogFollower::State : std::enable_shared_from_this<LogFollower::State>
{
    State(Runtime &sharedRuntime, Log followed, const FollowerSettings &given,
          FollowerEvents receivers)
        : runtime(sharedRuntime)
        , log(followed)
        , settings(given)
        , events(std::move(receivers))
    {}

    void after(Milliseconds delay, void (State::*step)())
    {
        callAfter(runtime, delay, [weak = weak_from_this(), step] {
            if (const auto self = weak.lock(); self && !self->isClosed) {
                (self.get()->*step)();
            }
        });
    }

    void loadSnapshot()
    {
        items.clear();
        snapshotEnd = -1;
        snapshotStartedAt = steadyNow();
        loadPage();
    }

    void loadPage()
    {
        const std::string afterKey = items.empty() ? std::string() : items.rbegin()->first;
        runtime.store.newest(log, settings.partition, afterKey,
                             [weak = weak_from_this()](NewestOutcome outcome) {
                                 if (const auto self = weak.lock(); self && !self->isClosed) {
                                     self->handlePage(std::move(outcome));
                                 }
                             });
    }

    void handlePage(NewestOutcome outcome)
    {
        // After an empty page there is no key to continue with, so the snapshot would lack the
        // rest.
        const bool isUsable = outcome.isRead && !(outcome.hasMore && outcome.records.empty());
        recordReachability(outcome.isRead);
        if (!isUsable) {
            after(retryDelay, &State::loadSnapshot);
            return;
        }
        // The pages are read at different times, so records are read from the end of the first page
        // on.
        snapshotEnd = snapshotEnd < 0 ? outcome.endOffset : snapshotEnd;
        for (StoredRecord &record : outcome.records) {
            std::string key = record.key;
            items[std::move(key)] = std::move(record);
        }
        if (outcome.hasMore) {
            loadPage();
            return;
        }
        std::vector<StoredRecord> records;
        for (auto &[key, record] : items) {
            records.push_back(std::move(record));
        }
        items.clear();
        next = snapshotEnd;
        hasSnapshot = true;
        currentAsOf = snapshotStartedAt;
        events.snapshot(std::move(records), snapshotEnd);
        if (!isClosed) {
            read();
        }
    }

    void recordReachability(bool isSuccess)
    {
        ownership::recordRead(contact, isSuccess, steadyNow(), settings.wait + settings.pause);
    }

    void read()
    {
        const TimePoint sentAt = steadyNow();
        runtime.store.read({log, settings.partition, next, settings.wait},
                           [weak = weak_from_this(), sentAt](ReadOutcome outcome) {
                               if (const auto self = weak.lock(); self && !self->isClosed) {
                                   self->handleRecords(std::move(outcome), sentAt);
                               }
                           });
    }

    void handleRecords(ReadOutcome outcome, TimePoint sentAt)
    {
        recordReachability(outcome.result != ReadResult::Failed);
        if (outcome.result == ReadResult::Expired) {
            loadSnapshot();
            return;
        }
        if (outcome.result == ReadResult::Failed) {
            after(retryDelay, &State::read);
            return;
        }
        next = outcome.nextOffset;
        if (next >= outcome.endOffset) {
            currentAsOf = sentAt;
        }
        if (!outcome.records.empty()) {
            events.records(std::move(outcome.records), next);
        }
        if (isClosed) {
            return;
        }
        pausedSince = steadyNow();
        pauseUntil(*pausedSince + settings.pause);
    }

    // Reads at `end`, unless another end of the pause is set first.
    void pauseUntil(TimePoint end)
    {
        const TimePoint now = steadyNow();
        if (end <= now) {
            pausedSince.reset();
            read();
            return;
        }
        callAfter(runtime, end - now, [weak = weak_from_this(), number = ++pauseNumber] {
            const auto self = weak.lock();
            if (self && !self->isClosed && self->pausedSince && self->pauseNumber == number) {
                self->pausedSince.reset();
                self->read();
            }
        });
    }

    Runtime &runtime;
    Log log;
    FollowerSettings settings;
    FollowerEvents events;
    std::map<std::string, StoredRecord> items;
    std::int64_t snapshotEnd = -1;
    TimePoint snapshotStartedAt{};
    std::int64_t next = 0;
    TimePoint currentAsOf{};
    ownership::LogContact contact;
    std::optional<TimePoint> pausedSince;
    std::uint64_t pauseNumber = 0;  // increases when the end of a pause is set
    bool hasSnapshot = false;
    bool isClosed = false;
};

LogFollower::LogFollower(Runtime &runtime, Log log, const FollowerSettings &settings,
                         FollowerEvents events)
    : state_(std::make_shared<State>(runtime, log, settings, std::move(events)))
{
    state_->loadSnapshot();
}

LogFollower::~LogFollower()
{
    state_->isClosed = true;
}

void LogFollower::setPause(Milliseconds pause)
{
    state_->settings.pause = pause;
}

void LogFollower::readSoon(Milliseconds least)
{
    if (state_->pausedSince) {
        state_->pauseUntil(*state_->pausedSince + least);
    }
}

TimePoint LogFollower::currentAsOf() const
{
    return state_->currentAsOf;
}

TimePoint LogFollower::reachableSince() const
{
    return state_->contact.reachableSince;
}

TimePoint LogFollower::lastReadAt() const
{
    return state_->contact.lastSuccessAt;
}

bool LogFollower::isReachable() const
{
    return ownership::isReachable(state_->contact, steadyNow(),
                                  state_->settings.wait + state_->settings.pause);
}

bool LogFollower::hasSnapshot() const
{
    return state_->hasSnapshot;
}

}  // namespace poplarstream::edge
