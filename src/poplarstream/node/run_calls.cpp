#include "poplarstream/node/run_calls.hpp"

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/rendezvous.hpp"  // for rendezvousOwner, stableHash
#include "poplarstream/node/caller_request.hpp"  // for errorResponse, addVerdict
#include "poplarstream/runs/queries.hpp"  // for findRun, verdictOf

namespace poplarstream {

namespace {

using nlohmann::json;

constexpr Milliseconds retryAfterOutage{2'000};
// The next request gets another id.
constexpr Milliseconds retryAfterIdInUse{1'000};

std::string dump(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

const Run *findTenantRun(const RunsState &state, const RunId &id, const AccountId &tenant)
{
    const Run *run = findRun(state, id);
    return run != nullptr && run->accepted.tenant == tenant ? run : nullptr;
}

void respond(const PendingAcceptance &pending, const RunsState &state, bool isGranted)
{
    if (isGranted) {
        pending.reply(acceptedResponse(pending.run));
        return;
    }
    const Run *first = findRunByKey(state, pending.tenant, pending.idempotencyKey);
    if (first != nullptr && first->accepted.payloadHash == pending.payloadHash) {
        pending.reply(acceptedResponse(first->id()));
        return;
    }
    if (first == nullptr) {
        pending.reply(errorResponse(503, Verdict::NotRun,
                                    "the id of the run is in use; repeat the request", {},
                                    retryAfterIdInUse));
        return;
    }
    pending.reply(errorResponse(409, Verdict::NotRun,
                                "the key was used before with another payload", "idempotency_key"));
}

}  // namespace

std::optional<ZoneId> zoneOfRun(const RunId &run)
{
    const std::size_t dash = run.text().rfind('-');
    if (dash == std::string::npos || dash == 0 || dash + 1 == run.text().size()) {
        return std::nullopt;
    }
    return ZoneId(run.text().substr(0, dash));
}

ZoneId homeZone(const Configuration &configuration, const ZoneId &ownZone, const AccountId &tenant,
                const std::string &idempotencyKey)
{
    std::vector<ZoneId> zones;
    for (const ZoneConfig &zone : configuration.zones) {
        zones.push_back(zone.id);
    }
    if (idempotencyKey.empty() || zones.empty()) {
        return ownZone;
    }
    const std::string key = fmt::format("{}\n{}", tenant.text(), idempotencyKey);
    return zones[rendezvousOwner(key, std::span<const ZoneId>(zones))];
}

RunAccepted makeAcceptance(const RunSubmission &submission, const ServiceConfig &service,
                           const ZoneId &zone, std::uint64_t incarnation, std::uint64_t number)
{
    RunAccepted accepted;
    accepted.run = RunId(fmt::format("{}-{:x}.{:x}", zone.text(), incarnation, number));
    accepted.tenant = submission.tenant;
    accepted.service = submission.service;
    accepted.idempotencyKey = submission.idempotencyKey;
    accepted.payloadHash = stableHash(submission.payload, stableHash(submission.service.text()));
    accepted.payload = submission.payload;
    accepted.declared = {service.cpus, service.memoryMegabytes, service.accelerators};
    accepted.declaredDuration = Milliseconds{static_cast<std::int64_t>(service.runSeconds * 1'000)};
    accepted.idempotent = service.idempotent;
    accepted.deadline = submission.deadline;
    return accepted;
}

void respondReadBack(AcceptanceTable &table, const RecordId &record, const RunsState &state,
                     const ApplyResult &applied)
{
    const auto found = table.byRecord.find(record);
    if (found == table.byRecord.end()) {
        return;
    }
    const auto pending = std::move(found->second);
    table.byRecord.erase(found);
    for (const PendingAcceptance &acceptance : pending) {
        respond(acceptance, state, applied.isGranted(acceptance.index));
    }
}

void respondRefused(AcceptanceTable &table, const RecordId &record, std::string_view reason)
{
    const auto found = table.byRecord.find(record);
    if (found == table.byRecord.end()) {
        return;
    }
    const auto pending = std::move(found->second);
    table.byRecord.erase(found);
    for (const PendingAcceptance &acceptance : pending) {
        acceptance.reply(errorResponse(503, Verdict::NotRun, reason, {}, retryAfterOutage));
    }
}

void respondOverdue(AcceptanceTable &table, TimePoint now)
{
    for (auto record = table.byRecord.begin(); record != table.byRecord.end();) {
        std::erase_if(record->second, [now](const PendingAcceptance &acceptance) {
            if (now < acceptance.respondBy) {
                return false;
            }
            HttpResponse response = errorResponse(
                    503, Verdict::MayHaveRun,
                    "the log did not confirm the run in time; ask for it by its id or repeat the "
                    "request with the same idempotency key",
                    {}, retryAfterOutage);
            response.headers.push_back({"Poplar-Run", acceptance.run.text()});
            acceptance.reply(std::move(response));
            return true;
        });
        record = record->second.empty() ? table.byRecord.erase(record) : std::next(record);
    }
}

HttpResponse acceptedResponse(const RunId &run)
{
    HttpResponse response = jsonResponse(
            202, dump({{"run", run.text()}, {"state", stageText(RunStage::Accepted)}}));
    // The run itself has not run yet; its own verdict is part of its state.
    response.headers.push_back({"Poplar-Verdict", std::string(verdictText(Verdict::NotRun))});
    response.headers.push_back({"Poplar-Request-Id", run.text()});
    response.headers.push_back({"Location", "/v1/runs/" + run.text()});
    return response;
}

HttpResponse runResponse(const RunsState &state, const RunId &id, const AccountId &tenant)
{
    const Run *run = findTenantRun(state, id, tenant);
    if (run == nullptr) {
        // It may be a run that ended and was forgotten.
        return errorResponse(404, Verdict::MayHaveRun,
                             "the tenant has no such run, or its result "
                             "is no longer kept",
                             "run");
    }
    json body = {{"run", id.text()},
                 {"service", run->accepted.service.text()},
                 {"state", stageText(run->stage)},
                 {"reason", run->reason},
                 {"attempts", run->failedOn.size() + run->losses}};
    if (run->stage == RunStage::Finished || run->stage == RunStage::Failed) {
        body["result"] = run->result;
    }
    if (run->stage == RunStage::HandedOver) {
        body["zone"] = run->handedTo.text();
    }
    HttpResponse response = jsonResponse(200, dump(body));
    const std::optional<Verdict> verdict = verdictOf(*run);
    if (verdict) {
        response.headers.push_back({"Poplar-Verdict", std::string(verdictText(*verdict))});
    } else {
        // An open run may have started.
        const Verdict open = run->mayHaveStarted ? Verdict::MayHaveRun : Verdict::NotRun;
        response.headers.push_back({"Poplar-Verdict", std::string(verdictText(open))});
    }
    response.headers.push_back({"Poplar-Request-Id", id.text()});
    return response;
}

}  // namespace poplarstream
