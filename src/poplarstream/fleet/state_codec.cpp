#include <charconv>  // for from_chars
#include <stdexcept>  // for runtime_error

#include <fmt/format.h>  // for format_to
#include <nlohmann/json.hpp>  // for json

#include "poplarstream/base/bounded_json.hpp"  // for parseBoundedJsonOrThrow
#include "poplarstream/config/ini.hpp"  // for parseDocument, formatDocument
#include "poplarstream/config/validation.hpp"  // for readConfiguration
#include "poplarstream/fleet/pool_usage.hpp"  // for recomputePoolUsage
#include "poplarstream/fleet/snapshot.hpp"  // for encodeState, decodeState

namespace poplarstream {
namespace {

using nlohmann::json;

// A state of another format is rejected; the reader falls back to an older snapshot or to the tail
// of the log.
constexpr int stateFormat = 3;

std::int64_t toUnixMs(TimePoint time)
{
    return millisecondsSinceEpoch(time);
}

// Reads an enumerator that is stored as a number.
template <class Enum>
Enum enumAt(const json &j, std::size_t index, int count)
{
    const int value = j.at(index).get<int>();
    if (value < 0 || value >= count) {
        throw std::runtime_error("an enum value is out of range");
    }
    return static_cast<Enum>(value);
}

template <class Id>
Id idAt(const json &j, std::size_t index)
{
    return Id(j.at(index).get<std::string>());
}

TimePoint timeAt(const json &j, std::size_t index)
{
    return timePoint(j.at(index).get<std::int64_t>());
}

// Rows are JSON arrays with a fixed order of fields. This halves the size of a snapshot compared to
// objects with named fields.
json toJson(const Decision &d)
{
    return json::array({d.offset, toUnixMs(d.time), static_cast<int>(d.kind), d.granted,
                        d.host.text(), d.wave.text(), d.reason});
}

Decision decisionFrom(const json &j)
{
    return {j.at(0).get<Offset>(),
            timeAt(j, 1),
            enumAt<DecisionKind>(j, 2, decisionKindCount),
            j.at(3).get<bool>(),
            idAt<HostId>(j, 4),
            idAt<WaveId>(j, 5),
            j.at(6).get<std::string>()};
}

json toJson(const ChangeDecision &d)
{
    return json::array(
            {d.offset, toUnixMs(d.time), d.id.text(), d.author, d.granted, d.version, d.reason});
}

ChangeDecision changeFrom(const json &j)
{
    return {j.at(0).get<Offset>(),      timeAt(j, 1),        idAt<RecordId>(j, 2),
            j.at(3).get<std::string>(), j.at(4).get<bool>(), j.at(5).get<std::uint64_t>(),
            j.at(6).get<std::string>()};
}

template <class Row>
json toJsonArray(const std::vector<Row> &rows)
{
    json list = json::array();
    for (const Row &row : rows) {
        list.push_back(toJson(row));
    }
    return list;
}

template <class Read>
auto listFrom(const json &j, Read read)
{
    std::vector<decltype(read(j))> rows;
    rows.reserve(j.size());
    for (const json &row : j) {
        rows.push_back(read(row));
    }
    return rows;
}

json toJson(const Absence &a)
{
    return json::array({a.grant, static_cast<int>(a.kind), a.origin.text(), a.target.text(),
                        a.wave.text(), toUnixMs(a.granted), a.departed, a.moved, a.isLoan});
}

Absence absenceFrom(const json &j)
{
    return {.grant = j.at(0).get<Offset>(),
            .kind = enumAt<AbsenceKind>(j, 1, 3),
            .origin = idAt<PoolId>(j, 2),
            .target = idAt<PoolId>(j, 3),
            .wave = idAt<WaveId>(j, 4),
            .granted = timeAt(j, 5),
            .departed = j.at(6).get<bool>(),
            .moved = j.at(7).get<bool>(),
            .isLoan = j.at(8).get<bool>()};
}

json toJson(const HostLoan &loan)
{
    return json::array({loan.from.text(), loan.to.text(), loan.wave.text()});
}

HostLoan loanFrom(const json &j)
{
    return {idAt<PoolId>(j, 0), idAt<PoolId>(j, 1), idAt<WaveId>(j, 2)};
}

json toJson(const FleetHost &host)
{
    return json::array({static_cast<int>(host.state), toUnixMs(host.since), host.quarantined,
                        host.absence ? toJson(*host.absence) : json(nullptr),
                        toJsonArray(host.decisions),
                        host.loan ? toJson(*host.loan) : json(nullptr)});
}

FleetHost hostFrom(const json &j)
{
    FleetHost host;
    host.state = enumAt<HostState>(j, 0, hostStateCount);
    host.since = timeAt(j, 1);
    host.quarantined = j.at(2).get<bool>();
    if (!j.at(3).is_null()) {
        host.absence = absenceFrom(j.at(3));
    }
    host.decisions = listFrom(j.at(4), decisionFrom);
    if (!j.at(5).is_null()) {
        host.loan = loanFrom(j.at(5));
    }
    return host;
}

json toJson(const WaveHistory &wave)
{
    json done = json::array();
    for (const HostId &host : wave.done) {
        done.push_back(host.text());
    }
    return json::array({std::move(done), toJsonArray(wave.decisions)});
}

WaveHistory waveFrom(const json &j)
{
    WaveHistory wave;
    for (const json &host : j.at(0)) {
        wave.done.emplace_hint(wave.done.end(), host.get<std::string>());
    }
    wave.decisions = listFrom(j.at(1), decisionFrom);
    return wave;
}

// Writes the hash of each id as 16 hexadecimal digits.
std::string toHexText(const RecentIds &ids)
{
    std::string text;
    for (const std::uint64_t hash : ids.hashes()) {
        fmt::format_to(std::back_inserter(text), "{:016x}", hash);
    }
    return text;
}

void restoreIds(RecentIds &ids, const std::string &text)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t i = 0; i + 16 <= text.size(); i += 16) {
        std::uint64_t hash = 0;
        const char *end = text.data() + i + 16;
        if (std::from_chars(text.data() + i, end, hash, 16).ptr != end) {
            throw std::runtime_error("the hash of a record id is not hexadecimal");
        }
        hashes.push_back(hash);
    }
    ids.restore(hashes);
}

