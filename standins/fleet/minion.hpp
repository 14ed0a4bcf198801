#pragma once

#include <cstdint>  // for int64_t
#include <deque>  // for deque
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include <nlohmann/json_fwd.hpp>  // for json

#include "fleet/work.hpp"  // for Fault, FleetContext
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer, HttpRequest, HttpRespond

namespace poplarstream::standins {

struct MinionOptions
{
    std::string name;
    HttpEndpoint endpoint;
    std::size_t slots = 8;
    std::size_t queue = 8;  // capacity for requests that wait for a slot
};

// An endpoint that serves urgent requests, at most `slots` at a time.
class Minion
{
public:
    Minion(boost::asio::io_context &io, FleetContext &context, const MinionOptions &options);

    void open();
    // Closes the listener and the connections, and drops all work in progress.
    void close();
    void setLeaving(bool isLeaving);
    void setFault(Fault fault, double factor);

    bool isOpen() const { return server_.has_value(); }
    std::size_t busy() const { return busy_; }
    bool isIdle() const { return busy_ == 0 && queue_.empty(); }
    const MinionOptions &options() const { return options_; }

private:
    struct PendingRequest
    {
        std::string id;
        std::string service;
        Work work;
        HttpRespond respond;
    };

    void handle(const HttpRequest &request, HttpRespond respond);
    bool isSilentFor(const std::string &remote) const;
    void startNext();
    nlohmann::json historyLine(const std::string &kind, const std::string &request,
                               const std::string &nonce) const;
    void recordCutRequest(const std::string &request, const std::string &nonce, bool isStarted);
    void finish(const PendingRequest &pending, const Work &work, std::int64_t startedMs);
    HttpResponse makeResponse(unsigned status, const std::string &body,
                              const std::string &request) const;

    boost::asio::io_context &io_;
    FleetContext &context_;
    MinionOptions options_;
    std::optional<HttpServer> server_;
    std::deque<PendingRequest> queue_;
    std::map<std::string, std::string> runningNonces_;  // by request id
    std::vector<HttpRespond> unanswered_;  // never called; keeps the connections open
    std::set<std::string> remotes_;  // peers seen since the listener was opened
    std::set<std::string> silentRemotes_;
    Fault fault_ = Fault::None;
    double factor_ = 1;
    std::size_t busy_ = 0;
    std::uint64_t generation_ = 0;  // incremented by close(); work of an earlier one is dropped
    std::int64_t leavingSinceMs_ = 0;  // 0 while not leaving
};

}  // namespace poplarstream::standins
