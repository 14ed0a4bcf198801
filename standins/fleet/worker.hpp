#pragma once

#include <cstdint>  // for int64_t, uint64_t
#include <map>  // for map
#include <optional>  // for optional
#include <set>  // for set
#include <string>  // for string
#include <vector>  // for vector

#include <nlohmann/json_fwd.hpp>  // for json

#include "fleet/work.hpp"  // for Fault, FleetContext, Work
#include "poplarstream/adapters/http_server.hpp"  // for HttpServer, HttpRequest, HttpRespond
#include "poplarstream/adapters/worker_client.hpp"  // for TaskState, FencingToken

namespace poplarstream::standins {

struct WorkerOptions
{
    std::string name;
    HttpEndpoint endpoint;
    double cpus = 0;
    double memoryMb = 0;
};

// What the host does at the worker's request.
struct WorkerEvents
{
    std::function<void()> drain;
    std::function<void()> resume;
    std::function<void()> reboot;
};

// A worker agent: runs tasks under leases and obeys the token rules. The newest token of a run
// wins; a lower or revoked one is answered with 409.
class Worker
{
public:
    Worker(boost::asio::io_context &io, FleetContext &context, const WorkerOptions &options,
           WorkerEvents events);

    void open();
    // Drops the listener and connections; running tasks are lost. The fences survive, as on a disk.
    void close();
    void setDraining(bool isDraining) { isDraining_ = isDraining; }
    void setFault(Fault fault, double factor);

    // Lets `elapsedMs` of work pass: tasks progress, finish, or stop when their lease has lapsed.
    void tick(std::int64_t nowMs, std::int64_t elapsedMs);

    bool isOpen() const { return server_.has_value(); }
    std::size_t runningTasks() const;
    const WorkerOptions &options() const { return options_; }

private:
    struct Task
    {
        FencingToken token;
        std::string service;
        Work work;
        double remainingMs = 0;
        double declaredCpus = 0;
        double declaredMemoryMb = 0;
        std::int64_t startedMs = 0;  // steady clock
        std::int64_t leaseUntilMs = 0;  // steady clock
        TaskState state = TaskState::Running;
        std::string result;

        bool isActive() const
        {
            return state == TaskState::Running || state == TaskState::Throttled;
        }
    };

    // All that the worker knows of one run.
    struct Run
    {
        FencingToken newest;
        std::optional<FencingToken> revoked;
        std::set<FencingToken> started;
        std::optional<Task> task;
    };

    void handle(const HttpRequest &request, HttpRespond respond);
    HttpResponse route(const std::string &method, const std::string &path,
                       const nlohmann::json &body);
    HttpResponse start(const nlohmann::json &body);
    HttpResponse renew(const nlohmann::json &body);
    HttpResponse revoke(const nlohmann::json &body);
    HttpResponse act(const std::string &action, const nlohmann::json &body);
    HttpResponse list() const;
    HttpResponse health() const;
    Task *activeTask(const nlohmann::json &body);
    void end(const std::string &run, Task &task, TaskState state);
    void note(const std::string &event, const std::string &run, const Task &task);
    void noteOverfull();

    boost::asio::io_context &io_;
    FleetContext &context_;
    WorkerOptions options_;
    WorkerEvents events_;
    std::optional<HttpServer> server_;
    std::vector<HttpRespond> unanswered_;
    std::map<std::string, Run> runs_;
    Fault fault_ = Fault::None;
    double factor_ = 1;
    bool isDraining_ = false;
    bool isOverfull_ = false;
};

}  // namespace poplarstream::standins
