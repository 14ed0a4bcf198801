#include "poplarstream/membership/evidence.hpp"

#include <algorithm>  // for binary_search, sort, min, clamp

namespace poplarstream::membership {
namespace {

// An age in messages is rounded to seconds, and a message takes up to a second more.
constexpr Milliseconds ageError{2'000};

void addNews(EvidenceTable &table, const std::string &subject, const std::string &observer,
             const Observation &observation, std::uint32_t heartbeats, std::uint32_t digests)
{
    table.news[{subject, observer}] = {observation, heartbeats, digests};
}

// Records what this process saw. Only a change is news.
void noteOwn(EvidenceTable &table, const std::string &subject, Claim claim, TimePoint now)
{
    SubjectEntry &entry = table.subjects[subject];
    const auto it = entry.byObserver.find(table.self);
    const Claim before = it == entry.byObserver.end() ? Claim::Live : it->second.claim;
    entry.byObserver[table.self] = {claim, now};
    if (claim != before) {
        addNews(table, subject, table.self, {claim, now}, table.policy.sends, table.policy.sends);
    }
}

}  // namespace

void recordResponse(EvidenceTable &table, const std::string &subject, bool isMarkedLeaving,
                    TimePoint now)
{
    SubjectEntry &entry = table.subjects[subject];
    if (isMarkedLeaving) {
        entry.markedLeavingAt = now;
        noteOwn(table, subject, Claim::Leaving, now);
        return;
    }
    if (entry.markedLeavingAt && now - *entry.markedLeavingAt < table.policy.leavingHold) {
        return;
    }
    entry.markedLeavingAt.reset();
    entry.answeredAt = now;
    noteOwn(table, subject, Claim::Live, now);
}

void recordFailure(EvidenceTable &table, const std::string &subject, Claim claim, TimePoint now)
{
    noteOwn(table, subject, claim, now);
}

void recordPlatformState(EvidenceTable &table, const std::string &subject, bool isLeaving,
                         TimePoint now)
{
    const Claim claim = isLeaving ? Claim::Leaving : Claim::Live;
    std::map<std::string, Observation> &observers = table.subjects[subject].byObserver;
    const auto [it, isNew] =
            observers.try_emplace(std::string(platformObserver), Observation{claim, now});
    if (!isNew && it->second.claim != claim) {
        it->second = {claim, now};
    }
}

void recordGossipUpdate(EvidenceTable &table, const GossipUpdate &rumour, Channel channel,
                        TimePoint now)
{
    // Own claims are better known here, and the list is read by every process itself.
    if (rumour.observer == table.self || rumour.observer == platformObserver) {
        return;
    }
    const TimePoint at = now - std::chrono::seconds(rumour.age);
    if (now - at > table.policy.rumourFor) {
        return;
    }
    std::map<std::string, Observation> &observers = table.subjects[rumour.subject].byObserver;
    const auto it = observers.find(rumour.observer);
    if (it != observers.end()
        && (at < it->second.at
            || (it->second.claim == rumour.claim && at - it->second.at <= ageError))) {
        return;
    }
    observers[rumour.observer] = {rumour.claim, at};
    const bool isFromZone = channel == Channel::Heartbeat;
    addNews(table, rumour.subject, rumour.observer, {rumour.claim, at},
            isFromZone ? 0 : table.policy.sends, isFromZone ? table.policy.sends : 0);
}

std::vector<GossipUpdate> collectGossipUpdates(EvidenceTable &table, Channel channel, TimePoint now)
{
    const auto left = [&](NewsItem &item) -> std::uint32_t & {
        return channel == Channel::Heartbeat ? item.heartbeatsLeft : item.digestsLeft;
    };
    std::vector<std::map<std::pair<std::string, std::string>, NewsItem>::iterator> open;
    for (auto it = table.news.begin(); it != table.news.end(); ++it) {
        if (left(it->second) > 0) {
            open.push_back(it);
        }
    }
    std::stable_sort(open.begin(), open.end(), [&](const auto &a, const auto &b) {
        return left(a->second) > left(b->second);
    });
    std::vector<GossipUpdate> gossipUpdates;
    for (const auto &it : open) {
        if (gossipUpdates.size() == maxGossipUpdates) {
            break;
        }
        const auto age = (now - it->second.observation.at).count() / 1000;
        gossipUpdates.push_back(
                {it->first.first, it->second.observation.claim,
                 static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, 65'535)),
                 it->first.second});
        --left(it->second);
    }
    return gossipUpdates;
}

void removeExpired(EvidenceTable &table, std::span<const std::string> known, TimePoint now)
{
    const EvidencePolicy &policy = table.policy;
    std::erase_if(table.subjects, [&](const auto &item) {
        return !std::binary_search(known.begin(), known.end(), item.first);
    });
    for (auto &[subject, entry] : table.subjects) {
        std::erase_if(entry.byObserver, [&](const auto &observer) {
            const Milliseconds bound =
                    observer.first == table.self ? policy.ownFailureFor : policy.rumourFor;
            return observer.first != platformObserver && now - observer.second.at > bound;
        });
    }
    std::erase_if(table.news, [&](const auto &item) {
        return (item.second.heartbeatsLeft == 0 && item.second.digestsLeft == 0)
               || now - item.second.observation.at > policy.rumourFor;
    });
}

}  // namespace poplarstream::membership
