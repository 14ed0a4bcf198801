#include "poplarstream/node/peer_evidence.hpp"

#include <algorithm>  // for any_of, sort

#include "poplarstream/membership/evidence_queries.hpp"  // for assessUsability

namespace poplarstream {

namespace {

using membership::EvidenceTable;
using membership::Usability;

// Subjects that any observer reports as other than live; few at any time.
std::set<std::string> adverseSubjects(const EvidenceTable &evidence)
{
    std::set<std::string> adverse;
    for (const auto &[subject, entry] : evidence.subjects) {
        const bool isAdverse =
                std::any_of(entry.byObserver.begin(), entry.byObserver.end(), [](const auto &item) {
                    return item.second.claim != membership::Claim::Live;
                });
        if (isAdverse || entry.markedLeavingAt) {
            adverse.insert(subject);
        }
    }
    return adverse;
}

bool getsNoWork(Usability usability)
{
    return usability == Usability::Leaving || usability == Usability::Down;
}

// The minions of a service or the hosts of a pool. Assessed only if `isAdverse`.
struct SubjectGroup
{
    std::vector<std::string> subjects;
    bool isAdverse = false;

    void add(const std::string &subject, const std::set<std::string> &adverse)
    {
        subjects.push_back(subject);
        isAdverse = isAdverse || adverse.contains(subject);
    }
};

// The subjects that get no work in any assessed group that they belong to.
template <class Key>
std::set<std::string> leavingSubjectsOf(const std::map<Key, SubjectGroup> &groups,
                                        const EvidenceTable &evidence, TimePoint now)
{
    std::set<std::string> leaving;
    std::set<std::string> usable;
    for (const auto &[key, group] : groups) {
        if (!group.isAdverse) {
            continue;
        }
        const auto usabilities = membership::assessUsability(evidence, group.subjects, now);
        for (std::size_t i = 0; i < usabilities.size(); ++i) {
            (getsNoWork(usabilities[i]) ? leaving : usable).insert(group.subjects[i]);
        }
    }
    for (const std::string &subject : usable) {
        leaving.erase(subject);
    }
    return leaving;
}

std::map<ServiceId, SubjectGroup> minionsByService(const ServingView &view,
                                                   const std::set<std::string> &adverse)
{
    std::map<PoolId, std::vector<ServiceId>> services;
    for (const auto &pool : view.traffic.pools) {
        services[pool.id] = pool.services;
    }
    std::map<ServiceId, SubjectGroup> groups;
    for (const auto &minion : view.traffic.minions) {
        for (const ServiceId &service : services[minion.pool]) {
            groups[service].add(minion.id.text(), adverse);
        }
    }
    return groups;
}

std::map<PoolId, SubjectGroup> hostsByPool(const ServingView &view,
                                           const std::set<std::string> &adverse)
{
    std::map<PoolId, SubjectGroup> groups;
    for (const HostConfig &host : view.configuration->hosts) {
        groups[host.pool].add(host.id.text(), adverse);
    }
    return groups;
}

}  // namespace

LeavingSubjects findLeavingSubjects(const EvidenceTable &evidence, const ServingView &view,
                                    TimePoint now)
{
    LeavingSubjects result;
    const std::set<std::string> adverse = adverseSubjects(evidence);
    if (adverse.empty()) {
        return result;
    }
    for (const std::string &minion :
         leavingSubjectsOf(minionsByService(view, adverse), evidence, now)) {
        result.minions.insert(MinionId(minion));
    }
    for (const std::string &host : leavingSubjectsOf(hostsByPool(view, adverse), evidence, now)) {
        result.hosts.insert(HostId(host));
    }
    return result;
}

std::vector<std::string> knownSubjects(const EvidenceTable &evidence, const ServingView &view)
{
    std::vector<std::string> known;
    std::set<Address> addresses;
    for (const auto &[subject, entry] : evidence.subjects) {
        const auto address = addressFromText(subject);
        if (address) {
            addresses.insert(*address);
        }
        if (view.version == 0 || view.configuration->hosts.contains(HostId(subject))) {
            known.push_back(subject);
        }
    }
    if (view.version > 0 && !addresses.empty()) {
        for (const HostConfig &host : view.configuration->hosts) {
            for (const Address minion : host.minions) {
                if (addresses.contains(minion)) {
                    known.push_back(addressText(minion));
                }
            }
        }
    }
    std::sort(known.begin(), known.end());
    return known;
}

}  // namespace poplarstream
