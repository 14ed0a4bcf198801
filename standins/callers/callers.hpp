#pragma once

#include <map>  // for map
#include <memory>  // for shared_ptr
#include <set>  // for set
#include <string>  // for string

#include <nlohmann/json_fwd.hpp>  // for json

#include "callers/entry_list.hpp"  // for EntryList
#include "callers/load.hpp"  // for Load, Order
#include "common/json_lines.hpp"  // for JsonLines
#include "poplarstream/adapters/http_client.hpp"  // for HttpClient, HttpOutcome

namespace poplarstream::standins {

// What became of the requests of one service.
struct Tally
{
    std::uint64_t sent = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;  // verdict not-run
    std::uint64_t failed = 0;  // any other answer
    std::uint64_t unanswered = 0;
    std::uint64_t wrongAnswers = 0;  // the answer to another request
};

struct RunTally
{
    std::uint64_t submitted = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;  // no answer after all attempts
    std::map<std::string, std::uint64_t> ended;  // by final state
};

// Sends the orders of a load, and follows the accepted runs until they have ended.
class Callers
{
public:
    Callers(boost::asio::io_context &io, HttpClient &client, EntryList &entries, Load load,
            const std::string &historyFile);

    // Sends for `sendMs`, then polls runs for at most `pollMs` more, then calls `finished`.
    void start(std::int64_t sendMs, std::int64_t pollMs, std::function<void()> finished);

    nlohmann::json summary() const;

private:
    struct Attempt
    {
        Order order;
        std::int64_t sentMs = 0;  // system clock
        std::int64_t startedMs = 0;  // steady clock
        int tries = 0;
        HttpEndpoint entry;
    };
    struct OpenRun
    {
        Order order;
        std::int64_t acceptedMs = 0;
    };

    void tick();
    void send(const std::shared_ptr<Attempt> &attempt);
    void onAnswer(const std::shared_ptr<Attempt> &attempt, const HttpOutcome &outcome);
    bool shouldTryAgain(const Attempt &attempt, const HttpOutcome &outcome) const;
    void countUrgent(const Attempt &attempt, const HttpOutcome &outcome, std::int64_t elapsedMs);
    void countRun(const Attempt &attempt, const HttpOutcome &outcome);
    void poll();
    void onPolled(const std::string &run, const HttpOutcome &outcome);
    void finishIfDone();

    boost::asio::io_context &io_;
    HttpClient &client_;
    EntryList &entries_;
    Load load_;
    JsonLines history_;
    std::function<void()> finished_;
    std::map<std::string, Tally> urgent_;
    RunTally runs_;
    std::map<std::string, OpenRun> open_;  // by run id
    std::set<std::string> beingPolled_;
    std::size_t pending_ = 0;  // requests without an outcome
    std::int64_t startMs_ = 0;
    std::int64_t sendMs_ = 0;
    std::int64_t pollMs_ = 0;
};

}  // namespace poplarstream::standins
