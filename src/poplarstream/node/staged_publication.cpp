#include "poplarstream/node/staged_publication.hpp"

#include <memory>  // for shared_ptr, enable_shared_from_this

namespace poplarstream {

namespace {

struct Publication : std::enable_shared_from_this<Publication>
{
    void sendNext(std::uint64_t base)
    {
        const auto self = shared_from_this();
        ConfigPublication publication{
                {base, change.author, change.stages[outcome.stagesDone]},
                [self](const PublicationOutcome &result) { self->handleOutcome(result); }};
        if (!port(std::move(publication))) {
            outcome.last = {.version = base, .reason = "the control duty is busy"};
            outcome.last.result = PublicationResult::Refused;
            done(outcome);
        }
    }

    void handleOutcome(const PublicationOutcome &result)
    {
        outcome.last = result;
        if (result.result != PublicationResult::InForce) {
            done(outcome);
            return;
        }
        if (++outcome.stagesDone == change.stages.size()) {
            done(outcome);
        } else {
            sendNext(result.version);
        }
    }

    PublishPort port;
    StagedChange change;
    std::function<void(StagedOutcome)> done;
    StagedOutcome outcome;
};

}  // namespace

void publishStages(PublishPort port, StagedChange change, std::function<void(StagedOutcome)> done)
{
    const auto publication = std::make_shared<Publication>();
    publication->port = std::move(port);
    publication->change = std::move(change);
    publication->done = std::move(done);
    publication->outcome.stages = publication->change.stages.size();
    if (publication->change.stages.empty()) {
        publication->outcome.last = {.result = PublicationResult::InForce,
                                     .version = publication->change.baseVersion,
                                     .reason = "the document changes nothing"};
        publication->done(publication->outcome);
        return;
    }
    publication->sendNext(publication->change.baseVersion);
}

}  // namespace poplarstream
