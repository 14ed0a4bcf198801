#pragma once

#include <cstdint>  // for uint32_t
#include <map>  // for map
#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/membership/messages.hpp"  // for Claim, GossipUpdate

namespace poplarstream::membership {

struct EvidencePolicy
{
    // Own evidence this recent takes precedence over gossip on whether an endpoint is reachable,
    // since reachability depends on the observer.
    Milliseconds ownEvidenceFreshFor{5'000};
    // An unmarked response ends a Leaving claim only this long after the claim: a response that was
    // in flight when the endpoint began to leave carries no mark.
    Milliseconds leavingHold{5'000};
    // Gossip expires after this time, own failures after a longer one, so that an endpoint is
    // tried again even when nothing probes it.
    Milliseconds gossipTtl{30'000};
    Milliseconds ownFailureTtl{60'000};
    // The share of a service's endpoints that a single observer can take out of use.
    double singleObserverShare = 1.0 / 3;
    // Number of times each gossip update is sent, to tolerate message loss.
    std::uint32_t gossipSends = 3;
};

// The last claim of one observer.
struct Observation
{
    Claim claim = Claim::Live;
    TimePoint at;
};

// The evidence on one endpoint or host. `markedLeavingAt` is when it last announced itself that it
// is leaving.
struct SubjectEntry
{
    std::map<std::string, Observation> byObserver;
    std::optional<TimePoint> markedLeavingAt;
    std::optional<TimePoint> respondedAt;  // last unmarked response to this process
};

// A claim that is still to be sent to peers.
struct PendingGossip
{
    Observation observation;
    std::uint32_t heartbeatsLeft = 0;
    std::uint32_t digestsLeft = 0;
};

// Evidence on endpoints and hosts, by name. Times are of the local steady clock.
struct EvidenceTable
{
    EvidencePolicy policy;
    std::string self;
    std::map<std::string, SubjectEntry> subjects;
    // By subject and observer.
    std::map<std::pair<std::string, std::string>, PendingGossip> pendingGossip;
};

// The observer name used for the platform's host list.
inline constexpr std::string_view platformObserver = "platform";

// Records a response or a successful probe of a minion or worker. `isMarkedLeaving`: the response
// announces that the endpoint is leaving.
void recordResponse(EvidenceTable &table, const std::string &subject, bool isMarkedLeaving,
                    TimePoint now);
// Records a refused connection (Refused) or a failed probe (ProbeFailed) of this process.
void recordFailure(EvidenceTable &table, const std::string &subject, Claim claim, TimePoint now);
// Records an entry of the platform's host list: live or leaving. The list lags behind, so an entry
// is dated by the time at which this process first saw it change.
void recordPlatformState(EvidenceTable &table, const std::string &subject, bool isLeaving,
                         TimePoint now);

enum class Channel { Heartbeat, Digest };

// Records a gossip update of a received message. Updates from heartbeats are forwarded to other
// zones and those from digests to the own zone, so that none circulates.
void recordGossipUpdate(EvidenceTable &table, const GossipUpdate &update, Channel channel,
                        TimePoint now);

// Returns the gossip updates for the next message: least often sent first, at most
// maxGossipUpdates.
std::vector<GossipUpdate> collectGossipUpdates(EvidenceTable &table, Channel channel,
                                               TimePoint now);

// Removes expired evidence and the subjects that are not in `known`, which must be sorted.
void removeExpired(EvidenceTable &table, std::span<const std::string> known, TimePoint now);

}  // namespace poplarstream::membership
