#pragma once

#include <fstream>  // for ofstream
#include <list>  // for list
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include <nlohmann/json_fwd.hpp>  // for json

#include "platform/host_list.hpp"  // for HostList
#include "platform/log_store.hpp"  // for LogStore
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer, HttpRequest, HttpRespond
#include "poplarstream/base/random.hpp"  // for Random

namespace poplarstream::standins {

struct PlatformOptions
{
    HttpEndpoint listen;
    std::size_t retention = 0;
    std::int64_t hostLagMs = 0;
    double appendsPerSecond = 0;  // 0 for no limit
    std::uint64_t seed = 1;
    std::string historyFile;  // each append as a JSON line, if not empty
};

// The log service and host list. Its faults are set through control().
class Platform
{
public:
    Platform(boost::asio::io_context &io, const PlatformOptions &options);

    // Answers requests to the control endpoint: GET tells the state, POST changes it. Fields of a
    // POST, all optional: "away" ("no", "refuse", "silent", "error"), "slow_ms", "lose_answers"
    // (probability that an append takes effect and is not answered), "seed", "retention",
    // "clock_jump_ms", "host_lag_ms", "hosts" (list of {"host","state"}).
    HttpResponse control(const HttpRequest &request);

    // Sets a host's state on the list, visible after the lag.
    void changeHost(const std::string &host, const std::string &state);

    std::uint16_t port() const { return options_.listen.port; }

    void shutdown();

private:
    struct Waiter
    {
        std::uint64_t number;
        std::string stream;
        std::uint64_t from;
        std::size_t limit;
        HttpRespond respond;
    };

    void open();
    void handle(const HttpRequest &request, HttpRespond respond);
    void append(const std::string &stream, const HttpRequest &request, const HttpRespond &respond);
    void read(const std::string &stream, const HttpRequest &request, HttpRespond respond);
    void wake(const std::string &stream);
    void answerLater(HttpRespond respond, HttpResponse response, std::int64_t extraUs);
    std::int64_t claimAppendSlot();
    void applyFaults(const nlohmann::json &fields);
    void setAway(const std::string &mode);

    boost::asio::io_context &io_;
    PlatformOptions options_;
    std::optional<HttpServer> server_;
    LogStore log_;
    HostList hosts_;
    Random random_;
    std::list<Waiter> waiters_;
    std::vector<HttpRespond> unanswered_;  // kept, so that their connections stay silent
    std::ofstream history_;
    std::string away_ = "no";
    std::int64_t slowMs_ = 0;
    std::int64_t clockJumpMs_ = 0;
    std::int64_t appendFreeAtUs_ = 0;
    double loseAnswers_ = 0;
    std::uint64_t lostAnswers_ = 0;
    std::uint64_t appends_ = 0;
    std::uint64_t lastWaiter_ = 0;
};

}  // namespace poplarstream::standins
