#pragma once

#include <memory>  // for enable_shared_from_this
#include <utility>  // for forward, move

namespace poplarstream::edge {

// State of a component that hands out callbacks: callbacks that run after it was closed or
// destroyed do nothing.
template <class State>
struct Closable : std::enable_shared_from_this<State>
{
    bool isClosed = false;

    // Wraps `function` in a callback, which passes it the state and the callback's arguments.
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
