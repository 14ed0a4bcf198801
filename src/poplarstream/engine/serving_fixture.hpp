#pragma once

#include <string>  // for string

#include "engine_fixture.hpp"  // for step

namespace poplarstream::engine::test {

// A step of one task of image `image` with a latency target of 50 ms.
inline jobs::StepSpec servingStep(const std::string &image, std::int64_t cpuMilli)
{
    jobs::StepSpec serving = step(1, cpuMilli);
    serving.longRunning = true;
    serving.image = image;
    serving.target = Milliseconds{50};
    return serving;
}

inline void makeHarmful(Engine &engine, const std::string &victim, const std::string &neighbour)
{
    engine.interference.pairs[{victim, neighbour}] = {100, 0.7, timePoint(1'000'000), true, {}};
    ++engine.interference.harmful;
}

}  // namespace poplarstream::engine::test
