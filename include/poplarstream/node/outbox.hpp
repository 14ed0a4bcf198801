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

// What is known of a proposed record.
enum class ProposalPhase {
    Sending,  // an append is in progress
    Appended,  // the log answered; the record has not been read back yet
    Unknown,  // the answer was lost; the record may be in the log
};

struct Proposal
{
    std::string stream;
    std::string text;
    ProposalPhase phase = ProposalPhase::Sending;
    TimePoint firstSent;
    TimePoint lastSent;
    // Until when an append without an answer is sent again. Afterwards the record is only awaited.
    TimePoint retryUntil;
    std::uint32_t sends = 1;
};

// The records that this process proposed and has not read back. An append whose answer was lost is
// sent again under the same id, because replay ignores the second one; nothing is proposed under a
// new id for the same purpose while the first is unknown.
struct Outbox
{
    EntryHostId writer;
    // Tells the ids of one process from those of an earlier process with the same name.
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    std::map<RecordId, Proposal> proposals;
};

// How long an unanswered record is awaited after its last append. The platform closes or completes
// an append within its request time-out, which is well below.
inline constexpr Milliseconds appendFenceDelay{30'000};

// The first wait before an unanswered append is sent again; doubled each time, up to the second.
inline constexpr Milliseconds initialAppendRetryDelay{250};
inline constexpr Milliseconds maxAppendRetryDelay{4'000};

// An id that no other record has.
RecordId nextRecordId(Outbox &outbox);

// Notes that the record is being appended.
void addProposal(Outbox &outbox, const RecordId &id, std::string stream, std::string text,
                 TimePoint now, TimePoint retryUntil);

// The log answered with an offset.
void onAppended(Outbox &outbox, const RecordId &id);

// The answer is missing.
void onAppendUnknown(Outbox &outbox, const RecordId &id);

// The record is certain not to be in the log, unless an earlier append of the same id is unknown.
// Returns whether the proposal is over; a proposal with an earlier unknown append stays.
bool onAppendRefused(Outbox &outbox, const RecordId &id);

// The record was read back. Returns the proposal if it was one of ours.
std::optional<Proposal> onReadBack(Outbox &outbox, const RecordId &id);

struct Resend
{
    RecordId id;
    std::string stream;
    std::string text;
};

// The proposals whose append has to be sent again now; they count as sending from here on.
std::vector<Resend> collectResends(Outbox &outbox, TimePoint now);

// Removes and returns the proposals that can no longer enter the log: their last append is older
// than the fence, and the stream was read past that time without them. `readUntil` gives the local
// time up to which a stream has been read to its end.
std::vector<RecordId> collectFenced(Outbox &outbox,
                                    const std::map<std::string, TimePoint> &readUntil);

// Whether a record of this stream awaits its outcome.
bool hasProposal(const Outbox &outbox, std::string_view stream);

}  // namespace poplarstream
