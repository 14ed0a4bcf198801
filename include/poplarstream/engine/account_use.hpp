#pragma once

#include "poplarstream/engine/state.hpp"  // for Engine, Worker, AccountNeed

namespace poplarstream::engine {

// Adds a run to the use of its account. Runs without an account are not counted.
void countUse(Engine &engine, const AccountNeed &run);

// The opposite, for a run that is known to have ended or not to start any more.
void uncountUse(Engine &engine, const AccountNeed &run);

// Notes a run that the worker lists although no job has it. It takes part of the account's cap
// until it has been stopped. Returns false if it is noted already.
bool addUnexpected(Engine &engine, Worker &worker, const AttemptRef &ref);

// Drops such a run, which has ended.
void forgetUnexpected(Engine &engine, Worker &worker, const AttemptRef &ref);

}  // namespace poplarstream::engine
