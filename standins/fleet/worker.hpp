#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string
#include <vector>  // for vector

#include <nlohmann/json_fwd.hpp>  // for json

#include "fleet/task_table.hpp"  // for TaskTable
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

// Calls from the worker to its host.
struct WorkerCallbacks
{
    std::function<void(bool isDraining)> setDraining;
    std::function<void(Offset grant)> reboot;
    std::function<bool()> areMinionsIdle;
};

// A worker agent: runs tasks under leases and enforces fencing tokens and grants.
class Worker
{
public:
    Worker(boost::asio::io_context &io, FleetContext &context, const WorkerOptions &options,
           WorkerCallbacks callbacks);

    // Boots the worker: opens the listener with a new boot number, in service.
    void open();
    // Closes the listener and the connections and drops all tasks. The newest grant and the grant
    // of the last reboot survive, as if stored on disk.
    void close();
    void recordReboot(Offset grant)
    {
        lastRebootGrant_ = grant;
        lastUndrainGrant_.reset();
    }
    void setFault(Fault fault, double factor);

    void tick(std::int64_t nowMs, std::int64_t elapsedMs);

    bool isOpen() const { return server_.has_value(); }
    bool isDraining() const { return isDraining_; }
    bool isDrained() const;
    std::size_t runningTasks() const { return taskTable_.runningTasks(); }

private:
    void handle(const HttpRequest &request, HttpRespond respond);
    HttpResponse route(const HttpRequest &request);
    HttpResponse start(const nlohmann::json &body);
    HttpResponse renew(const nlohmann::json &body);
    HttpResponse revoke(const nlohmann::json &body);
    HttpResponse controlTask(const std::string &action, const nlohmann::json &body);
    HttpResponse executeHostCommand(const std::string &command, Offset grant);
    HttpResponse list(const std::string &target) const;
    HttpResponse taskResponse(const Task &task, unsigned status) const;
    nlohmann::json taskJson(const Task &task) const;
    void setDraining(bool isDraining);
    void recordOverfull();

    boost::asio::io_context &io_;
    FleetContext &context_;
    WorkerOptions options_;
    WorkerCallbacks callbacks_;
    TaskTable taskTable_;
    std::optional<HttpServer> server_;
    std::vector<HttpRespond> unanswered_;  // never called; keeps the connections open
    std::uint64_t bootNumber_ = 0;
    Offset newestGrant_ = 0;
    Offset lastRebootGrant_ = 0;
    std::optional<Offset> lastUndrainGrant_;  // cleared by recordReboot()
    Fault fault_ = Fault::None;
    double factor_ = 1;
    bool isDraining_ = false;
    bool isOverfull_ = false;
};

}  // namespace poplarstream::standins
