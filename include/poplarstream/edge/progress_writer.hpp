#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

enum class WriteResult { Stored, Superseded };

// Writes the owner's progress, one batch at a time. A batch whose fate is not known is written
// again under the same number, which the store recognizes.
//
// A write that is stored shows that no newer owner has shut this one out, so it confirms the
// ownership as a renewal does. Starts whose batch took longer than `freshFor` are not sent: they
// are planned again.
class ProgressWriter
{
public:
    ProgressWriter(Runtime &runtime, std::int64_t epoch, Milliseconds freshFor);
    ProgressWriter(const ProgressWriter &) = delete;
    ProgressWriter &operator=(const ProgressWriter &) = delete;
    ~ProgressWriter();

    // Shuts out the writes of earlier owners. Calls `done` with false when there is a newer one.
    void fence(std::function<void(bool isFenced)> done);

    // Writes what the engine has changed, unless a write is under way, and applies it to the engine
    // when it is stored. The engine must outlive the writer.
    void write(engine::Engine &engine, std::function<void(WriteResult)> done);

    // When the newest stored batch was first sent.
    TimePoint confirmedAt() const;

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
