#include "poplarstream/edge/log_follower.hpp"

#include <map>  // for map

namespace poplarstream::edge {

namespace {

constexpr Milliseconds retryAfterFailure{100};
// A read that fails and is answered when it is repeated is no loss of contact.
constexpr Milliseconds contactSlack{800};

}  // namespace

struct LogFollower::State : std::enable_shared_from_this<LogFollower::State>
{
    State(Runtime &owner, Log followed, const FollowerSettings &choices, FollowerEvents receivers)
        : runtime(owner)
        , log(followed)
        , settings(choices)
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
        snapshotBegunAt = steadyNow();
        loadPage();
    }

    void loadPage()
    {
        const std::string afterKey = items.empty() ? std::string() : items.rbegin()->first;
        runtime.store.newest(log, afterKey, [weak = weak_from_this()](NewestOutcome outcome) {
            if (const auto self = weak.lock(); self && !self->isClosed) {
                self->takePage(std::move(outcome));
            }
        });
    }

    void takePage(NewestOutcome outcome)
    {
        noteContact(outcome.isRead);
        if (!outcome.isRead) {
            after(retryAfterFailure, &State::loadSnapshot);
            return;
        }
        // Pages are not a snapshot: what changed since the first one is read again from there.
        snapshotEnd = snapshotEnd < 0 ? outcome.endOffset : snapshotEnd;
        const bool isStuck = outcome.records.empty();
        for (StoredRecord &record : outcome.records) {
            std::string key = record.key;
            items[std::move(key)] = std::move(record);
        }
        if (outcome.hasMore && !isStuck) {
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
        currentAsOf = snapshotBegunAt;
        events.snapshot(std::move(records), snapshotEnd);
        if (!isClosed) {
            read();
        }
    }

    void noteContact(bool isAnswered)
    {
        const TimePoint now = steadyNow();
        if (isAnswered && now > answeredAt + settings.wait + contactSlack) {
            inContactSince = now;
        }
        answeredAt = isAnswered ? now : answeredAt;
    }

    void read()
    {
        const TimePoint sentAt = steadyNow();
        runtime.store.read({log, next, settings.wait},
                           [weak = weak_from_this(), sentAt](ReadOutcome outcome) {
                               if (const auto self = weak.lock(); self && !self->isClosed) {
                                   self->takeRecords(std::move(outcome), sentAt);
                               }
                           });
    }

    void takeRecords(ReadOutcome outcome, TimePoint sentAt)
    {
        noteContact(outcome.result != ReadResult::Failed);
        if (outcome.result == ReadResult::Expired) {
            loadSnapshot();
            return;
        }
        if (outcome.result == ReadResult::Failed) {
            after(retryAfterFailure, &State::read);
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
        if (settings.pause > Milliseconds{0}) {
            after(settings.pause, &State::read);
        } else {
            read();
        }
    }

    Runtime &runtime;
    Log log;
    FollowerSettings settings;
    FollowerEvents events;
    std::map<std::string, StoredRecord> items;
    std::int64_t snapshotEnd = -1;
    TimePoint snapshotBegunAt{};
    std::int64_t next = 0;
    TimePoint currentAsOf{};
    TimePoint inContactSince{};
    TimePoint answeredAt{};
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

TimePoint LogFollower::currentAsOf() const
{
    return state_->currentAsOf;
}

TimePoint LogFollower::inContactSince() const
{
    return state_->inContactSince;
}

bool LogFollower::hasSnapshot() const
{
    return state_->hasSnapshot;
}

}  // namespace poplarstream::edge
