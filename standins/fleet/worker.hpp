#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include <nlohmann/json_fwd.hpp>  // for json

#include "fleet/task_book.hpp"  // for TaskBook
#include "fleet/work.hpp"  // for Fault, FleetContext
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer, HttpRequest, HttpRespond
#include "poplarstream/records/record.hpp"  // for Offset

namespace poplarstream::standins {

struct WorkerOptions
{
    std::string name;
    HttpEndpoint endpoint;
    double memoryMb = 0;
};

// What the worker asks of its host.
struct WorkerEvents
{
    std::function<void(bool isDraining)> setDraining;
    std::function<void(Offset grant)> reboot;
    std::function<bool()> areMinionsIdle;
};

// A worker agent: runs tasks under leases and obeys the rules of tokens and grants.
class Worker
{
public:
    Worker(boost::asio::io_context &io, FleetContext &context, const WorkerOptions &options,
           WorkerEvents events);

    // Boots: opens the listener under a new boot number, in service.
    void open();
    // Drops the listener, the connections and all that is known of tasks. The newest grant and that
    // of the last reboot survive, as on a disk.
    void close();
    void noteReboot(Offset grant)
    {
        rebootedFor_ = grant;
        undrained_.reset();
    }
    void setFault(Fault fault, double factor);

    void tick(std::int64_t nowMs, std::int64_t elapsedMs);

    bool isOpen() const { return server_.has_value(); }
    bool isDraining() const { return isDraining_; }
    bool isDrained() const;
    std::size_t runningTasks() const { return book_.runningTasks(); }

private:
    void handle(const HttpRequest &request, HttpRespond respond);
    HttpResponse route(const HttpRequest &request);
    HttpResponse start(const nlohmann::json &body);
    HttpResponse renew(const nlohmann::json &body);
    HttpResponse revoke(const nlohmann::json &body);
    HttpResponse act(const std::string &action, const nlohmann::json &body);
    HttpResponse obey(const std::string &command, Offset grant);
    HttpResponse list(const std::string &target) const;
    HttpResponse stateOf(const Task &task, unsigned status) const;
    nlohmann::json describe(const Task &task) const;
    void setDraining(bool isDraining);
    void noteOverfull();

    boost::asio::io_context &io_;
    FleetContext &context_;
    WorkerOptions options_;
    WorkerEvents events_;
    TaskBook book_;
    std::optional<HttpServer> server_;
    std::vector<HttpRespond> unanswered_;  // kept, so that their connections stay silent
    std::uint64_t boot_ = 0;
    Offset grant_ = 0;
    Offset rebootedFor_ = 0;
    std::optional<Offset> undrained_;  // grant of the last undrain since the boot
    Fault fault_ = Fault::None;
    double factor_ = 1;
    bool isDraining_ = false;
    bool isOverfull_ = false;
};

}  // namespace poplarstream::standins
