#include "poplarstream/node/outbox.hpp"

#include <algorithm>  // for any_of, min

#include <fmt/format.h>  // for format

namespace poplarstream {

namespace {

Milliseconds retryDelay(std::uint32_t sends)
{
    // Four doublings reach the longest delay; the shift is bounded so that it cannot overflow.
    constexpr std::uint32_t maxDoublings = 4;
    return std::min(maxAppendRetryDelay,
                    initialAppendRetryDelay * (1U << std::min(sends - 1, maxDoublings)));
}

}  // namespace

RecordId nextRecordId(Outbox &outbox)
{
    return RecordId(fmt::format("{}.{:x}.{:x}", outbox.writer.text(), outbox.incarnation,
                                ++outbox.counter));
}

void addProposal(Outbox &outbox, const RecordId &id, std::string stream, std::string text,
                 TimePoint now, TimePoint retryUntil)
{
    outbox.proposals[id] = {.stream = std::move(stream),
                            .text = std::move(text),
                            .phase = ProposalPhase::Sending,
                            .firstSent = now,
                            .lastSent = now,
                            .retryUntil = retryUntil};
}

void onAppended(Outbox &outbox, const RecordId &id)
{
    const auto found = outbox.proposals.find(id);
    if (found != outbox.proposals.end()) {
        found->second.phase = ProposalPhase::Appended;
    }
}

void onAppendUnknown(Outbox &outbox, const RecordId &id)
{
    const auto found = outbox.proposals.find(id);
    if (found != outbox.proposals.end() && found->second.phase == ProposalPhase::Sending) {
        found->second.phase = ProposalPhase::Unknown;
    }
}

bool onAppendRefused(Outbox &outbox, const RecordId &id)
{
    const auto found = outbox.proposals.find(id);
    if (found == outbox.proposals.end()) {
        return false;
    }
    if (found->second.sends > 1) {
        found->second.phase = ProposalPhase::Unknown;
        return false;
    }
    outbox.proposals.erase(found);
    return true;
}

std::optional<Proposal> onReadBack(Outbox &outbox, const RecordId &id)
{
    const auto found = outbox.proposals.find(id);
    if (found == outbox.proposals.end()) {
        return std::nullopt;
    }
    Proposal proposal = std::move(found->second);
    outbox.proposals.erase(found);
    return proposal;
}

std::vector<Resend> collectResends(Outbox &outbox, TimePoint now)
{
    std::vector<Resend> resends;
    for (auto &[id, proposal] : outbox.proposals) {
        if (proposal.phase != ProposalPhase::Unknown || now > proposal.retryUntil
            || now < proposal.lastSent + retryDelay(proposal.sends)) {
            continue;
        }
        proposal.phase = ProposalPhase::Sending;
        proposal.lastSent = now;
        ++proposal.sends;
        resends.push_back({id, proposal.stream, proposal.text});
    }
    return resends;
}

std::vector<RecordId> collectFenced(Outbox &outbox,
                                    const std::map<std::string, TimePoint> &readUntil)
{
    std::vector<RecordId> fenced;
    for (auto at = outbox.proposals.begin(); at != outbox.proposals.end();) {
        const auto read = readUntil.find(at->second.stream);
        const bool isFenced = at->second.phase != ProposalPhase::Sending && read != readUntil.end()
                              && read->second > at->second.lastSent + appendFenceDelay
                              && read->second > at->second.retryUntil;
        if (isFenced) {
            fenced.push_back(at->first);
            at = outbox.proposals.erase(at);
        } else {
            ++at;
        }
    }
    return fenced;
}

bool hasProposal(const Outbox &outbox, std::string_view stream)
{
    return std::any_of(outbox.proposals.begin(), outbox.proposals.end(),
                       [&](const auto &entry) { return entry.second.stream == stream; });
}

}  // namespace poplarstream
