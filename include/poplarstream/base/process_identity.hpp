#pragma once

#include <cstdint>  // for uint64_t
#include <string>  // for string

namespace poplarstream {

// An identity of a process, drawn once at its start from the random source of the system:
// 32 lower-case hexadecimal digits (128 bits). A clock can't give one: processes of several
// machines start in the same millisecond when the power returns, and a process that restarts after
// its clock was set back can get a value that it has used before.
std::string drawProcessIdentity();

// The same with 64 bits, for ids that callers see and that should stay short. Never 0, which often
// stands for an unknown process.
std::uint64_t drawProcessNumber();

}  // namespace poplarstream
