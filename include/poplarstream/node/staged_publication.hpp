#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/node/control_duty.hpp"  // for ConfigPublication, PublicationOutcome

namespace poplarstream {

using PublishPort = std::function<bool(ConfigPublication)>;

// Edits to publish one stage after the other, each against the version that the last one gave.
struct StagedChange
{
    std::uint64_t baseVersion = 0;
    std::string author;
    std::vector<std::vector<ConfigEdit>> stages;
};

// The outcome of the last stage that was sent. Only the first stage can lose a race unseen by the
// caller's document; after a later one, `stagesDone` stages are in force.
struct StagedOutcome
{
    PublicationOutcome last;
    std::size_t stagesDone = 0;
    std::size_t stages = 0;
};

// Publishes the stages until one is not in force. `done` is called once, on any thread.
void publishStages(PublishPort port, StagedChange change, std::function<void(StagedOutcome)> done);

}  // namespace poplarstream
