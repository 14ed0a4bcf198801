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

// Where a host can be reached.
struct HostAddresses
{
    HttpEndpoint worker;
    std::vector<HttpEndpoint> minions;

    friend bool operator==(const HostAddresses &, const HostAddresses &) = default;
};

using HostDirectory = std::map<HostId, HostAddresses>;

// A command with the time after which it must not be sent any more, by ProcessClock.
struct TimedWorkerCommand
{
    std::variant<WorkerCommand, maintenance::HostCommand> command;
    TimePoint validUntil;
};

enum class WorkerMode { InService, Draining, Drained };

// What one poll of a worker's task list told. `hasResponded` is false when there was no answer; the
// other fields are then empty. `grant` is that of the newest drain, reboot or undrain command that
// the worker has obeyed, and `rebootedFor` that of its last reboot; the worker keeps both over a
// reboot. `areMinionsHealthy` is only set when the poll asked the minions too.
struct WorkerStatus
{
    HostId host;
    Offset askedUnder = 0;  // the grant of the poll
    bool hasResponded = false;
    std::uint64_t boot = 0;
    Offset grant = 0;
    Offset rebootedFor = 0;
    std::optional<Offset> undrained;  // grant of the last undrain since the boot
    WorkerMode mode = WorkerMode::InService;
    std::optional<UsageReport> usage;
    std::vector<TaskObservation> tasks;
    std::optional<bool> areMinionsHealthy;
    std::string fault;  // why there was no answer
};

using WorkerEvent = std::variant<TaskObservation, WorkerStatus>;

// One poll. With `withMinions`, every minion of the host is probed as well. `grant` is that of the
// host's present absence, or 0.
struct WorkerPoll
{
    HostId host;
    bool withMinions = false;
    Offset grant = 0;
};

// The duty that calls worker agents. It decides nothing: it sends commands while they are valid,
// polls what it is told to poll, and reports the answers. Its functions may be called from any
// thread; `report` is called on the duty's thread.
class WorkersDuty
{
public:
    WorkersDuty(DutyThread &thread, std::function<void(WorkerEvent)> report);
    ~WorkersDuty();
    WorkersDuty(const WorkersDuty &) = delete;
    WorkersDuty &operator=(const WorkersDuty &) = delete;

    // Replaces the addresses; connections of hosts that are gone are closed.
    void setDirectory(std::shared_ptr<const HostDirectory> directory);

    void send(std::vector<TimedWorkerCommand> orders);
    void poll(std::vector<WorkerPoll> polls);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
