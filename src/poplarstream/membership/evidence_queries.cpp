#include "poplarstream/membership/evidence_queries.hpp"

#include <algorithm>  // for max, min, sort
#include <string_view>  // for string_view

namespace poplarstream::membership {
namespace {

// What the evidence says before the cap. `soleObserver` is the only one that speaks against the
// endpoint, or null if several do or the endpoint does so itself.
struct Opinion
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
    return now - at > (isOwn ? table.policy.ownFailureFor : table.policy.rumourFor);
}

// Collects the observers of a claim that stands.
class Support
{
public:
    void add(const std::string &observer, TimePoint at)
    {
        sole_ = count_ == 0 ? &observer : nullptr;
        at_ = count_ == 0 ? at : std::min(at_, at);
        ++count_;
    }
    bool isEmpty() const { return count_ == 0; }
    Opinion opinion(Usability usability) const { return {usability, sole_, at_}; }

private:
    const std::string *sole_ = nullptr;
    TimePoint at_;
    std::size_t count_ = 0;
};

// Claims that an endpoint leaves hold for everybody; only a later unmarked answer to this process
// or the observer itself takes them back.
Support leavingSupport(const EvidenceTable &table, const SubjectEntry &entry, TimePoint now)
{
    Support support;
    for (const auto &[observer, observation] : entry.byObserver) {
        const bool isAnswered =
                entry.answeredAt && *entry.answeredAt >= observation.at + table.policy.leavingHold;
        if (observation.claim == Claim::Leaving && !isAnswered
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

// Whether an endpoint can be reached: by own recent evidence, else by the freshest of all.
Support downSupport(const EvidenceTable &table, const SubjectEntry &entry, TimePoint now)
{
    Support support;
    const auto own = entry.byObserver.find(table.self);
    if (own != entry.byObserver.end() && now - own->second.at <= table.policy.ownFreshFor) {
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

Opinion opinionOf(const EvidenceTable &table, const std::string &subject, TimePoint now)
{
    const auto it = table.subjects.find(subject);
    if (it == table.subjects.end()) {
        return {};
    }
    const SubjectEntry &entry = it->second;
    if (entry.markedLeavingAt && now - *entry.markedLeavingAt <= table.policy.ownFailureFor) {
        return {Usability::Leaving, nullptr, *entry.markedLeavingAt};
    }
    if (const Support leaving = leavingSupport(table, entry, now); !leaving.isEmpty()) {
        return leaving.opinion(Usability::Leaving);
    }
    if (const Support down = downSupport(table, entry, now); !down.isEmpty()) {
        return down.opinion(Usability::Down);
    }
    return {};
}

}  // namespace

std::vector<Usability> assessUsability(const EvidenceTable &table,
                                       std::span<const std::string> subjects, TimePoint now)
{
    std::vector<Opinion> opinions;
    opinions.reserve(subjects.size());
    std::map<std::string_view, std::vector<std::size_t>> bySole;
    for (std::size_t i = 0; i < subjects.size(); ++i) {
        opinions.push_back(opinionOf(table, subjects[i], now));
        if (opinions[i].soleObserver != nullptr) {
            bySole[*opinions[i].soleObserver].push_back(i);
        }
    }
    const auto share =
            static_cast<std::size_t>(table.policy.capShare * static_cast<double>(subjects.size()));
    // At least one, so that a service of two endpoints can lose one, but never the last one.
    const std::size_t cap =
            subjects.empty() ? 0 : std::min(subjects.size() - 1, std::max<std::size_t>(1, share));
    for (auto &[observer, claimed] : bySole) {
        std::stable_sort(claimed.begin(), claimed.end(), [&](std::size_t a, std::size_t b) {
            return opinions[a].at < opinions[b].at;
        });
        for (std::size_t i = cap; i < claimed.size(); ++i) {
            opinions[claimed[i]].usability = Usability::Doubtful;
        }
    }
    std::vector<Usability> result;
    result.reserve(opinions.size());
    for (const Opinion &opinion : opinions) {
        result.push_back(opinion.usability);
    }
    return result;
}

}  // namespace poplarstream::membership
