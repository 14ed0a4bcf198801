#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RecordId, EntryHostId
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint

namespace poplarstream {

// The progress of a proposed record.
enum class ProposalPhase {
    Sending,  // an append is in progress
    Appended,  // acknowledged by the log, but not read back yet
    Unknown,  // no acknowledgement; the record may be in the log
};

struct Proposal
{
    std::string stream;
    std::string text;
    ProposalPhase phase = ProposalPhase::Sending;
    TimePoint firstSent;
    TimePoint lastSent;
    // An unacknowledged append is retried until then; afterwards only the read-back is awaited.
    TimePoint retryUntil;
    std::uint32_t sends = 1;
};

// The records that this process proposed and has not read back. An unacknowledged append is retried
// under the same id, because replay ignores duplicates; nothing is proposed under a new id for the
// same purpose while the outcome of the first is unknown.
struct Outbox
{
    EntryHostId writer;
    // Distinguishes record ids from those of an earlier process with the same name.
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    std::map<RecordId, Proposal> proposals;
};

// How long an unacknowledged record is awaited after its last append. The platform completes or
// aborts an append within its request timeout, which is much shorter.
inline constexpr Milliseconds appendFenceDelay{30'000};

// The delay before an unacknowledged append is retried, doubled each time up to the maximum.
inline constexpr Milliseconds initialAppendRetryDelay{250};
inline constexpr Milliseconds maxAppendRetryDelay{4'000};

// Returns a unique record id.
RecordId nextRecordId(Outbox &outbox);

// Registers a record whose append is in progress.
void addProposal(Outbox &outbox, const RecordId &id, std::string stream, std::string text,
                 TimePoint now, TimePoint retryUntil);

// The log acknowledged the append.
void onAppended(Outbox &outbox, const RecordId &id);

// The append ended without an acknowledgement or refusal.
void onAppendUnknown(Outbox &outbox, const RecordId &id);

// The log refused the append, so the record is not in the log unless an earlier append of the same
// id succeeded unnoticed. Removes the proposal and returns true if this was its only append.
bool onAppendRefused(Outbox &outbox, const RecordId &id);

// The record was read back. Removes and returns its proposal, if this process proposed it.
std::optional<Proposal> onReadBack(Outbox &outbox, const RecordId &id);

struct Resend
{
    RecordId id;
    std::string stream;
    std::string text;
};

// Returns the proposals whose append is due for a retry, and marks them as sending.
std::vector<Resend> collectResends(Outbox &outbox, TimePoint now);

// Removes and returns the proposals that can no longer enter the log: the stream was read to its
// end without them, later than their retry deadline and later than the fence delay after their last
// append. `readUntil` is the local time up to which each stream has been read.
std::vector<RecordId> collectFenced(Outbox &outbox,
                                    const std::map<std::string, TimePoint> &readUntil);

// Whether a record of this stream is still pending.
bool hasProposal(const Outbox &outbox, std::string_view stream);

}  // namespace poplarstream
