#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

enum class WriteResult { Stored, Superseded };

// Writes the owner's progress, one batch at a time. A batch with an unknown outcome is written
// again under the same sequence number, so that the store deduplicates it.
//
// A stored write shows that no newer owner has fenced this one, so it confirms the ownership as a
// renewal does. Right before the starts of a batch are sent, `maySend` is asked with the time at
// which the batch was first sent to the store; if it refuses, they are planned again.
class ProgressWriter
{
public:
    using MaySend = std::function<bool(TimePoint recordedAt)>;

    // Writes to the partition of the progress log that has the number of the shard.
    ProgressWriter(Runtime &runtime, int shard, std::int64_t epoch, MaySend maySend);
    ProgressWriter(const ProgressWriter &) = delete;
    ProgressWriter &operator=(const ProgressWriter &) = delete;
    ~ProgressWriter();

    // Fences the writes of earlier owners. Calls `done` with false if there is a newer owner.
    void fence(std::function<void(bool isFenced)> done);

    // Writes the changes of the engine, unless a write is in flight, and marks them as stored in
    // the engine afterwards. The engine must outlive the writer.
    void write(engine::Engine &engine, std::function<void(WriteResult)> done);

    // When the newest stored batch was first sent.
    TimePoint confirmedAt() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
