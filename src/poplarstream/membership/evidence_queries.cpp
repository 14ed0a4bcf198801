#include "poplarstream/membership/evidence_queries.hpp"

#include <algorithm>  // for max, min, stable_sort
#include <string_view>  // for string_view

namespace poplarstream::membership {
namespace {

// The usability before the cap is applied. `soleObserver` is the only observer with a claim against
// the endpoint; null if there are several or the endpoint itself announced that it is leaving.
struct Assessment
{
    Usability usability = Usability::Usable;
    const std::string *soleObserver = nullptr;
    TimePoint at;
};

bool isExpired(const EvidenceTable &table, const std::string &observer, TimePoint at, TimePoint now)
{
    if (observer == platformObserver) {
        return false;
    }
    const bool isOwn = observer == table.self;
    return now - at > (isOwn ? table.policy.ownFailureTtl : table.policy.gossipTtl);
}

// Collects the observers that support a claim.
class ClaimSupport
{
public:
    void add(const std::string &observer, TimePoint at)
    {
        sole_ = count_ == 0 ? &observer : nullptr;
        at_ = count_ == 0 ? at : std::min(at_, at);
        ++count_;
    }
    bool isEmpty() const { return count_ == 0; }
    Assessment assessment(Usability usability) const { return {usability, sole_, at_}; }

private:
    const std::string *sole_ = nullptr;
    TimePoint at_;
    std::size_t count_ = 0;
};

// Supports Leaving: such a claim is valid whatever its observer, until the observer withdraws it or
// this process receives a later unmarked response.
ClaimSupport leavingSupport(const EvidenceTable &table, const SubjectEntry &entry, TimePoint now)
{
    ClaimSupport support;
    for (const auto &[observer, observation] : entry.byObserver) {
        const bool isSuperseded =
                entry.respondedAt
                && *entry.respondedAt >= observation.at + table.policy.leavingHold;
        if (observation.claim == Claim::Leaving && !isSuperseded
            && !isExpired(table, observer, observation.at, now)) {
            support.add(observer, observation.at);
        }
    }
    return support;
}

bool isFailure(Claim claim)
{
    return claim == Claim::Refused || claim == Claim::ProbeFailed;
}

// Supports Down: from recent evidence of this process if there is any, else from the most recent of
// all observers.
ClaimSupport downSupport(const EvidenceTable &table, const SubjectEntry &entry, TimePoint now)
{
    ClaimSupport support;
    const auto own = entry.byObserver.find(table.self);
    if (own != entry.byObserver.end() && now - own->second.at <= table.policy.ownEvidenceFreshFor) {
        if (isFailure(own->second.claim)) {
            support.add(own->first, own->second.at);
        }
        return support;
    }
    std::optional<TimePoint> lastLive;
    for (const auto &[observer, observation] : entry.byObserver) {
        if (observation.claim == Claim::Live && observer != platformObserver) {
            lastLive = std::max(lastLive.value_or(observation.at), observation.at);
        }
    }
    for (const auto &[observer, observation] : entry.byObserver) {
        if (isFailure(observation.claim) && (!lastLive || *lastLive < observation.at)
            && !isExpired(table, observer, observation.at, now)) {
            support.add(observer, observation.at);
        }
    }
    return support;
}

Assessment assess(const EvidenceTable &table, const std::string &subject, TimePoint now)
{
    const auto it = table.subjects.find(subject);
    if (it == table.subjects.end()) {
        return {};
    }
    const SubjectEntry &entry = it->second;
    if (entry.markedLeavingAt && now - *entry.markedLeavingAt <= table.policy.ownFailureTtl) {
        return {Usability::Leaving, nullptr, *entry.markedLeavingAt};
    }
    if (const ClaimSupport leaving = leavingSupport(table, entry, now); !leaving.isEmpty()) {
        return leaving.assessment(Usability::Leaving);
    }
    if (const ClaimSupport down = downSupport(table, entry, now); !down.isEmpty()) {
        return down.assessment(Usability::Down);
    }
    return {};
}

}  // namespace

std::vector<Usability> assessUsability(const EvidenceTable &table,
                                       std::span<const std::string> subjects, TimePoint now)
{
    std::vector<Assessment> assessments;
    assessments.reserve(subjects.size());
    std::map<std::string_view, std::vector<std::size_t>> bySoleObserver;
    for (std::size_t i = 0; i < subjects.size(); ++i) {
        assessments.push_back(assess(table, subjects[i], now));
        if (assessments[i].soleObserver != nullptr) {
            bySoleObserver[*assessments[i].soleObserver].push_back(i);
        }
    }
    const auto share = static_cast<std::size_t>(table.policy.singleObserverShare
                                                * static_cast<double>(subjects.size()));
    // At least one, so that a service with two endpoints can lose one, but never the last endpoint.
    const std::size_t cap =
            subjects.empty() ? 0 : std::min(subjects.size() - 1, std::max<std::size_t>(1, share));
    for (auto &[observer, claimed] : bySoleObserver) {
        std::stable_sort(claimed.begin(), claimed.end(), [&](std::size_t a, std::size_t b) {
            return assessments[a].at < assessments[b].at;
        });
        for (std::size_t i = cap; i < claimed.size(); ++i) {
            assessments[claimed[i]].usability = Usability::Doubtful;
        }
    }
    std::vector<Usability> result;
    result.reserve(assessments.size());
    for (const Assessment &assessment : assessments) {
        result.push_back(assessment.usability);
    }
    return result;
}

}  // namespace poplarstream::membership
