#pragma once

#include <cstdint>  // for uint64_t
#include <set>  // for set
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/result.hpp"  // for Failure
#include "poplarstream/edge/ports.hpp"  // for DecoderPort, StoredRecord
#include "poplarstream/engine/job_events.hpp"  // for ClockReading
#include "poplarstream/engine/state.hpp"  // for Engine
#include "poplarstream/ownership/division.hpp"  // for Shard

namespace poplarstream::edge {

// What an owner remembers of the entries in the registry of the workers that it could not use.
struct UnusableEntries
{
    std::uint64_t count = 0;  // read so far, for the metrics
    std::set<std::string> reported;  // keys, at most `maxReportedEntries`
};

// Further unusable entries are only counted, so that another writer can fill neither the memory nor
// the log.
inline constexpr std::size_t maxReportedEntries = 256;

// Applies entries that were read from the registry, of which each is the newest of its key. A
// snapshot names all workers; the others are no longer listed. Workers of other shards than `shard`
// are left out.
//
// An entry that cannot be read, or that says the worker will start more than a day from now, names
// no worker to use: the worker gets no new task until a usable entry of its id comes. This is no
// evidence that it has ended, so its tasks stay there and it is polled as before. The same holds if
// its entry was removed.
//
// Returns the unusable entries to log, each key once until its entry is removed: a description of
// bounded length, and the key as `field`.
std::vector<Failure> applyRegistry(engine::Engine &engine, UnusableEntries &unusable,
                                   const DecoderPort &decoder, const ownership::Shard &shard,
                                   std::span<const StoredRecord> records, bool isSnapshot,
                                   const engine::ClockReading &now);

// Writes one line for each.
void logUnusableEntries(std::span<const Failure> entries);

}  // namespace poplarstream::edge
