#include "poplarstream/runs/batch.hpp"

#include "poplarstream/records/codec.hpp"  // for encode
#include "poplarstream/runs/queries.hpp"  // for findRun

namespace poplarstream {
namespace {

// Reserved for the record header, whose ids are much shorter.
constexpr std::size_t headerBytes = 1024;

std::size_t encodedSize(const RunEntry &entry)
{
    return encode(RunRecord{{}, {entry}}).size();
}

}  // namespace

std::vector<RunRecord> batchEntries(std::span<const RunEntry> entries, const EntryHostId &writer,
                                    const std::function<RecordId()> &nextId)
{
    std::vector<RunRecord> records;
    std::size_t size = 0;
    for (const RunEntry &entry : entries) {
        const std::size_t added = encodedSize(entry);
        if (records.empty() || size + added > maxRecordBytes) {
            records.push_back({{nextId(), writer}, {}});
            size = headerBytes;
        }
        records.back().entries.push_back(entry);
        size += added;
    }
    return records;
}

std::vector<RunEntry> cancelEntries(const RunsState &state, std::span<const RunId> runs)
{
    std::vector<RunEntry> entries;
    std::size_t size = 0;
    for (const RunId &id : runs) {
        const Run *run = findRun(state, id);
        if (!run || isFinal(run->stage) || run->stage == RunStage::Cancelling) {
            continue;
        }
        const std::size_t added = id.text().size() + 3;
        if (entries.empty() || size + added > maxRecordBytes - 2 * headerBytes) {
            entries.emplace_back(RunsCancelled{});
            size = 0;
        }
        std::get<RunsCancelled>(entries.back()).runs.push_back(id);
        size += added;
    }
    return entries;
}

}  // namespace poplarstream
