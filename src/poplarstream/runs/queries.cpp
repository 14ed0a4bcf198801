#include "poplarstream/runs/queries.hpp"

#include <fmt/format.h>  // for format

#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream {

const Run *findRun(const RunsState &state, const RunId &run)
{
    const auto found = state.byId.find(run);
    return found == state.byId.end() ? nullptr : &state.runs.find(found->second)->second;
}

const Run *findRunByKey(const RunsState &state, const TenantId &tenant, std::string_view key)
{
    const auto found = state.byKey.find(keyOf(tenant, key));
    return found == state.byKey.end() ? nullptr : &state.runs.find(found->second)->second;
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
    case RunStage::SetAside:
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

std::uint32_t openClaims(const RunsState &state, const HostId &worker)
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

bool isRecorded(const RunsState &state, const RecordId &record)
{
    return state.recentRecordSet.contains(stableHash(record.text()));
}

std::string keyOf(const TenantId &tenant, std::string_view key)
{
    // The length keeps ("ab", "c") apart from ("a", "bc").
    std::string text = std::to_string(tenant.text().size());
    text.append(1, ':').append(tenant.text()).append(key);
    return text;
}

}  // namespace poplarstream
