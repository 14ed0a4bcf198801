#include "poplarstream/edge/worker_registry.hpp"

#include <algorithm>  // for replace_if

#include "poplarstream/engine/incarnations.hpp"  // for registerWorker, deregisterWorker
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for workerEntryUnusable

namespace poplarstream::edge {

namespace {

// An incarnation with a start in the far future would hide all later ones of its id, and would make
// the living one count as ended. Clocks of a deployment differ by less than this.
constexpr std::int64_t maxClockDifferenceMs = 24LL * 3600 * 1000;
// Descriptions of faults may quote what was read.
constexpr std::size_t maxFaultBytes = 160;
constexpr std::size_t maxKeyBytes = 64;

std::string shortened(std::string text, std::size_t maxBytes)
{
    if (text.size() > maxBytes) {
        text.resize(maxBytes);
        text += "...";
    }
    // A character that was cut, or bytes that are no text, would make the log unreadable.
    std::replace_if(
            text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

Result<engine::WorkerEntry> usableEntry(const DecoderPort &decoder, const StoredRecord &record,
                                        const engine::ClockReading &now)
{
    Result<engine::WorkerEntry> entry = decoder.workerEntry(record.key, *record.value);
    if (entry && entry.value().incarnation.startedUnixMs > now.unixMs + maxClockDifferenceMs) {
        return Failure{"the start lies in the future", {}};
    }
    return entry;
}

}  // namespace

std::vector<Failure> applyRegistry(engine::Engine &engine, UnusableEntries &unusable,
                                   const DecoderPort &decoder, const ownership::Shard &shard,
                                   std::span<const StoredRecord> records, bool isSnapshot,
                                   const engine::ClockReading &now)
{
    std::vector<Failure> toLog;
    std::set<engine::WorkerId> listed;
    std::set<std::string> keys;
    for (const StoredRecord &record : records) {
        const engine::WorkerId id(record.key);
        if (!record.value) {
            unusable.reported.erase(record.key);
            engine::deregisterWorker(engine, id);
            continue;
        }
        keys.insert(record.key);
        const Result<engine::WorkerEntry> entry = usableEntry(decoder, record, now);
        if (entry && ownership::shardOfRack(entry.value().rack, shard.count) != shard.index) {
            engine::deregisterWorker(engine, id);
            continue;
        }
        if (entry) {
            listed.insert(id);
            engine::registerWorker(engine, entry.value(), now.steady);
            continue;
        }
        engine::deregisterWorker(engine, id);
        ++unusable.count;
        if (unusable.reported.size() < maxReportedEntries
            && unusable.reported.insert(record.key).second) {
            toLog.push_back({shortened(entry.failure().message, maxFaultBytes),
                             shortened(record.key, maxKeyBytes)});
        }
    }
    if (isSnapshot) {
        std::erase_if(unusable.reported,
                      [&](const std::string &key) { return !keys.contains(key); });
        const auto newestIncarnations = engine.newestIncarnations;
        for (const auto &[id, incarnation] : newestIncarnations) {
            if (!listed.contains(id)) {
                engine::deregisterWorker(engine, id);
            }
        }
    }
    return toLog;
}

void logUnusableEntries(std::span<const Failure> entries)
{
    for (const Failure &entry : entries) {
        logEvent(events::workerEntryUnusable, {{"entry", entry.field}, {"fault", entry.message}});
    }
}

}  // namespace poplarstream::edge
