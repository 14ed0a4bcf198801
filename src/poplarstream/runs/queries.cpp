#include "poplarstream/runs/queries.hpp"

#include <algorithm>  // for any_of

#include <fmt/format.h>  // for format

#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream {
namespace {

// Returns the oldest matching run. Several can match, since a run that was handed over by another
// zone may have a key that is in use here.
template <class Matches>
const Run *findIndexed(const RunsState &state, const HashIndex &index, std::uint64_t hash,
                       Matches matches)
{
    const auto entry = index.entries.find(hash);
    if (entry == index.entries.end()) {
        return nullptr;
    }
    const Run *first = nullptr;
    const auto keepOldest = [&](std::uint64_t ordinal) {
        const Run &run = state.runs.find(ordinal)->second;
        if (matches(run) && (!first || run.ordinal < first->ordinal)) {
            first = &run;
        }
    };
    keepOldest(entry->second);
    if (!index.collisions.empty()) {
        const auto [begin, end] = index.collisions.equal_range(hash);
        for (auto other = begin; other != end; ++other) {
            keepOldest(other->second);
        }
    }
    return first;
}

}  // namespace

const Run *findRun(const RunsState &state, const RunId &run)
{
    return findIndexed(state, state.byId, idHash(run),
                       [&](const Run &found) { return found.id() == run; });
}

const Run *findRunByKey(const RunsState &state, const AccountId &tenant, std::string_view key)
{
    return findIndexed(state, state.byKey, keyHash(tenant, key), [&](const Run &found) {
        return found.accepted.tenant == tenant && found.accepted.idempotencyKey == key;
    });
}

bool hasAttempt(const RunsState &state, const RunId &id, const FencingToken &token)
{
    const Run *run = findRun(state, id);
    if (run == nullptr) {
        return false;
    }
    return (run->claim && run->claim->token == token)
           || std::any_of(run->lostAttempts.begin(), run->lostAttempts.end(),
                          [&](const LostAttempt &attempt) { return attempt.token == token; });
}

std::optional<Verdict> verdictOf(const Run &run)
{
    switch (run.stage) {
    case RunStage::Finished:
    case RunStage::Failed:
        return Verdict::Ran;
    case RunStage::MayHaveRun:
        return Verdict::MayHaveRun;
    case RunStage::Cancelled:
    case RunStage::DeadLettered:
        return run.mayHaveStarted ? Verdict::MayHaveRun : Verdict::NotRun;
    default:
        return std::nullopt;
    }
}

bool isLeaseValid(const RunsState &state, const EntryHostId &owner)
{
    const auto lease = state.leases.find(owner);
    return lease != state.leases.end() && lease->second > state.now;
}

std::vector<EntryHostId> liveOwners(const RunsState &state)
{
    std::vector<EntryHostId> owners;
    for (const auto &[owner, until] : state.leases) {
        if (until > state.now) {
            owners.push_back(owner);
        }
    }
    return owners;
}

std::uint32_t openClaimCount(const RunsState &state, const HostId &worker)
{
    const auto found = state.reserved.find(worker);
    return found == state.reserved.end() ? 0 : found->second.runs;
}

std::vector<std::string> explainRun(const RunsState &state, const RunId &run)
{
    std::vector<std::string> lines;
    if (const Run *found = findRun(state, run)) {
        lines.push_back(fmt::format("The run of service {} is {}.", found->accepted.service.text(),
                                    stageText(found->stage)));
        if (found->claim) {
            lines.push_back(fmt::format("It is claimed by {} for worker {} under token {}.{}.",
                                        found->claim->owner.text(), found->claim->worker.text(),
                                        found->claim->token.offset, found->claim->token.index));
        }
        if (!found->failedOn.empty() || found->losses > 0) {
            lines.push_back(fmt::format("It failed {} times and lost its worker {} times.",
                                        found->failedOn.size(), found->losses));
        }
        if (!found->handedTo.isEmpty()) {
            lines.push_back(fmt::format("It was handed over to zone {}.", found->handedTo.text()));
        }
        if (!found->reason.empty()) {
            lines.push_back(found->reason);
        }
    } else {
        lines.emplace_back("The run is not known in this zone.");
    }
    for (const Refusal &refusal : state.refusals) {
        if (refusal.run == run) {
            lines.push_back(fmt::format("An entry at offset {} was refused: {}.", refusal.offset,
                                        refusal.reason));
        }
    }
    return lines;
}

bool isRecordApplied(const RunsState &state, const RecordId &record)
{
    return state.recentRecordHashSet.contains(stableHash(record.text()));
}

std::uint64_t idHash(const RunId &run)
{
    return stableHash(run.text());
}

std::uint64_t keyHash(const AccountId &tenant, std::string_view key)
{
    return stableHash(key, stableHash(tenant.text()));
}

}  // namespace poplarstream
