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
    std::size_t queue = 8;  // requests that wait for a slot
};

// One endpoint that answers urgent requests, at most `slots` at a time.
class Minion
{
public:
    Minion(boost::asio::io_context &io, FleetContext &context, const MinionOptions &options);

    void open();
    // Drops the listener, the connections and all work in progress.
    void close();
    void setLeaving(bool isLeaving);
    void setFault(Fault fault, double factor);

    bool isOpen() const { return server_.has_value(); }
    std::size_t busy() const { return busy_; }
    bool isIdle() const { return busy_ == 0 && waiting_.empty(); }
    const MinionOptions &options() const { return options_; }

private:
    struct Job
    {
        std::string request;
        std::string service;
        Work work;
        HttpRespond respond;
    };

    void handle(const HttpRequest &request, HttpRespond respond);
    bool isSilentFor(const std::string &remote) const;
    void startNext();
    nlohmann::json historyOf(const std::string &kind, const std::string &request,
                             const std::string &nonce) const;
    void noteCut(const std::string &request, const std::string &nonce, bool isStarted);
    void finish(const Job &job, const Work &work, std::int64_t startedMs);
    HttpResponse answer(unsigned status, const std::string &body, const std::string &request) const;

    boost::asio::io_context &io_;
    FleetContext &context_;
    MinionOptions options_;
    std::optional<HttpServer> server_;
    std::deque<Job> waiting_;
    std::map<std::string, std::string> started_;  // nonces of the work in progress, by request
    std::vector<HttpRespond> unanswered_;  // kept, so that their connections stay silent
    std::set<std::string> remotes_;  // seen since the listener was opened
    std::set<std::string> silentRemotes_;
    Fault fault_ = Fault::None;
    double factor_ = 1;
    std::size_t busy_ = 0;
    std::uint64_t generation_ = 0;  // work of an earlier generation was lost in close()
    std::int64_t leavingSinceMs_ = 0;  // 0 while not leaving
};

}  // namespace poplarstream::standins
