#include "poplarstream/membership/evidence.hpp"

#include <algorithm>  // for binary_search, clamp, stable_sort

namespace poplarstream::membership {
namespace {

// Ages in messages are rounded to seconds, and a message is delayed by up to another second.
constexpr Milliseconds ageError{2'000};

void queueGossip(EvidenceTable &table, const std::string &subject, const std::string &observer,
                 const Observation &observation, std::uint32_t heartbeats, std::uint32_t digests)
{
    table.pendingGossip[{subject, observer}] = {observation, heartbeats, digests};
}

// Records a claim of this process. Only a change of the claim is sent to peers.
void recordOwnClaim(EvidenceTable &table, const std::string &subject, Claim claim, TimePoint now)
{
    SubjectEntry &entry = table.subjects[subject];
    const auto it = entry.byObserver.find(table.self);
    const Claim before = it == entry.byObserver.end() ? Claim::Live : it->second.claim;
    entry.byObserver[table.self] = {claim, now};
    if (claim != before) {
        queueGossip(table, subject, table.self, {claim, now}, table.policy.gossipSends,
                    table.policy.gossipSends);
    }
}

}  // namespace

void recordResponse(EvidenceTable &table, const std::string &subject, bool isMarkedLeaving,
                    TimePoint now)
{
    SubjectEntry &entry = table.subjects[subject];
    if (isMarkedLeaving) {
        entry.markedLeavingAt = now;
        recordOwnClaim(table, subject, Claim::Leaving, now);
        return;
    }
    if (entry.markedLeavingAt && now - *entry.markedLeavingAt < table.policy.leavingHold) {
        return;
    }
    entry.markedLeavingAt.reset();
    entry.respondedAt = now;
    recordOwnClaim(table, subject, Claim::Live, now);
}

void recordFailure(EvidenceTable &table, const std::string &subject, Claim claim, TimePoint now)
{
    recordOwnClaim(table, subject, claim, now);
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

void recordGossipUpdate(EvidenceTable &table, const GossipUpdate &update, Channel channel,
                        TimePoint now)
{
    // This process knows its own claims better, and every process reads the platform's list itself.
    if (update.observer == table.self || update.observer == platformObserver) {
        return;
    }
    const TimePoint at = now - std::chrono::seconds(update.age);
    if (now - at > table.policy.gossipTtl) {
        return;
    }
    std::map<std::string, Observation> &observers = table.subjects[update.subject].byObserver;
    const auto it = observers.find(update.observer);
    if (it != observers.end()
        && (at < it->second.at
            || (it->second.claim == update.claim && at - it->second.at <= ageError))) {
        return;
    }
    observers[update.observer] = {update.claim, at};
    const bool isFromZone = channel == Channel::Heartbeat;
    queueGossip(table, update.subject, update.observer, {update.claim, at},
                isFromZone ? 0 : table.policy.gossipSends,
                isFromZone ? table.policy.gossipSends : 0);
}

std::vector<GossipUpdate> collectGossipUpdates(EvidenceTable &table, Channel channel, TimePoint now)
{
    const auto sendsLeft = [&](PendingGossip &item) -> std::uint32_t & {
        return channel == Channel::Heartbeat ? item.heartbeatsLeft : item.digestsLeft;
    };
    std::vector<std::map<std::pair<std::string, std::string>, PendingGossip>::iterator> eligible;
    for (auto it = table.pendingGossip.begin(); it != table.pendingGossip.end(); ++it) {
        if (sendsLeft(it->second) > 0) {
            eligible.push_back(it);
        }
    }
    std::stable_sort(eligible.begin(), eligible.end(), [&](const auto &a, const auto &b) {
        return sendsLeft(a->second) > sendsLeft(b->second);
    });
    std::vector<GossipUpdate> gossipUpdates;
    for (const auto &it : eligible) {
        if (gossipUpdates.size() == maxGossipUpdates) {
            break;
        }
        const auto age = (now - it->second.observation.at).count() / 1000;
        gossipUpdates.push_back(
                {it->first.first, it->second.observation.claim,
                 static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, 65'535)),
                 it->first.second});
        --sendsLeft(it->second);
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
                    observer.first == table.self ? policy.ownFailureTtl : policy.gossipTtl;
            return observer.first != platformObserver && now - observer.second.at > bound;
        });
    }
    std::erase_if(table.pendingGossip, [&](const auto &item) {
        return (item.second.heartbeatsLeft == 0 && item.second.digestsLeft == 0)
               || now - item.second.observation.at > policy.gossipTtl;
    });
}

}  // namespace poplarstream::membership
