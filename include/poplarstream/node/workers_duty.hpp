#pragma once

#include <cstdint>  // for uint64_t
#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for shared_ptr
#include <optional>  // for optional
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/base/id.hpp"  // for HostId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/maintenance/wave_step.hpp"  // for HostCommand
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread
#include "poplarstream/runs/worker_command.hpp"  // for WorkerCommand, TaskObservation
#include "poplarstream/runs/worker_view.hpp"  // for UsageReport

namespace poplarstream {

// Network addresses of a host.
struct HostAddresses
{
    HttpEndpoint worker;
    std::vector<HttpEndpoint> minions;

    friend bool operator==(const HostAddresses &, const HostAddresses &) = default;
};

using HostDirectory = std::map<HostId, HostAddresses>;

// A command with the ProcessClock time after which it must not be sent.
struct TimedWorkerCommand
{
    std::variant<WorkerCommand, maintenance::HostCommand> command;
    TimePoint validUntil;
};

enum class WorkerMode { InService, Draining, Drained };

// Result of one poll of a worker's task list. If `hasResponded` is false, the fields taken from the
// response are empty. `grant` belongs to the newest drain, reboot or undrain command that the
// worker has executed, `rebootedFor` to its last reboot; the worker keeps both across reboots.
// `areMinionsHealthy` is only set if the poll included the minions.
struct WorkerStatus
{
    HostId host;
    Offset pollGrant = 0;  // grant of the poll
    bool hasResponded = false;
    std::uint64_t boot = 0;
    Offset grant = 0;
    Offset rebootedFor = 0;
    std::optional<Offset> undrained;  // grant of the last undrain since the boot
    WorkerMode mode = WorkerMode::InService;
    std::optional<UsageReport> usage;
    std::vector<TaskObservation> tasks;
    std::optional<bool> areMinionsHealthy;
    std::string fault;  // why there was no response
};

using WorkerEvent = std::variant<TaskObservation, WorkerStatus>;

// One poll. `withMinions` also probes every minion of the host. `grant` is that of the host's
// current absence, or 0.
struct WorkerPoll
{
    HostId host;
    bool withMinions = false;
    Offset grant = 0;
};

// Calls the worker agents. It makes no decisions: it sends commands while they are valid, performs
// the requested polls and reports the responses. All functions may be called from any thread;
// `report` is called on the thread of this class.
class WorkersDuty
{
public:
    WorkersDuty(DutyThread &thread, std::function<void(WorkerEvent)> report);
    ~WorkersDuty();
    WorkersDuty(const WorkersDuty &) = delete;
    WorkersDuty &operator=(const WorkersDuty &) = delete;

    // Replaces the addresses and closes the connections of hosts that were removed or have changed.
    void setDirectory(std::shared_ptr<const HostDirectory> directory);

    void send(std::vector<TimedWorkerCommand> commands);
    void poll(std::vector<WorkerPoll> polls);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
