#pragma once

#include <memory>  // for enable_shared_from_this
#include <utility>  // for forward, move

namespace poplarstream::edge {

// State of a duty that others call back: calls that come after the duty is gone do nothing.
template <class State>
struct Closable : std::enable_shared_from_this<State>
{
    bool isClosed = false;

    // A callback that calls `function` with the state and its own arguments.
    template <class Function>
    auto guarded(Function function)
    {
        return [weak = this->weak_from_this(),
                function = std::move(function)](auto &&...arguments) {
            if (const auto self = weak.lock(); self && !self->isClosed) {
                function(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }
};

}  // namespace poplarstream::edge
