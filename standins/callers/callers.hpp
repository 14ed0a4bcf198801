#pragma once

#include <map>  // for map
#include <memory>  // for shared_ptr
#include <set>  // for set
#include <string>  // for string

#include <nlohmann/json_fwd.hpp>  // for json

#include "callers/entry_list.hpp"  // for EntryList
#include "callers/load.hpp"  // for Load, Call
#include "common/json_lines.hpp"  // for JsonLines
#include "poplarstream/adapters/http_client.hpp"  // for HttpClient, HttpOutcome

namespace poplarstream::standins {

// Outcomes of the requests of one urgent service.
struct UrgentCounts
{
    std::uint64_t sent = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;  // verdict not-run
    std::uint64_t failed = 0;  // any other response
    std::uint64_t unanswered = 0;
    std::uint64_t wrongResponses = 0;  // the response to another request
};

struct RunCounts
{
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;  // no response, or neither accepted nor refused
    std::map<std::string, std::uint64_t> ended;  // by final state
};

// Sends the calls of a load, and polls the accepted runs until they have ended.
class Callers
{
public:
    Callers(boost::asio::io_context &io, HttpClient &client, EntryList &entries, Load load,
            const std::string &historyFile);

    // Sends for `sendDurationMs`, polls runs for at most `pollDurationMs` more, then calls
    // `finished`.
    void start(std::int64_t sendDurationMs, std::int64_t pollDurationMs,
               std::function<void()> finished);

    nlohmann::json summary() const;

private:
    struct PendingCall
    {
        Call call;
        std::int64_t sentMs = 0;  // system clock
        std::int64_t startedMs = 0;  // steady clock
        int attempts = 0;
        HttpEndpoint entry;
    };
    struct OpenRun
    {
        Call call;
        std::int64_t acceptedMs = 0;
    };

    void tick();
    void send(const std::shared_ptr<PendingCall> &pending);
    void handleResponse(const std::shared_ptr<PendingCall> &pending, const HttpOutcome &outcome);
    bool shouldRetry(const PendingCall &pending, const HttpOutcome &outcome) const;
    void countUrgent(const PendingCall &pending, const HttpOutcome &outcome,
                     std::int64_t elapsedMs);
    void countRun(const PendingCall &pending, const HttpOutcome &outcome);
    void poll();
    void handlePollResponse(const std::string &run, const HttpOutcome &outcome);
    void finishIfDone();

    boost::asio::io_context &io_;
    HttpClient &client_;
    EntryList &entries_;
    Load load_;
    JsonLines history_;
    std::function<void()> finished_;
    std::map<std::string, UrgentCounts> urgentCounts_;
    RunCounts runCounts_;
    std::map<std::string, OpenRun> openRuns_;  // by run id
    std::set<std::string> beingPolled_;
    std::size_t pendingCalls_ = 0;  // calls without an outcome
    std::int64_t startMs_ = 0;
    std::int64_t sendDurationMs_ = 0;
    std::int64_t pollDurationMs_ = 0;
};

}  // namespace poplarstream::standins
