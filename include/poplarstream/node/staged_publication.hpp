#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/node/control_duty.hpp"  // for ConfigPublication, PublicationOutcome

namespace poplarstream {

using PublishPort = std::function<bool(ConfigPublication)>;

// Edits published stage by stage, each stage based on the version that the previous one produced.
struct StagedChange
{
    std::uint64_t baseVersion = 0;
    std::string author;
    std::vector<std::vector<ConfigEdit>> stages;
};

// The outcome of the last stage that was sent. If the first stage loses a race with another change,
// nothing of the document is in force; if a later one does, `stagesDone` stages are.
struct StagedOutcome
{
    PublicationOutcome last;
    std::size_t stagesDone = 0;
    std::size_t stages = 0;
};

// Publishes the stages in order and stops at the first that is not in force. `done` is called once,
// on any thread.
void publishStages(PublishPort port, StagedChange change, std::function<void(StagedOutcome)> done);

}  // namespace poplarstream
