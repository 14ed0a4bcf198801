#include "poplarstream/runs/proposals.hpp"

#include "entry_runs.hpp"  // for forEachRun

namespace poplarstream {
namespace {

void updatePendingByRun(Proposals &proposals, const RunRecord &record, bool isAdded)
{
    for (const RunEntry &entry : record.entries) {
        forEachRun(entry, [&](const RunId &run) {
            if (isAdded) {
                ++proposals.pendingByRun[run];
            } else if (const auto found = proposals.pendingByRun.find(run); --found->second == 0) {
                proposals.pendingByRun.erase(found);
            }
        });
    }
}

}  // namespace

void recordPending(Proposals &proposals, const RunRecord &record, TimePoint now,
                   std::uint64_t connection)
{
    const auto [entry, isNew] = proposals.pending.try_emplace(
            record.header.id, PendingProposal{record, now, now, connection});
    if (isNew) {
        updatePendingByRun(proposals, record, true);
    } else {
        entry->second.lastSentAt = now;
        entry->second.connection = connection;
    }
}

std::optional<PendingProposal> settle(Proposals &proposals, const RecordId &record)
{
    const auto found = proposals.pending.find(record);
    if (found == proposals.pending.end()) {
        return std::nullopt;
    }
    PendingProposal proposal = std::move(found->second);
    proposals.pending.erase(found);
    updatePendingByRun(proposals, proposal.record, false);
    return proposal;
}

std::vector<RunRecord> settleFenced(Proposals &proposals, std::uint64_t closed)
{
    std::vector<RecordId> fenced;
    for (const auto &[id, proposal] : proposals.pending) {
        if (proposal.connection <= closed) {
            fenced.push_back(id);
        }
    }
    std::vector<RunRecord> records;
    records.reserve(fenced.size());
    for (const RecordId &id : fenced) {
        records.push_back(settle(proposals, id)->record);
    }
    return records;
}

bool isPending(const Proposals &proposals, const RunId &run)
{
    return proposals.pendingByRun.contains(run);
}

std::vector<RunRecord> overdue(const Proposals &proposals, TimePoint now,
                               Milliseconds retryInterval)
{
    std::vector<RunRecord> records;
    for (const auto &[id, proposal] : proposals.pending) {
        if (now - proposal.lastSentAt >= retryInterval) {
            records.push_back(proposal.record);
        }
    }
    return records;
}

}  // namespace poplarstream
