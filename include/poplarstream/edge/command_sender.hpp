#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

// Sends commands to workers and passes their responses to the engine.
class CommandSender
{
public:
    explicit CommandSender(Runtime &runtime);
    CommandSender(const CommandSender &) = delete;
    CommandSender &operator=(const CommandSender &) = delete;
    // Later responses are dropped.
    ~CommandSender();

    // Calls `handled` after the engine has handled the response. The engine must outlive the
    // sender.
    void send(engine::Engine &engine, const engine::Command &command,
              std::function<void()> handled);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
