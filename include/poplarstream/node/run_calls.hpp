#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <map>  // for map
#include <optional>  // for optional
#include <span>  // for span
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for RunId, ZoneId, RecordId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/config/configuration.hpp"  // for Configuration
#include "poplarstream/node/run_interface.hpp"  // for RunSubmission, Reply
#include "poplarstream/records/run_record.hpp"  // for RunAccepted, RunEntry
#include "poplarstream/runs/replay.hpp"  // for ApplyResult
#include "poplarstream/runs/runs_state.hpp"  // for RunsState

namespace poplarstream {

// Maximum payload of a run. Together with its envelope it stays below the record limit of the log.
inline constexpr std::size_t maxRunPayloadBytes = 32 * 1024;

// The zone whose stream holds the run, parsed from its id "<zone>-<hex>"; empty for malformed ids.
std::optional<ZoneId> zoneOfRun(const RunId &run);

// The zone that accepts a submission. Rendezvous hashing over the configured zones sends two
// submissions with the same key to the same stream. Without a key it is `ownZone`, to save a hop.
ZoneId homeZone(const Configuration &configuration, const ZoneId &ownZone, const AccountId &tenant,
                const std::string &idempotencyKey);

// Builds the entry that accepts the submission. `number` must be unique among the runs of this
// process.
RunAccepted makeAcceptance(const RunSubmission &submission, const ServiceConfig &service,
                           const ZoneId &zone, std::uint64_t incarnation, std::uint64_t number);

// A submission whose entry was proposed but not yet read back from the log.
struct PendingAcceptance
{
    RunId run;
    std::uint32_t index = 0;  // index of the entry within its record
    AccountId tenant;
    std::string idempotencyKey;
    std::uint64_t payloadHash = 0;
    TimePoint respondBy;
    Reply reply;
};

// Acceptances that callers wait for, by the record that carries them.
struct AcceptanceTable
{
    std::map<RecordId, std::vector<PendingAcceptance>> byRecord;
};

// Responds to the callers whose record was read back: 202 with the run, also if the same request
// was accepted before, 409 if its key was used with another payload, or 503 if the id of the run is
// in use.
void respondReadBack(AcceptanceTable &table, const RecordId &record, const RunsState &state,
                     const ApplyResult &applied);

// Responds to the callers of a record that is known never to enter the log: 503, not run.
void respondRefused(AcceptanceTable &table, const RecordId &record, std::string_view reason);

// Responds to the callers whose deadline has passed: 503, may have run, with the id of the run.
void respondOverdue(AcceptanceTable &table, TimePoint now);

// State of a run for its tenant: 200, or 404 if the tenant has no such run.
HttpResponse runResponse(const RunsState &state, const RunId &run, const AccountId &tenant);

// The response to an accepted submission.
HttpResponse acceptedResponse(const RunId &run);

}  // namespace poplarstream
