#include "poplarstream/maintenance/candidates.hpp"

#include <algorithm>  // for sort, find
#include <map>  // for map
#include <tuple>  // for tuple
#include <utility>  // for swap

namespace poplarstream::maintenance {

CandidateSelector::CandidateSelector(const FleetView &view, const BudgetUsage &usage,
                                     const std::vector<std::optional<AbsenceNeed>> &needs)
    : view_(view)
    , usage_(usage)
    , needs_(needs)
    , queues_(view.pools.size())
    , sourcesOf_(view.pools.size())
{
    // By (group, target, wave): all hosts of a bucket have the same refusal and window.
    std::map<std::tuple<std::size_t, std::size_t, std::size_t>, std::size_t> positions;
    for (std::size_t i = 0; i < needs.size(); ++i) {
        if (!needs[i] || usage.isAway(i)) {
            continue;
        }
        ++remaining_;
        const std::size_t pool = usage.poolOf(i);
        std::vector<Bucket> &buckets = queues_[pool].buckets;
        const std::size_t target = needs[i]->target;
        const auto [it, isNew] =
                positions.try_emplace({usage.groupOf(i), target, needs[i]->wave}, buckets.size());
        if (isNew) {
            buckets.push_back({usage.groupOf(i), target, {}});
        }
        buckets[it->second].hosts.push_back(i);
        if (target != BudgetUsage::noPool) {
            std::vector<std::size_t> &sources = sourcesOf_[target];
            if (std::find(sources.begin(), sources.end(), pool) == sources.end()) {
                sources.push_back(pool);
            }
        }
    }
    for (PoolQueue &queue : queues_) {
        for (Bucket &bucket : queue.buckets) {
            std::sort(bucket.hosts.begin(), bucket.hosts.end(), [&](std::size_t a, std::size_t b) {
                return std::tuple(needs[a]->duration, b) < std::tuple(needs[b]->duration, a);
            });
        }
    }
}

CandidateSelector::Key CandidateSelector::keyOf(std::size_t host) const
{
    const std::size_t group = usage_.groupOf(host);
    return {view_.hasRackHeadroom ? usage_.inServiceInGroup(group) : 0, needs_[host]->duration,
            usage_.awayInGroup(group) > 0, ~host};
}

std::optional<std::size_t> CandidateSelector::bestOf(const Bucket &bucket, TimePoint now) const
{
    if (bucket.hosts.empty()
        || usage_.refusal(bucket.hosts.back(), bucket.target) != Refusal::None) {
        return std::nullopt;
    }
    for (auto it = bucket.hosts.rbegin(); it != bucket.hosts.rend(); ++it) {
        const AbsenceNeed &need = *needs_[*it];
        if (need.isLoanReturn || isInWindow(view_.waves[need.wave].window, now, need.duration)) {
            return *it;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> CandidateSelector::bestOf(std::size_t pool, TimePoint now) const
{
    std::optional<std::size_t> best;
    if (usage_.poolRefusal(pool) != Refusal::None) {
        return best;
    }
    Key bestKey;
    for (const Bucket &bucket : queues_[pool].buckets) {
        const auto host = bestOf(bucket, now);
        if (!host) {
            continue;
        }
        const Key key = keyOf(*host);
        if (!best || key > bestKey) {
            best = host;
            bestKey = key;
        }
    }
    return best;
}

std::optional<std::size_t> CandidateSelector::next(TimePoint now)
{
    std::optional<std::size_t> best;
    for (std::size_t pool = 0; pool < queues_.size(); ++pool) {
        PoolQueue &queue = queues_[pool];
        if (!queue.isCurrent) {
            queue.best = bestOf(pool, now);
            queue.isCurrent = true;
        }
        if (queue.best && (!best || keyOf(*queue.best) > keyOf(*best))) {
            best = queue.best;
        }
    }
    return best;
}

void CandidateSelector::remove(std::size_t host)
{
    std::vector<Bucket> &buckets = queues_[usage_.poolOf(host)].buckets;
    for (Bucket &bucket : buckets) {
        const auto it = std::find(bucket.hosts.begin(), bucket.hosts.end(), host);
        if (it == bucket.hosts.end()) {
            continue;
        }
        bucket.hosts.erase(it);
        --remaining_;
        if (bucket.hosts.empty()) {
            // The order of the buckets is irrelevant, since all keys are distinct.
            std::swap(bucket, buckets.back());
            buckets.pop_back();
        }
        break;
    }
}

void CandidateSelector::invalidate(std::size_t pool)
{
    queues_[pool].isCurrent = false;
    for (const std::size_t source : sourcesOf_[pool]) {
        queues_[source].isCurrent = false;
    }
}

void CandidateSelector::invalidateAll()
{
    for (PoolQueue &queue : queues_) {
        queue.isCurrent = false;
    }
}

}  // namespace poplarstream::maintenance
