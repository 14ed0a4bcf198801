#include "poplarstream/records/codec.hpp"

#include <array>  // for array
#include <type_traits>  // for is_same_v
#include <utility>  // for index_sequence

#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJsonOrThrow

namespace nlohmann {

template <class Tag>
struct adl_serializer<poplarstream::Id<Tag>>
{
    static void to_json(json &j, const poplarstream::Id<Tag> &id) { j = id.text(); }
    static void from_json(const json &j, poplarstream::Id<Tag> &id)
    {
        id = poplarstream::Id<Tag>(j.get<std::string>());
    }
};

template <>
struct adl_serializer<poplarstream::Milliseconds>
{
    static void to_json(json &j, poplarstream::Milliseconds duration) { j = duration.count(); }
    static void from_json(const json &j, poplarstream::Milliseconds &duration)
    {
        duration = poplarstream::Milliseconds{j.get<std::int64_t>()};
    }
};

template <>
struct adl_serializer<poplarstream::TimePoint>
{
    static void to_json(json &j, poplarstream::TimePoint time)
    {
        j = poplarstream::millisecondsSinceEpoch(time);
    }
    static void from_json(const json &j, poplarstream::TimePoint &time)
    {
        time = poplarstream::timePoint(j.get<std::int64_t>());
    }
};

template <class T>
struct adl_serializer<std::optional<T>>
{
    static void to_json(json &j, const std::optional<T> &value)
    {
        j = value ? json(*value) : json(nullptr);
    }
    static void from_json(const json &j, std::optional<T> &value)
    {
        value = j.is_null() ? std::nullopt : std::optional<T>(j.get<T>());
    }
};

}  // namespace nlohmann

namespace poplarstream {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(AbsenceKind, {{AbsenceKind::Reboot, "reboot"},
                                           {AbsenceKind::Move, "move"},
                                           {AbsenceKind::RebootAndMove, "reboot-move"}})
NLOHMANN_JSON_SERIALIZE_ENUM(AbsencePhase, {{AbsencePhase::Drained, "drained"},
                                            {AbsencePhase::Away, "away"},
                                            {AbsencePhase::Returning, "returning"},
                                            {AbsencePhase::Returned, "returned"},
                                            {AbsencePhase::Abandoned, "abandoned"}})
// Unknown values decode to the first entry: an unknown outcome must not decode as success.
NLOHMANN_JSON_SERIALIZE_ENUM(RunOutcome, {{RunOutcome::MayHaveRun, "may-have-run"},
                                          {RunOutcome::Succeeded, "succeeded"},
                                          {RunOutcome::Failed, "failed"}})

// An unknown cause must not decode as proof that the run never started.
NLOHMANN_JSON_SERIALIZE_ENUM(ReleaseCause, {{ReleaseCause::Lost, "lost"},
                                            {ReleaseCause::NeverStarted, "never-started"},
                                            {ReleaseCause::Checkpointed, "checkpointed"},
                                            {ReleaseCause::Stopped, "stopped"},
                                            {ReleaseCause::Failed, "failed"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordHeader, id, writer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigEdit, section, key, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigChange, baseVersion, author, edits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AbsenceRequest, host, kind, target, wave, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AbsenceProgress, host, grant, phase)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostMove, host, from, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostHealth, host, failed, evidence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneReachability, zone, lost)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaderLease, duty, holder, duration)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerQuarantine, host, quarantined, evidence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotPart, snapshot, through, index, count, checksum, data)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FencingToken, offset, index)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, cpus, memoryMegabytes, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunAccepted, run, tenant, service, idempotencyKey, payloadHash,
                                   payload, declared, declaredDuration, idempotent, deadline)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunClaimed, run, owner, worker, reserved, workerBoot,
                                   workerCapacity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunTakenOver, run, token, owner)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunStarted, run, token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunFinished, run, token, outcome, result, peak, ran)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunReleased, run, token, workerFault, reason, cause, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunsCancelled, runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunDeadLettered, run, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunHandedOver, run, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RunReceived, accepted, from, handedOverAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HandOverConfirmed, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OwnerLease, owner, duration)

namespace {

// The values of `type`, in the order of the alternatives of each variant.
constexpr std::array controlTypes = {
        "config-change",     "absence-request", "absence-progress",  "host-move",     "host-health",
        "zone-reachability", "duty-lease",      "worker-quarantine", "snapshot-part",
};
constexpr std::array runTypes = {
        "run-accepted",    "run-claimed",  "run-taken-over",      "run-started",
        "run-finished",    "run-released", "runs-cancelled",      "run-set-aside",
        "run-handed-over", "run-received", "hand-over-confirmed", "owner-lease",
        "snapshot-part",
};
static_assert(controlTypes.size() == std::variant_size_v<ControlBody>);
static_assert(runTypes.size() == std::variant_size_v<RunEntry>);

template <class Variant, std::size_t Count>
json variantToJson(const Variant &variant, const std::array<const char *, Count> &types)
{
    json j = std::visit([](const auto &alternative) { return json(alternative); }, variant);
    j["type"] = types[variant.index()];
    return j;
}

template <class Variant, std::size_t Count, std::size_t... Index>
Variant variantFromJson(const json &j, const std::array<const char *, Count> &types,
                        std::index_sequence<Index...>)
{
    const auto type = j.at("type").get<std::string>();
    Variant variant;
    const bool known = ((type == types[Index]
                         && (variant = j.get<std::variant_alternative_t<Index, Variant>>(), true))
                        || ...);
    if (!known) {
        throw std::invalid_argument("unknown record type '" + type + "'");
    }
    return variant;
}

template <class Variant, std::size_t Count>
Variant variantFromJson(const json &j, const std::array<const char *, Count> &types)
{
    return variantFromJson<Variant>(j, types, std::make_index_sequence<Count>{});
}

std::string dump(const json &j)
{
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Record, class Read>
Result<Record> decode(std::string_view text, Read read)
{
    try {
        const json j = parseBoundedJsonOrThrow(text);
        Record record;
        record.header = j.get<RecordHeader>();
        read(j, record);
        return record;
    } catch (const std::exception &error) {
        return Failure{error.what(), "record"};
    }
}

}  // namespace

std::string encode(const ControlRecord &record)
{
    json j = record.header;
    j["body"] = variantToJson(record.body, controlTypes);
    return dump(j);
}

std::string encode(const RunRecord &record)
{
    json j = record.header;
    json entries = json::array();
    for (const RunEntry &entry : record.entries) {
        entries.push_back(variantToJson(entry, runTypes));
    }
    j["entries"] = std::move(entries);
    return dump(j);
}

Result<ControlRecord> decodeControlRecord(std::string_view text)
{
    return decode<ControlRecord>(text, [](const json &j, ControlRecord &record) {
        record.body = variantFromJson<ControlBody>(j.at("body"), controlTypes);
    });
}

Result<RunRecord> decodeRunRecord(std::string_view text)
{
    return decode<RunRecord>(text, [](const json &j, RunRecord &record) {
        for (const json &entry : j.at("entries")) {
            record.entries.push_back(variantFromJson<RunEntry>(entry, runTypes));
        }
    });
}

}  // namespace poplarstream
