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

// The largest payload of a run. With its envelope it stays below the record limit of the log.
inline constexpr std::size_t maxRunPayloadBytes = 32 * 1024;

// The zone whose stream holds the run, from its id "<zone>-<hex>"; empty for other texts.
std::optional<ZoneId> zoneOfRun(const RunId &run);

// The zone that accepts a submission: by rendezvous over the zones of the configuration, so that
// two submissions with one key meet in one stream. Without a key, `ownZone`, which saves a hop.
ZoneId homeZone(const Configuration &configuration, const ZoneId &ownZone, const TenantId &tenant,
                const std::string &idempotencyKey);

// The entry that accepts the submission. `number` must be unique among the runs of this process.
RunAccepted makeAcceptance(const RunSubmission &submission, const ServiceConfig &service,
                           const ZoneId &zone, std::uint64_t incarnation, std::uint64_t number);

// A submission whose entry was proposed and not read back yet.
struct AwaitedAcceptance
{
    RunId run;
    std::uint32_t index = 0;  // of the entry in its record
    TenantId tenant;
    std::string idempotencyKey;
    std::uint64_t payloadHash = 0;
    TimePoint answerBy;
    Reply reply;
};

// The acceptances that callers wait for, by record.
struct AcceptanceTable
{
    std::map<RecordId, std::vector<AwaitedAcceptance>> byRecord;
};

// Answers the callers whose record was read back: 202 with the run, also when the same request had
// been accepted before, or 409 when its key was used with another payload.
void answerReadBack(AcceptanceTable &table, const RecordId &record, const RunsState &state,
                    const ApplyResult &applied);

// Answers the callers of a record that certainly never enters the log: 503, not run.
void answerRefused(AcceptanceTable &table, const RecordId &record, std::string_view reason);

// Answers the callers whose time is over: 503, may have run, with the run's id to ask for.
void answerOverdue(AcceptanceTable &table, TimePoint now);

// The state of a run for its tenant: 200, or 404 when the tenant has no such run.
HttpResponse runResponse(const RunsState &state, const RunId &run, const TenantId &tenant);

// The acceptance answer.
HttpResponse acceptedResponse(const RunId &run);

}  // namespace poplarstream
