#include "poplarstream/fleet/snapshot.hpp"

#include <algorithm>  // for sort

#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream {
namespace {

// Leaves 4 KiB of a record for the other fields.
constexpr std::size_t maxPartDataBytes = maxRecordBytes - 4 * 1024;

// Allows 64 MB of text, far more than the state of a fleet of the design size. A part with a larger
// count is corrupt.
constexpr std::uint32_t maxParts = 1024;

// Two complete snapshots, as the newest may fail to decode, and two incomplete ones, as an old and
// a new lease holder may write at the same time.
constexpr std::size_t maxCompleteSnapshots = 2;
constexpr std::size_t maxIncompleteSnapshots = 2;

// Returns the size of a byte inside a JSON string. The text is itself JSON and contains no control
// characters.
std::size_t escapedSize(char c)
{
    return c == '"' || c == '\\' ? 2 : 1;
}

bool isContinuationByte(char c)
{
    return (static_cast<unsigned char>(c) & 0xc0) == 0x80;
}

// Returns the end of the part that starts at `begin`. The part has at most maxPartDataBytes when
// escaped and ends between UTF-8 characters, as a record cannot contain a partial one.
std::size_t partEnd(std::string_view text, std::size_t begin)
{
    std::size_t end = begin;
    std::size_t size = 0;
    while (end < text.size() && size + escapedSize(text[end]) <= maxPartDataBytes) {
        size += escapedSize(text[end]);
        ++end;
    }
    while (end < text.size() && end > begin + 1 && isContinuationByte(text[end])) {
        --end;
    }
    return end;
}

}  // namespace

std::vector<SnapshotPart> snapshotParts(const FleetState &state, const RecordId &snapshot)
{
    std::vector<SnapshotPart> parts;
    if (state.next == 0) {
        return parts;
    }
    const std::string text = encodeState(state);
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = partEnd(text, begin);
        SnapshotPart part{snapshot,
                          state.next - 1,
                          static_cast<std::uint32_t>(parts.size()),
                          0,
                          0,
                          text.substr(begin, end - begin)};
        part.checksum = stableHash(part.data);
        parts.push_back(std::move(part));
        begin = end;
    }
    for (SnapshotPart &part : parts) {
        part.count = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

void SnapshotCollector::add(const SnapshotPart &part)
{
    if (part.count > maxParts || part.index >= part.count
        || stableHash(part.data) != part.checksum) {
        return;
    }
    const auto [it, isNew] = snapshots_.try_emplace(part.snapshot);
    Snapshot &snapshot = it->second;
    if (isNew) {
        snapshot.through = part.through;
        snapshot.count = part.count;
    }
    if (snapshot.through != part.through || snapshot.count != part.count) {
        return;
    }
    snapshot.newestPartSequence = ++lastSequence_;
    snapshot.parts.emplace(part.index, part.data);
    if (isNew || snapshot.isComplete()) {
        evictOldest();
    }
}

void SnapshotCollector::evictOldest()
{
    // Incomplete snapshots are ranked by age and not by offset, so that a corrupt part with a high
    // offset is evicted eventually.
    using Entry = std::pair<std::uint64_t, RecordId>;
    std::vector<Entry> complete;
    std::vector<Entry> incomplete;
    for (const auto &[id, snapshot] : snapshots_) {
        if (snapshot.isComplete()) {
            complete.emplace_back(snapshot.through, id);
        } else {
            incomplete.emplace_back(snapshot.newestPartSequence, id);
        }
    }
    const auto evictBeyond = [this](std::vector<Entry> &entries, std::size_t kept) {
        std::sort(entries.rbegin(), entries.rend());
        for (std::size_t i = kept; i < entries.size(); ++i) {
            snapshots_.erase(entries[i].second);
        }
    };
    evictBeyond(complete, maxCompleteSnapshots);
    evictBeyond(incomplete, maxIncompleteSnapshots);
}

std::optional<FleetState> SnapshotCollector::newest() const
{
    std::vector<const Snapshot *> complete;
    for (const auto &[id, snapshot] : snapshots_) {
        if (snapshot.isComplete()) {
            complete.push_back(&snapshot);
        }
    }
    std::sort(complete.begin(), complete.end(),
              [](const Snapshot *a, const Snapshot *b) { return a->through > b->through; });
    for (const Snapshot *snapshot : complete) {
        std::string text;
        for (const auto &[index, data] : snapshot->parts) {
            text += data;
        }
        Result<FleetState> state = decodeState(text);
        if (state && state.value().next == snapshot->through + 1) {
            return std::move(state).value();
        }
    }
    return std::nullopt;
}

}  // namespace poplarstream
