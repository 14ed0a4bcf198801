#include "history/fleet_lines.hpp"

#include <set>  // for set

#include <nlohmann/json.hpp>  // for json

#include "common/document.hpp"  // for readDocument, sectionsOf
#include "history/lines.hpp"  // for readJsonLines, idempotentServices, timeField

namespace poplarstream::standins {

namespace {

using nlohmann::json;
using namespace history;

std::string hostOfMinion(const std::string &minion)
{
    return minion.substr(0, minion.rfind('/'));
}

// A worker and its minions leave and return together, so events are recorded per host.
class Executions
{
public:
    explicit Executions(const std::filesystem::path &folder)
        : idempotent_(idempotentServices(folder))
    {}

    void add(const json &line)
    {
        const std::string kind = line.at("kind");
        if (kind == "execution" || (kind == "cut" && line.at("started").get<bool>())) {
            addUrgent(line);
        } else if (kind == "run-started") {
            addRun(line);
        } else if (kind == "run-execution") {
            const std::string run = line.at("run");
            if (line.at("outcome") == "checkpointed") {
                checkpointed_.insert(run);
            } else {
                checkpointed_.erase(run);
            }
        } else if (kind == "drain") {
            push(line, EndpointLeaving{line.at("host")});
        } else if (kind == "undrain" || kind == "boot") {
            push(line, EndpointReturned{line.at("host")});
        } else if (kind == "reboot") {
            push(line, PlannedStop{line.at("host")});
            rebooting_.insert(line.at("host").get<std::string>());
        } else if (kind == "work") {
            push(line, WorkSent{hostOfMinion(line.at("minion"))});
        }
        if (kind == "boot") {
            rebooting_.erase(line.at("host").get<std::string>());
        } else if (kind == "cut" && rebooting_.contains(hostOfMinion(line.at("minion")))) {
            push(line, RequestCut{RequestId(line.at("request").get<std::string>()),
                                  hostOfMinion(line.at("minion"))});
        }
    }

    Events collect() { return std::move(events_); }

private:
    void addUrgent(const json &line)
    {
        const std::string nonce = line.value("nonce", "");
        if (nonce.empty()) {
            return;
        }
        const bool isFirst = executedNonces_.insert(nonce).second;
        if (isFirst || !idempotent_.contains(line.value("service", ""))) {
            push(line,
                 RunExecuted{
                         RunId(nonce), HostId(line.at("minion").get<std::string>()), {}, false});
        }
    }

    void addRun(const json &line)
    {
        const json &token = line.at("token");
        // A continuation consumes the checkpoint: a second one from it counts as another execution.
        const bool isContinued = checkpointed_.erase(line.at("run").get<std::string>()) > 0
                                 && line.value("continued", false);
        push(line, RunExecuted{RunId(line.at("run").get<std::string>()),
                               HostId(line.at("host").get<std::string>()),
                               {token.at("offset"), token.at("index")},
                               isContinued});
        push(line, WorkSent{line.at("host")});
    }

    template <class Body>
    void push(const json &line, Body body)
    {
        const char *const key = line.contains("start_ms") ? "start_ms" : "time_ms";
        events_.push_back({timeField(line, key), std::move(body)});
    }

    std::set<std::string> idempotent_;
    std::set<std::string> executedNonces_;
    std::set<std::string> rebooting_;
    std::set<std::string> checkpointed_;  // runs whose last execution ended in a checkpoint
    Events events_;
};

}  // namespace

Events executionEvents(const std::filesystem::path &folder)
{
    Executions executions(folder);
    for (const json &line : readJsonLines(folder / "fleet.jsonl")) {
        executions.add(line);
    }
    return executions.collect();
}

Events observedAbsences(const std::filesystem::path &folder)
{
    Events events;
    std::map<std::string, PoolId> pools;
    const auto document = readDocument(folder / "fleet.ini");
    for (const Section &section : sectionsOf(document, "host")) {
        pools[section.name] = PoolId(section.text("pool"));
    }
    for (const Section &section : sectionsOf(document, "pool")) {
        const auto budget = static_cast<std::uint32_t>(section.number("max_away", 0));
        events.push_back({TimePoint{}, BudgetSet{PoolId(section.name), budget}});
    }
    for (const json &line : readJsonLines(folder / "fleet.jsonl")) {
        const std::string kind = line.at("kind");
        if (kind == "drain" || kind == "reboot" || kind == "not-answering") {
            const std::string host = line.at("host");
            events.push_back({timeField(line, "time_ms"),
                              AbsenceBegan{HostId(host), pools[host], kind != "not-answering"}});
        } else if (kind == "undrain" || kind == "answering") {
            events.push_back({timeField(line, "time_ms"),
                              AbsenceEnded{HostId(line.at("host").get<std::string>())}});
        }
    }
    return events;
}

}  // namespace poplarstream::standins
