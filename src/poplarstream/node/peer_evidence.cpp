#include "poplarstream/node/peer_evidence.hpp"

#include <algorithm>  // for any_of, sort

#include "poplarstream/membership/evidence_queries.hpp"  // for assessUsability

namespace poplarstream {

namespace {

using membership::EvidenceTable;
using membership::Usability;

// Subjects against which somebody speaks; few at any time.
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

// A service is named by its id, a pool by its id; a group is judged only if `isAdverse`.
struct Group
{
    std::vector<std::string> subjects;
    bool isAdverse = false;

    void add(const std::string &subject, const std::set<std::string> &adverse)
    {
        subjects.push_back(subject);
        isAdverse = isAdverse || adverse.contains(subject);
    }
};

// The members of the groups that get no work in every group that they are in.
template <class Key>
std::set<std::string> leavingOf(const std::map<Key, Group> &groups, const EvidenceTable &evidence,
                                TimePoint now)
{
    std::set<std::string> leaving;
    std::set<std::string> spared;
    for (const auto &[key, group] : groups) {
        if (!group.isAdverse) {
            continue;
        }
        const auto usabilities = membership::assessUsability(evidence, group.subjects, now);
        for (std::size_t i = 0; i < usabilities.size(); ++i) {
            (getsNoWork(usabilities[i]) ? leaving : spared).insert(group.subjects[i]);
        }
    }
    for (const std::string &subject : spared) {
        leaving.erase(subject);
    }
    return leaving;
}

std::map<ServiceId, Group> minionsByService(const ServingView &view,
                                            const std::set<std::string> &adverse)
{
    std::map<PoolId, std::vector<ServiceId>> services;
    for (const auto &pool : view.traffic.pools) {
        services[pool.id] = pool.services;
    }
    std::map<ServiceId, Group> groups;
    for (const auto &minion : view.traffic.minions) {
        for (const ServiceId &service : services[minion.pool]) {
            groups[service].add(minion.id.text(), adverse);
        }
    }
    return groups;
}

std::map<PoolId, Group> hostsByPool(const ServingView &view, const std::set<std::string> &adverse)
{
    std::map<PoolId, Group> groups;
    for (const HostConfig &host : view.configuration->hosts) {
        groups[host.pool].add(host.id.text(), adverse);
    }
    return groups;
}

}  // namespace

LeavingSubjects judgeSubjects(const EvidenceTable &evidence, const ServingView &view, TimePoint now)
{
    LeavingSubjects result;
    const std::set<std::string> adverse = adverseSubjects(evidence);
    if (adverse.empty()) {
        return result;
    }
    for (const std::string &minion : leavingOf(minionsByService(view, adverse), evidence, now)) {
        result.minions.insert(MinionId(minion));
    }
    for (const std::string &host : leavingOf(hostsByPool(view, adverse), evidence, now)) {
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
