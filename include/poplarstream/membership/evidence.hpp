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
    // While this process has heard from or been refused by an endpoint itself this recently, it
    // does not ask others whether the endpoint can be reached: that depends on who asks.
    Milliseconds ownFreshFor{5'000};
    // An unmarked answer ends a Leaving claim only this long after it; an answer that was under way
    // when the endpoint began to leave carries no mark.
    Milliseconds leavingHold{5'000};
    // Rumours are forgotten after this time, own failures after a longer one, so that an endpoint
    // is tried again when nothing probes it.
    Milliseconds rumourFor{30'000};
    Milliseconds ownFailureFor{60'000};
    // The part of the endpoints of a service that one observer can take away.
    double capShare = 1.0 / 3;
    // How often a rumour is sent, against loss.
    std::uint32_t sends = 3;
};

// What one observer last said.
struct Observation
{
    Claim claim = Claim::Live;
    TimePoint at;
};

// All that is known of one endpoint or host. `markedLeavingAt`: when it last said itself that it
// leaves.
struct SubjectEntry
{
    std::map<std::string, Observation> byObserver;
    std::optional<TimePoint> markedLeavingAt;
    std::optional<TimePoint> answeredAt;  // the last unmarked answer to this process
};

struct NewsItem
{
    Observation observation;
    std::uint32_t heartbeatsLeft = 0;
    std::uint32_t digestsLeft = 0;
};

// Evidence on endpoints and hosts, by name. Times are of the process's own steady clock.
struct EvidenceTable
{
    EvidencePolicy policy;
    std::string self;
    std::map<std::string, SubjectEntry> subjects;
    std::map<std::pair<std::string, std::string>, NewsItem> news;  // by subject and observer
};

// The observer name of the platform's list.
inline constexpr std::string_view platformObserver = "platform";

// An answer or a successful probe of a minion or worker; `isMarkedLeaving` if it said so.
void recordResponse(EvidenceTable &table, const std::string &subject, bool isMarkedLeaving,
                    TimePoint now);
// A refused connection (Refused) or a failed probe (ProbeFailed) of this process.
void recordFailure(EvidenceTable &table, const std::string &subject, Claim claim, TimePoint now);
// An entry of the platform's list: live or leaving. The list lags: an entry counts from the time at
// which it was first seen to change.
void recordPlatformState(EvidenceTable &table, const std::string &subject, bool isLeaving,
                         TimePoint now);

enum class Channel { Heartbeat, Digest };

// A rumour from a message. Rumours of heartbeats go on to other zones and those of digests to the
// own zone, so that none circles.
void recordGossipUpdate(EvidenceTable &table, const GossipUpdate &rumour, Channel channel,
                        TimePoint now);

// The gossipUpdates for the next message: the least sent first, at most maxGossipUpdates.
std::vector<GossipUpdate> collectGossipUpdates(EvidenceTable &table, Channel channel,
                                               TimePoint now);

// Forgets what has expired and the subjects that are not in `known` (sorted).
void removeExpired(EvidenceTable &table, std::span<const std::string> known, TimePoint now);

}  // namespace poplarstream::membership