// A document that is in force stays in force, so it is not validated again: a newer version of the
// program may have stricter checks.
void restoreDocument(FleetState &state, const std::string &text)
{
    ParsedDocument parsed = parseDocument(text);
    if (!parsed.errors.empty()) {
        throw std::runtime_error(describe(parsed.errors));
    }
    state.document = std::move(parsed.document);
    state.configuration =
            std::make_shared<const Configuration>(readConfiguration(state.document).configuration);
}

void restoreHosts(FleetState &state, const json &hosts)
{
    for (const auto &[name, row] : hosts.items()) {
        const HostId id(name);
        FleetHost host = hostFrom(row);
        host.config = state.configuration->hosts.findShared(id);
        if (!host.config) {
            throw std::runtime_error("a host of the state is missing from the document");
        }
        state.hosts.emplace_hint(state.hosts.end(), id, std::move(host));
    }
    if (state.hosts.size() != state.configuration->hosts.size()) {
        throw std::runtime_error("a host of the document is missing from the state");
    }
}

FleetState stateFrom(const json &j)
{
    if (j.at("format").get<int>() != stateFormat) {
        throw std::runtime_error("the state has an unsupported format");
    }
    FleetState state;
    state.next = j.at("next").get<Offset>();
    state.time = timePoint(j.at("time").get<std::int64_t>());
    state.logTime = timePoint(j.at("log_time").get<std::int64_t>());
    state.version = j.at("version").get<std::uint64_t>();
    restoreDocument(state, j.at("document").get<std::string>());
    restoreHosts(state, j.at("hosts"));
    for (const json &zone : j.at("lost")) {
        state.lostZones.emplace(zone.get<std::string>());
    }
    for (const auto &[duty, row] : j.at("duties").items()) {
        state.leases[DutyId(duty)] = {idAt<EntryHostId>(row, 0), row.at(1).get<Offset>(),
                                      timeAt(row, 2)};
    }
    for (const auto &[wave, row] : j.at("waves").items()) {
        state.waves[WaveId(wave)] = waveFrom(row);
    }
    state.changes = listFrom(j.at("changes"), changeFrom);
    state.unknownHostDecisions = listFrom(j.at("strays"), decisionFrom);
    restoreIds(state.recentIds, j.at("ids").get<std::string>());
    recomputePoolUsage(state);
    return state;
}

}  // namespace

std::string encodeState(const FleetState &state)
{
    json j = {{"format", stateFormat},
              {"next", state.next},
              {"time", toUnixMs(state.time)},
              {"log_time", toUnixMs(state.logTime)},
              {"version", state.version},
              {"document", formatDocument(state.document)},
              {"hosts", json::object()},
              {"lost", json::array()},
              {"duties", json::object()},
              {"waves", json::object()},
              {"changes", toJsonArray(state.changes)},
              {"strays", toJsonArray(state.unknownHostDecisions)},
              {"ids", toHexText(state.recentIds)}};
    for (const auto &[id, host] : state.hosts) {
        j["hosts"][id.text()] = toJson(host);
    }
    for (const ZoneId &zone : state.lostZones) {
        j["lost"].push_back(zone.text());
    }
    for (const auto &[duty, holder] : state.leases) {
        j["duties"][duty.text()] =
                json::array({holder.holder.text(), holder.token, toUnixMs(holder.expires)});
    }
    for (const auto &[id, wave] : state.waves) {
        j["waves"][id.text()] = toJson(wave);
    }
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<FleetState> decodeState(std::string_view text)
{
    try {
        return stateFrom(parseBoundedJsonOrThrow(text));
    } catch (const std::exception &error) {
        return Failure{error.what(), "state"};
    }
}

}  // namespace poplarstream
