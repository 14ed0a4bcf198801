#include "poplarstream/node/workers_duty.hpp"

#include <string_view>  // for string_view

#include "poplarstream/adapters/http_client.hpp"  // for HttpClient
#include "poplarstream/adapters/worker_protocol.hpp"  // for requestOf, taskListFromJson
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock
#include "worker_channel.hpp"  // for WorkerChannel

namespace poplarstream {

namespace {

using maintenance::CommandKind;
using maintenance::HostCommand;

constexpr Milliseconds callDeadline{2'000};

// The deadline of a command comes from the ProcessClock of another thread. Two such clocks differ
// by less than this, because each rounds its start and the elapsed time down to whole milliseconds.
constexpr Milliseconds clockSkew{2};

// The calls to one host. Polls and commands have separate connections, so that a slow task list
// does not delay a command.
struct HostCalls
{
    HostCalls(boost::asio::io_context &io, HostAddresses hostAddresses)
        : addresses(std::move(hostAddresses))
        , commands(io, addresses.worker, callDeadline)
        , polls(io, addresses.worker, callDeadline)
    {}

    HostAddresses addresses;
    WorkerChannel commands;
    WorkerChannel polls;
    TaskListCursor cursor;
    std::optional<UsageReport> usage;  // of the last response in this boot
    bool isPolling = false;
    bool includesMinions = false;  // whether the poll in progress probes minions
    bool needsMinionPoll = false;  // requested during a poll without minions
};

// A poll in progress: the number of outstanding responses and the results so far.
struct PollProgress
{
    std::weak_ptr<HostCalls> calls;
    WorkerStatus status;
    std::size_t pendingParts = 0;
    bool areMinionsHealthy = true;
    bool withMinions = false;
};

std::string_view pathOf(CommandKind kind)
{
    switch (kind) {
    case CommandKind::Drain:
        return "/drain";
    case CommandKind::Reboot:
        return "/reboot";
    case CommandKind::Undrain:
        return "/undrain";
    case CommandKind::Probe:
        break;
    }
    return "/health";
}

std::string describe(const HttpOutcome &outcome)
{
    return outcome.delivery == HttpDelivery::Answered
                   ? "status " + std::to_string(outcome.response.status)
                   : std::string(httpErrorText(outcome.error));
}

bool isOk(const HttpOutcome &outcome)
{
    return outcome.delivery == HttpDelivery::Answered && outcome.response.status == 200;
}

// Keeps the time of a measurement that a second poll reports again. The time is computed from the
// time of the poll, so it varies with the delay of the call and the repeated report would look like
// a new measurement. The growth between the two would then always be zero.
void keepMeasurementTime(const HostCalls &calls, TaskList &list)
{
    if (calls.usage && list.usage && calls.cursor.boot == list.cursor.boot
        && calls.usage->total == list.usage->total
        && std::chrono::abs(list.usage->at - calls.usage->at) <= callDeadline) {
        list.usage->at = calls.usage->at;
    }
}

void fillStatus(WorkerStatus &status, TaskList list)
{
    status.hasResponded = true;
    status.boot = list.cursor.boot;
    status.grant = list.grant;
    status.rebootedFor = list.rebootedFor;
    status.undrained = list.undrained;
    status.mode = list.isDrained    ? WorkerMode::Drained
                  : list.isDraining ? WorkerMode::Draining
                                    : WorkerMode::InService;
    status.usage = std::move(list.usage);
    status.tasks = std::move(list.tasks);
}

}  // namespace

struct WorkersDuty::State : std::enable_shared_from_this<WorkersDuty::State>
{
    State(DutyThread &dutyThread, std::function<void(WorkerEvent)> onEvent)
        : thread(dutyThread)
        , minions(dutyThread.context(), {.connectionsPerEndpoint = 1})
        , report(std::move(onEvent))
    {}

    void setDirectory(std::shared_ptr<const HostDirectory> newDirectory)
    {
        directory = std::move(newDirectory);
        std::erase_if(hosts, [this](const auto &entry) {
            const auto place = directory->find(entry.first);
            return place == directory->end() || place->second != entry.second->addresses;
        });
    }

    bool isValid(TimePoint until) const { return clock.now() + clockSkew <= until; }

    // Returns null for an unknown host.
    std::shared_ptr<HostCalls> callsOf(const HostId &host)
    {
        if (const auto place = hosts.find(host); place != hosts.end()) {
            return place->second;
        }
        const auto place = directory ? directory->find(host) : HostDirectory::const_iterator{};
        if (!directory || place == directory->end()) {
            return nullptr;
        }
        return hosts[host] = std::make_shared<HostCalls>(thread.context(), place->second);
    }

    void send(const TimedWorkerCommand &timed)
    {
        if (const auto *const command = std::get_if<HostCommand>(&timed.command)) {
            if (command->kind == CommandKind::Probe) {
                poll({command->host, true});
                return;
            }
            call(command->host, grantRequest(pathOf(command->kind), command->grant),
                 timed.validUntil, [](State &, const HttpOutcome &) {});
            return;
        }
        const auto &command = std::get<WorkerCommand>(timed.command);
        call(workerOf(command), requestOf(command), timed.validUntil,
             [command](State &self, const HttpOutcome &outcome) {
                 if (auto observation = observationOf(command, outcome)) {
                     self.report(std::move(*observation));
                 }
             });
    }

