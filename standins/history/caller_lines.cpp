#include "history/caller_lines.hpp"

#include <map>  // for map

#include "history/lines.hpp"  // for readJsonLines, idempotentServices, timeField
#include "poplarstream/base/rendezvous.hpp"  // for stableHash

namespace poplarstream::standins {

namespace {

using nlohmann::json;
using namespace history;

TimePoint endOf(const json &line)
{
    return timeField(line, "sent_ms") + Milliseconds{line.at("elapsed_ms").get<std::int64_t>()};
}

void addUrgent(Events &events, const json &line)
{
    const std::string nonce = line.at("nonce");
    const RequestId request(nonce);
    events.push_back({timeField(line, "sent_ms"), RequestSent{request, stableHash(nonce)}});
    const std::string verdict = line.at("verdict");
    if (line.at("answered").get<bool>() && line.at("status") == 200) {
        const std::string responseNonce = line.at("answer_nonce");
        events.push_back({endOf(line), ResponseReceived{request, stableHash(responseNonce),
                                                        !responseNonce.empty()}});
    }
    if (verdict == "not-run") {
        events.push_back(
                {endOf(line), RunCompletionResponse{RunId(nonce), Verdict::NotRun, false}});
    } else if (verdict == "ran") {
        events.push_back({endOf(line), RunCompletionResponse{RunId(nonce), Verdict::Ran, false}});
    }
}

// Only finished and failed runs are guaranteed to have run; a cancelled or dead-lettered run may
// have started before.
void addRunEnd(Events &events, const json &line)
{
    const std::string state = line.at("state");
    if (state == "open") {
        return;
    }
    const bool mustHaveRun = state == "finished" || state == "failed";
    events.push_back({timeField(line, "ended_ms"),
                      RunCompletionResponse{RunId(line.at("run").get<std::string>()),
                                            mustHaveRun ? Verdict::Ran : Verdict::MayHaveRun,
                                            state == "cancelled"}});
}

}  // namespace

Events callerEvents(const std::filesystem::path &folder)
{
    Events events;
    const auto idempotent = idempotentServices(folder);
    for (const json &line : readJsonLines(folder / "callers.jsonl")) {
        const std::string kind = line.at("kind");
        if (kind == "run") {
            addRunEnd(events, line);
        } else if (kind == "request" && line.at("class") == "urgent") {
            addUrgent(events, line);
        } else if (kind == "request" && line.at("status") == 202) {
            events.push_back(
                    {endOf(line), RunAcceptedResponse{RunId(line.at("run").get<std::string>()),
                                                      idempotent.contains(line.at("service"))}});
        }
    }
    return events;
}

Events stoppedEntryEvents(const std::filesystem::path &folder)
{
    Events events;
    std::map<std::string, TimePoint> stops;
    for (const json &line : readJsonLines(folder / "faults.jsonl")) {
        if (line.at("kind") == "planned-stop") {
            const std::string entry = line.at("entry");
            events.push_back({timeField(line, "time_ms"), PlannedStop{entry}});
            stops.try_emplace(entry, timeField(line, "time_ms"));
        }
    }
    for (const json &line : readJsonLines(folder / "callers.jsonl")) {
        const std::string kind = line.at("kind");
        const bool isLost = kind == "attempt-lost"
                            || (kind == "request" && !line.at("answered").get<bool>()
                                && line.at("verdict") == "may-have-run");
        const auto stop = isLost ? stops.find(line.at("entry").get<std::string>()) : stops.end();
        const TimePoint end = kind == "attempt-lost" ? timeField(line, "time_ms")
                              : isLost               ? endOf(line)
                                                     : TimePoint{};
        if (stop != stops.end() && end >= stop->second) {
            events.push_back(
                    {end,
                     RequestCut{RequestId(std::to_string(line.at("number").get<std::uint64_t>())),
                                stop->first}});
        }
    }
    return events;
}

}  // namespace poplarstream::standins
