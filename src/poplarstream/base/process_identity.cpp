#include "poplarstream/base/process_identity.hpp"

#include <random>  // for random_device

#include <fmt/format.h>  // for format

namespace poplarstream {

std::string drawProcessIdentity()
{
    const std::uint64_t high = drawProcessNumber();
    return fmt::format("{:016x}{:016x}", high, drawProcessNumber());
}

std::uint64_t drawProcessNumber()
{
    std::random_device source;
    std::uint64_t number = 0;
    while (number == 0) {
        const std::uint64_t high = source();
        number = high << 32 | source();
    }
    return number;
}

}  // namespace poplarstream