    template <class Done>
    void call(const HostId &host, HttpRequest request, TimePoint validUntil, Done done)
    {
        const auto calls = callsOf(host);
        if (!calls || !isValid(validUntil)) {
            return;
        }
        calls->commands.call({std::move(request),
                              [weak = weak_from_this(), validUntil] {
                                  const auto self = weak.lock();
                                  return self && self->isValid(validUntil);
                              },
                              [weak = weak_from_this(), done](const HttpOutcome &outcome) {
                                  if (const auto self = weak.lock()) {
                                      done(*self, outcome);
                                  }
                              }});
    }

    void poll(const WorkerPoll &request)
    {
        const auto calls = callsOf(request.host);
        if (!calls) {
            WorkerStatus status;
            status.host = request.host;
            status.fault = "the host is not configured";
            report(std::move(status));
            return;
        }
        if (calls->isPolling) {
            calls->needsMinionPoll |= request.withMinions && !calls->includesMinions;
            return;
        }
        calls->isPolling = true;
        calls->includesMinions = request.withMinions;
        const auto progress = std::make_shared<PollProgress>();
        progress->calls = calls;
        progress->status.host = request.host;
        progress->status.pollGrant = request.grant;
        progress->withMinions = request.withMinions;
        progress->pendingParts = 1 + (request.withMinions ? calls->addresses.minions.size() : 0);
        requestTaskList(*calls, progress);
        if (request.withMinions) {
            for (const HttpEndpoint &minion : calls->addresses.minions) {
                probeMinion(minion, progress);
            }
        }
    }

    void requestTaskList(HostCalls &calls, const std::shared_ptr<PollProgress> &progress)
    {
        // The age of the usage counts from when the request is sent, not from when it is queued.
        const auto sentAt = std::make_shared<TimePoint>(clock.now());
        calls.polls.call({taskListRequest(calls.cursor),
                          [weak = weak_from_this(), sentAt] {
                              const auto self = weak.lock();
                              if (self) {
                                  *sentAt = self->clock.now();
                              }
                              return self != nullptr;
                          },
                          [weak = weak_from_this(), sentAt, progress](const HttpOutcome &outcome) {
                              if (const auto self = weak.lock()) {
                                  self->onTaskList(*progress, outcome, *sentAt);
                              }
                          }});
    }

    void onTaskList(PollProgress &progress, const HttpOutcome &outcome, TimePoint sentAt)
    {
        WorkerStatus &status = progress.status;
        if (isOk(outcome)) {
            auto list = taskListFromJson(status.host, outcome.response.body, sentAt);
            if (list) {
                if (const auto calls = progress.calls.lock()) {
                    keepMeasurementTime(*calls, list.value());
                    calls->cursor = list.value().cursor;
                    calls->usage = list.value().usage;
                }
                fillStatus(status, std::move(list).value());
            } else {
                status.fault = list.failure().message;
            }
        } else {
            status.fault = describe(outcome);
        }
        completePart(progress);
    }

    void probeMinion(const HttpEndpoint &minion, const std::shared_ptr<PollProgress> &progress)
    {
        minions.send(minion, {"GET", "/health", {}, {}, {}}, {callDeadline, {}},
                     [weak = weak_from_this(), minion, progress](const HttpOutcome &outcome) {
                         const auto self = weak.lock();
                         if (!self) {
                             return;
                         }
                         // Minions accept few connections, which are needed for requests.
                         self->minions.retire(minion);
                         progress->areMinionsHealthy &= isOk(outcome);
                         self->completePart(*progress);
                     });
    }

    void completePart(PollProgress &progress)
    {
        if (--progress.pendingParts > 0) {
            return;
        }
        if (progress.withMinions && progress.status.hasResponded) {
            progress.status.areMinionsHealthy = progress.areMinionsHealthy;
        }
        const auto calls = progress.calls.lock();
        if (!calls) {
            return;  // the host was removed or its addresses have changed
        }
        calls->isPolling = false;
        const HostId host = progress.status.host;
        if (std::exchange(calls->needsMinionPoll, false)) {
            poll({host, true, progress.status.pollGrant});
        }
        report(std::move(progress.status));
    }

    DutyThread &thread;
    ProcessClock clock;
    HttpClient minions;
    std::function<void(WorkerEvent)> report;
    std::shared_ptr<const HostDirectory> directory;
    std::map<HostId, std::shared_ptr<HostCalls>> hosts;
};

WorkersDuty::WorkersDuty(DutyThread &thread, std::function<void(WorkerEvent)> report)
    : state_(std::make_shared<State>(thread, std::move(report)))
{}

WorkersDuty::~WorkersDuty() = default;

void WorkersDuty::setDirectory(std::shared_ptr<const HostDirectory> directory)
{
    state_->thread.post([state = state_, directory = std::move(directory)]() mutable {
        state->setDirectory(std::move(directory));
    });
}

void WorkersDuty::send(std::vector<TimedWorkerCommand> commands)
{
    state_->thread.post([state = state_, commands = std::move(commands)] {
        for (const TimedWorkerCommand &timed : commands) {
            state->send(timed);
        }
    });
}

void WorkersDuty::poll(std::vector<WorkerPoll> polls)
{
    state_->thread.post([state = state_, polls = std::move(polls)] {
        for (const WorkerPoll &request : polls) {
            state->poll(request);
        }
    });
}

}  // namespace poplarstream
