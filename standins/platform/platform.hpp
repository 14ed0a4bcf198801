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
    std::string historyFile;  // receives each append as a JSON line, if not empty
};

// The log service and the host list. Faults are injected through handleControl().
class Platform
{
public:
    Platform(boost::asio::io_context &io, const PlatformOptions &options);

    // Handles requests to the control endpoint: GET returns the state, POST changes it. Fields of a
    // POST, all optional: "away" ("no", "refuse", "silent", "error"), "slow_ms", "lose_answers"
    // (probability that an append takes effect but gets no response), "seed", "retention",
    // "clock_jump_ms", "host_lag_ms", "hosts" (list of {"host","state"}).
    HttpResponse handleControl(const HttpRequest &request);

    // Sets the state of a host in the list, visible after the lag.
    void changeHost(const std::string &host, const std::string &state);

    std::uint16_t port() const { return options_.listen.port; }

    void shutdown();

private:
    struct WaitingRead
    {
        std::uint64_t number;
        std::string stream;
        std::uint64_t from;
        std::size_t limit;
        HttpRespond respond;
    };

    void openServer();
    void handle(const HttpRequest &request, HttpRespond respond);
    void append(const std::string &stream, const HttpRequest &request, const HttpRespond &respond);
    void read(const std::string &stream, const HttpRequest &request, HttpRespond respond);
    void respondToWaitingReads(const std::string &stream);
    void respondLater(HttpRespond respond, HttpResponse response, std::int64_t extraUs);
    std::int64_t claimAppendSlot();
    void applyFaults(const nlohmann::json &fields);
    void setAway(const std::string &mode);

    boost::asio::io_context &io_;
    PlatformOptions options_;
    std::optional<HttpServer> server_;
    LogStore log_;
    HostList hosts_;
    Random random_;
    std::list<WaitingRead> waitingReads_;
    std::vector<HttpRespond> unanswered_;  // never called; keeps the connections open
    std::ofstream history_;
    std::string awayMode_ = "no";
    std::int64_t slowMs_ = 0;
    std::int64_t clockJumpMs_ = 0;
    std::int64_t nextAppendAtUs_ = 0;
    double loseResponseProbability_ = 0;
    std::uint64_t lostResponses_ = 0;
    std::uint64_t appends_ = 0;
    std::uint64_t lastReadNumber_ = 0;
};

}  // namespace poplarstream::standins
