#include "poplarstream/runs/snapshot.hpp"

#include <algorithm>  // for min_element

#include "poplarstream/base/rendezvous.hpp"  // for stableHash
#include "run_index.hpp"  // for indexRun
#include "state_text.hpp"  // for TextWriter, TextReader, field

namespace poplarstream {

// Declared in this namespace, so that argument-dependent lookup finds the overloads of field().
template <class Archive, class... T>
void fields(Archive &archive, T &...values)
{
    (field(archive, values), ...);
}

// clang-format off
template <class Archive> void field(Archive &a, FencingToken &v) { fields(a, v.offset, v.index); }
template <class Archive> void field(Archive &a, Resources &v) { fields(a, v.cpus, v.memoryMegabytes, v.accelerators); }
template <class Archive> void field(Archive &a, LostAttempt &v) { fields(a, v.token, v.worker, v.workerBoot); }
template <class Archive> void field(Archive &a, Refusal &v) { fields(a, v.offset, v.index, v.run, v.reason); }
template <class Archive> void field(Archive &a, AttemptOutcome &v) { fields(a, v.at, v.tenant, v.run, v.isFault); }
template <class Archive> void field(Archive &a, WorkerHistory &v) { fields(a, v.outcomes, v.consecutiveFaults, v.lastOutcome); }
template <class Archive> void field(Archive &a, UsageRatios &v) { fields(a, v.cpus, v.memory, v.duration); }
// clang-format on

template <class Archive>
void field(Archive &a, Claim &v)
{
    fields(a, v.token, v.owner, v.worker, v.workerBoot, v.reserved, v.since, v.startedAt);
}

template <class Archive>
void field(Archive &a, RunAccepted &v)
{
    fields(a, v.run, v.tenant, v.service, v.idempotencyKey, v.payloadHash, v.payload, v.declared,
           v.declaredDuration, v.idempotent, v.deadline);
}

template <class Archive>
void field(Archive &a, Run &v)
{
    fields(a, v.accepted, v.stage, v.acceptedAt, v.waitingSince, v.endedAt, v.claim, v.lostAttempts,
           v.failedOn, v.losses, v.mayHaveStarted, v.checkpoint, v.result, v.reason, v.handedTo,
           v.handedOverAt, v.isArrivalConfirmed);
}

namespace {

constexpr int formatVersion = 1;
// Reserved for the JSON around the data of a part, whose ids are much shorter.
constexpr std::size_t partOverheadBytes = 1024;

// All fields except the runs and what is derived from the runs and from other fields.
template <class Archive>
void nonRunFields(Archive &a, RunsState &v)
{
    fields(a, v.nextOffset, v.now, v.nextOrdinal, v.ended, v.leases, v.workers, v.usageRatios,
           v.recentRecordHashes, v.arrivals, v.refusals);
}

std::size_t encodedSize(char c)
{
    // JSON encodes control characters as \u00XX and escapes quotes and backslashes.
    return static_cast<unsigned char>(c) < 0x20 ? 6 : c == '"' || c == '\\' ? 2 : 1;
}

bool isContinuation(char c)
{
    return (static_cast<unsigned char>(c) & 0xc0) == 0x80;
}

// Splits the text at UTF-8 character boundaries into pieces whose JSON encoding fits in a record.
std::vector<std::string> splitIntoPieces(const std::string &text)
{
    std::vector<std::string> pieces;
    std::size_t begin = 0;
    while (begin < text.size()) {
        std::size_t end = begin;
        std::size_t size = 0;
        while (end < text.size() && size + 6 <= maxRecordBytes - partOverheadBytes) {
            size += encodedSize(text[end++]);
        }
        while (end < text.size() && end > begin + 1 && isContinuation(text[end])) {
            --end;
        }
        pieces.push_back(text.substr(begin, end - begin));
        begin = end;
    }
    return pieces;
}

// Incomplete snapshots, of writers that stopped halfway, beyond which the oldest is evicted.
constexpr std::size_t maxIncompleteSnapshots = 4;

void evictOldest(RunsSnapshotCollector &collector)
{
    collector.incomplete.erase(std::min_element(
            collector.incomplete.begin(), collector.incomplete.end(),
            [](const auto &a, const auto &b) {
                return a.second.begin()->second.through < b.second.begin()->second.through;
            }));
}

RunsState parseState(std::string_view text)
{
    TextReader reader(text);
    int version = 0;
    reader.number(version);
    if (version != formatVersion) {
        throw std::runtime_error("unsupported snapshot format version");
    }
    RunsState state;
    std::size_t count = 0;
    reader.number(count);
    state.byId.entries.reserve(std::min(count, text.size() / 32));
    state.byKey.entries.reserve(std::min(count, text.size() / 32));
    for (std::size_t i = 0; i < count; ++i) {
        std::uint64_t ordinal = 0;
        reader.number(ordinal);
        if (!state.runs.empty() && state.runs.rbegin()->first >= ordinal) {
            throw std::runtime_error("the runs are out of order");
        }
        // Parsed in place to avoid copying, since a run is large.
        Run &run = state.runs.emplace_hint(state.runs.end(), ordinal, Run{})->second;
        field(reader, run);
        run.ordinal = ordinal;
        if (static_cast<std::size_t>(run.stage) >= runStageCount) {
            throw std::runtime_error("a run has an unknown stage");
        }
        indexRun(state, run);
    }
    nonRunFields(reader, state);
    for (const std::uint64_t ordinal : state.ended) {
        if (!state.runs.contains(ordinal)) {
            throw std::runtime_error("an ended run is missing");
        }
    }
    state.recentRecordHashSet.insert(state.recentRecordHashes.begin(),
                                     state.recentRecordHashes.end());
    for (const auto &[at, arrival] : state.arrivals) {
        state.arrivalSet.insert(arrival);
    }
    if (!reader.isAtEnd()) {
        throw std::runtime_error("unexpected data after the end of the snapshot");
    }
    return state;
}

}  // namespace

std::string writeState(const RunsState &state)
{
    TextWriter writer;
    // field() serves both directions and so takes mutable references; the writer changes nothing.
    auto &source = const_cast<RunsState &>(state);
    writer.number(formatVersion);
    writer.number(source.runs.size());
    for (auto &[ordinal, run] : source.runs) {
        writer.number(ordinal);
        field(writer, run);
    }
    nonRunFields(writer, source);
    return writer.take();
}

Result<RunsState> readState(std::string_view text)
{
    try {
        return parseState(text);
    } catch (const std::exception &error) {
        return Failure{error.what(), "snapshot"};
    }
}

std::vector<SnapshotPart> snapshotParts(const RunsState &state, const RecordId &snapshot)
{
    std::vector<std::string> pieces = splitIntoPieces(writeState(state));
    std::vector<SnapshotPart> parts;
    for (std::string &piece : pieces) {
        const std::uint64_t checksum = stableHash(piece);
        parts.push_back({snapshot, state.nextOffset == 0 ? 0 : state.nextOffset - 1,
                         static_cast<std::uint32_t>(parts.size()),
                         static_cast<std::uint32_t>(pieces.size()), checksum, std::move(piece)});
    }
    return parts;
}

std::optional<RunsState> collect(RunsSnapshotCollector &collector, const RunRecord &record,
                                 Offset newest)
{
    for (const RunEntry &entry : record.entries) {
        const auto *part = std::get_if<SnapshotPart>(&entry);
        if (!part || part->checksum != stableHash(part->data) || part->through < newest) {
            continue;
        }
        if (collector.incomplete.size() >= maxIncompleteSnapshots
            && !collector.incomplete.contains(part->snapshot)) {
            evictOldest(collector);
        }
        auto &parts = collector.incomplete[part->snapshot];
        parts[part->index] = *part;
        if (parts.size() < part->count) {
            continue;
        }
        std::string text;
        for (const auto &[index, piece] : parts) {
            text += piece.data;
        }
        collector.incomplete.erase(part->snapshot);
        Result<RunsState> state = readState(text);
        if (state && state.value().nextOffset == part->through + 1) {
            std::erase_if(collector.incomplete, [&](const auto &other) {
                return other.second.begin()->second.through < part->through;
            });
            return std::move(state).value();
        }
    }
    return std::nullopt;
}

}  // namespace poplarstream
