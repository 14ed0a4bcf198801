#include "history/log_lines.hpp"

#include <algorithm>  // for max, stable_sort

#include <fmt/format.h>  // for format

#include "history/lines.hpp"  // for readJsonLines, timeField
#include "poplarstream/fleet/queries.hpp"  // for isAway
#include "poplarstream/fleet/replay.hpp"  // for apply
#include "poplarstream/records/codec.hpp"  // for decodeControlRecord, decodeRunRecord
#include "poplarstream/runs/replay.hpp"  // for apply

namespace poplarstream::standins {

namespace {

using nlohmann::json;
using namespace history;

struct StreamLine
{
    Offset offset;
    TimePoint time;
    std::string data;
};

std::map<std::string, std::vector<StreamLine>> readStreams(const std::filesystem::path &folder)
{
    std::map<std::string, std::vector<StreamLine>> streams;
    for (const json &line : readJsonLines(folder / "platform.jsonl")) {
        auto &stream = streams[line.at("stream").get<std::string>()];
        stream.push_back({stream.size(), timeField(line, "time_ms"), line.at("data").dump()});
    }
    return streams;
}

// Replays the control stream and calls `visit(state before, record, state after)` for each granted
// record.
template <class Visit>
void replayControl(const std::filesystem::path &folder, Visit visit)
{
    FleetState state;
    const auto streams = readStreams(folder);
    const auto control = streams.find("control");
    if (control == streams.end()) {
        return;
    }
    for (const StreamLine &line : control->second) {
        const auto record = decodeControlRecord(line.data);
        if (!record) {
            continue;
        }
        const FleetState before = state;
        if (apply(state, {line.offset, line.time, record.value()}).granted) {
            visit(before, line, record.value(), state);
        }
    }
}

class ControlChanges
{
public:
    void add(const FleetState &before, const StreamLine &line, const ControlRecord &record,
             const FleetState &after)
    {
        time_ = line.time;
        if (after.version != before.version) {
            for (const PoolConfig &pool : after.configuration->pools) {
                push(BudgetSet{pool.id, pool.maxAway});
            }
        }
        const bool isPlanned = std::holds_alternative<AbsenceRequest>(record.body);
        for (const auto &[id, host] : after.hosts) {
            const auto old = before.hosts.find(id);
            const FleetHost *previous = old != before.hosts.end() ? &old->second : nullptr;
            compare(id, previous, previous && isAway(before, *previous), host, isAway(after, host),
                    isPlanned);
        }
        for (const auto &[id, host] : before.hosts) {
            if (!after.hosts.contains(id)) {
                push(PoolLeft{id, host.config->pool});
                push(AbsenceEnded{id});
            }
        }
    }

    Events collect() { return std::move(events_); }

private:
    void compare(const HostId &id, const FleetHost *previous, bool wasAway, const FleetHost &host,
                 bool isAwayNow, bool isPlanned)
    {
        const PoolId &pool = host.config->pool;
        const bool hasMoved = previous && previous->config->pool != pool;
        if (hasMoved) {
            push(PoolLeft{id, previous->config->pool});
        }
        if (!previous || hasMoved) {
            push(PoolJoined{id, pool});
        }
        if (isAwayNow && (!wasAway || hasMoved)) {
            push(AbsenceBegan{id, pool, isPlanned});
        } else if (!isAwayNow && wasAway) {
            push(AbsenceEnded{id});
        }
    }

    template <class Body>
    void push(Body body)
    {
        events_.push_back({time_, std::move(body)});
    }

    TimePoint time_;
    Events events_;
};

}  // namespace

Events controlEvents(const std::filesystem::path &folder)
{
    ControlChanges changes;
    replayControl(folder, [&](const auto &before, const auto &line, const auto &record,
                              const auto &after) { changes.add(before, line, record, after); });
    return changes.collect();
}

Events knownRuns(const std::filesystem::path &folder)
{
    Events events;
    for (const auto &[name, lines] : readStreams(folder)) {
        if (!name.starts_with("runs-")) {
            continue;
        }
        RunsState state;
        for (const StreamLine &line : lines) {
            if (const auto record = decodeRunRecord(line.data)) {
                apply(state, {line.offset, line.time, record.value()});
            }
        }
        for (const auto &[ordinal, run] : state.runs) {
            events.push_back({lines.back().time, RunKnownAtEnd{run.id()}});
        }
    }
    return events;
}

Events statusEvents(const std::filesystem::path &folder)
{
    Events events;
    for (const json &line : readJsonLines(folder / "status.jsonl")) {
        events.push_back({timeField(line, "time_ms"),
                          ConfigInForce{line.at("process"), line.at("version")}});
    }
    return events;
}

CheckResult checkConfigInForce(const std::filesystem::path &folder, Milliseconds limit)
{
    CheckResult result{"config-in-force", 0, {}};
    std::vector<std::pair<TimePoint, std::uint64_t>> changes;
    replayControl(folder,
                  [&](const auto &before, const auto &line, const auto &, const auto &after) {
                      if (after.version != before.version) {
                          changes.emplace_back(line.time, after.version);
                      }
                  });
    std::map<std::string, TimePoint> firstSampleTimes;
    const auto faults = readJsonLines(folder / "faults.jsonl");
    for (const json &line : readJsonLines(folder / "status.jsonl")) {
        const TimePoint now = timeField(line, "time_ms");
        TimePoint logReadableSince =
                firstSampleTimes.try_emplace(line.at("process"), now).first->second;
        for (const json &fault : faults) {
            const bool affectsProcess = fault.value("process", "") == line.at("process");
            if ((fault.at("kind") == "log-away" || affectsProcess) && fault.contains("until_ms")
                && timeField(fault, "time_ms") <= now) {
                logReadableSince =
                        std::max(logReadableSince, std::min(now, timeField(fault, "until_ms")));
            }
        }
        for (const auto &[time, version] : changes) {
            if (std::max(time, logReadableSince) + limit > now) {
                continue;
            }
            ++result.checked;
            if (line.at("version").get<std::uint64_t>() < version) {
                result.violations.push_back(
                        {0, fmt::format("{} has version {} {} ms after version {}",
                                        line.at("process").get<std::string>(),
                                        line.at("version").get<std::uint64_t>(),
                                        (now - time).count(), version)});
            }
        }
    }
    return result;
}

}  // namespace poplarstream::standins
