#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr

#include "poplarstream/edge/runtime.hpp"  // for Runtime
#include "poplarstream/engine/state.hpp"  // for Engine

namespace poplarstream::edge {

// Sends orders to workers and hands their answers to the engine.
class CommandSender
{
public:
    explicit CommandSender(Runtime &runtime);
    CommandSender(const CommandSender &) = delete;
    CommandSender &operator=(const CommandSender &) = delete;
    // Answers that come later are dropped.
    ~CommandSender();

    // Calls `answered` after the engine has taken the answer. The engine must outlive the sender.
    void send(engine::Engine &engine, const engine::Command &order, std::function<void()> answered);

private:
    struct State;

    std::shared_ptr<State> state_;
};

}  // namespace poplarstream::edge
