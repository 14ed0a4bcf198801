#pragma once

#include <optional>  // for optional
#include <string>  // for string

#include <fmt/format.h>  // for format

#include "poplarstream/fleet/replay.hpp"  // for apply
#include "poplarstream/fleet/snapshot.hpp"  // for SnapshotCollector
#include "poplarstream/node/platform_duty.hpp"  // for StreamPage
#include "poplarstream/records/codec.hpp"  // for decodeControlRecord, decodeRunRecord
#include "poplarstream/runs/replay.hpp"  // for apply
#include "poplarstream/runs/snapshot.hpp"  // for collect
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for recordUnreadable

namespace poplarstream {

// Progress of a process with a stream. `Scanning`: the oldest records are no longer retained, so
// the state has to come from a snapshot in the stream or from a peer.
enum class ReplicaPhase { Starting, Scanning, Replaying };

// Traits of the control stream.
struct ControlStream
{
    using State = FleetState;
    using Record = ControlRecord;
    using Outcome = ControlOutcome;

    static Result<Record> decode(std::string_view text) { return decodeControlRecord(text); }
    static Offset &next(State &state) { return state.next; }

    // Finds the newest complete snapshot among the added records.
    class Search
    {
    public:
        void add(const Record &record)
        {
            if (const auto *part = std::get_if<SnapshotPart>(&record.body)) {
                collector_.add(*part);
            }
        }
        std::optional<State> newest() const { return collector_.newest(); }

    private:
        SnapshotCollector collector_;
    };
};

// Traits of the run stream of a zone.
struct RunStream
{
    using State = RunsState;
    using Record = RunRecord;
    using Outcome = ApplyResult;

    static Result<Record> decode(std::string_view text) { return decodeRunRecord(text); }
    static Offset &next(State &state) { return state.nextOffset; }

    class Search
    {
    public:
        void add(const Record &record)
        {
            const Offset newest = newest_ ? newest_->nextOffset : 0;
            if (auto found = collect(collector_, record, newest)) {
                newest_ = std::move(found);
            }
        }
        std::optional<State> newest() const { return newest_; }

    private:
        RunsSnapshotCollector collector_;
        std::optional<State> newest_;
    };
};

// The replayed state of one stream and the progress of its replay.
template <class Stream>
struct StreamReplica
{
    std::string name;
    typename Stream::State state;
    ReplicaPhase phase = ReplicaPhase::Starting;
    typename Stream::Search search;
    // Local time of the last read that reached the end of the stream; empty before the first one.
    std::optional<TimePoint> readUntil;

    bool isReplaying() const { return phase == ReplicaPhase::Replaying; }
};

// Installs a state from a snapshot or a peer. A state that is not newer than the current one is
// ignored, so that a replica never goes back. Returns whether the state was installed.
template <class Stream>
bool adopt(StreamReplica<Stream> &replica, typename Stream::State state)
{
    if (Stream::next(state) <= Stream::next(replica.state)) {
        return false;
    }
    replica.state = std::move(state);
    replica.phase = ReplicaPhase::Replaying;
    replica.search = {};
    return true;
}

// Applies a page of the log. `applied(logged, outcome)` is called after each applied record.
// Returns the offset from which the stream must be read again, if that is necessary.
template <class Stream, class OnApplied>
std::optional<Offset> receivePage(StreamReplica<Stream> &replica, const StreamPage &event,
                                  OnApplied applied)
{
    const LogPage &page = event.page;
    Offset &next = Stream::next(replica.state);
    if (replica.phase == ReplicaPhase::Starting) {
        replica.phase = page.first == 0 ? ReplicaPhase::Replaying : ReplicaPhase::Scanning;
    }
    if (replica.phase == ReplicaPhase::Replaying && page.first > next) {
        logEvent(events::retentionGap, {{"stream", replica.name},
                                        {"expected", fmt::format("{}", next)},
                                        {"first", fmt::format("{}", page.first)}});
        replica.phase = ReplicaPhase::Scanning;
        replica.search = {};
        return page.first;
    }
    for (const LogEntry &entry : page.entries) {
        if (replica.phase == ReplicaPhase::Replaying && entry.offset < next) {
            continue;
        }
        auto record = Stream::decode(entry.data);
        if (!record) {
            // All entry hosts skip the same record, so their states stay equal.
            logEvent(events::recordUnreadable, {{"stream", replica.name},
                                                {"offset", fmt::format("{}", entry.offset)},
                                                {"fault", record.failure().message}});
        }
        if (replica.phase == ReplicaPhase::Scanning) {
            if (record) {
                replica.search.add(record.value());
            }
            continue;
        }
        if (record) {
            const Logged<typename Stream::Record> logged{entry.offset, entry.time,
                                                         std::move(record).value()};
            const auto outcome = apply(replica.state, logged);
            next = entry.offset + 1;
            applied(logged, outcome);
        } else {
            next = entry.offset + 1;
        }
    }
    if (replica.phase == ReplicaPhase::Replaying && event.isAtEnd) {
        replica.readUntil = event.requestedAt;
    }
    if (replica.phase == ReplicaPhase::Scanning && event.isAtEnd) {
        auto found = replica.search.newest();
        // The records after the snapshot must still be retained.
        if (found && Stream::next(*found) >= page.first && adopt(replica, std::move(*found))) {
            logEvent(events::snapshotRestored,
                     {{"stream", replica.name},
                      {"through", fmt::format("{}", Stream::next(replica.state))}});
            return Stream::next(replica.state);
        }
    }
    return std::nullopt;
}

}  // namespace poplarstream
