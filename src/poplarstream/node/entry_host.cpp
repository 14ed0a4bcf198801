#include "poplarstream/node/entry_host.hpp"

#include <condition_variable>  // for condition_variable
#include <mutex>  // for mutex

#include <fmt/format.h>  // for format

#include "poplarstream/node/callers_duty.hpp"  // for CallersDuty
#include "poplarstream/node/control_duty.hpp"  // for ControlDuty
#include "poplarstream/node/demand_probe.hpp"  // for DemandProbe
#include "poplarstream/node/incarnation.hpp"  // for newIncarnation, peerIncarnation
#include "poplarstream/node/mailbox.hpp"  // for Mailbox
#include "poplarstream/node/operators_duty.hpp"  // for OperatorsDuty
#include "poplarstream/node/peers_duty.hpp"  // for PeersDuty
#include "poplarstream/node/platform_duty.hpp"  // for PlatformDuty
#include "poplarstream/node/process_clock.hpp"  // for ProcessClock
#include "poplarstream/node/workers_duty.hpp"  // for WorkersDuty
#include "poplarstream/telemetry/event.hpp"  // for logEvent
#include "poplarstream/telemetry/event_kinds.hpp"  // for entryHostStarting

namespace poplarstream {

namespace {

// The control mailbox receives the inputs from all other duties; a page of records is one item.
constexpr std::size_t controlMailboxCapacity = 16'384;
constexpr std::size_t runMailboxCapacity = 8'192;
constexpr Milliseconds hostListPeriod{30'000};

HttpEndpoint endpointOf(Address address)
{
    return {ipText(address), address.port};
}

// A latch that one thread opens while another waits.
class Latch
{
public:
    void open()
    {
        const std::lock_guard lock(mutex_);
        isOpen_ = true;
        changed_.notify_all();
    }

    bool waitFor(Milliseconds time)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, time, [this] { return isOpen_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isOpen_ = false;
};

}  // namespace

struct EntryHost::Duties
{
    explicit Duties(const EntryHostOptions &options)
        : settings(options.settings)
        , incarnation(newIncarnation())
        , runMail(controlThread, "runs", runMailboxCapacity,
                  [this](RunCall &&call) { control.handle(std::move(call)); })
        , controlMail(controlThread, "control", controlMailboxCapacity,
                      [this](ControlInput &&input) { control.handle(std::move(input)); })
        , platform(platformThread, endpointOf(settings.platform),
                   [this](PlatformEvent &&event) { return handlePlatformEvent(std::move(event)); })
        , workers(workersThread, [this](WorkerEvent event) { sendToControl(std::move(event)); })
        , callers(callersThread, callersSettings(), runMail,
                  [this](MinionEvidence evidence) {
                      peers.recordMinionEvidence(std::move(evidence));
                  })
        , peers(peersThread, peersSettings(),
                [this](ControlInput &&input) { return controlMail.trySend(std::move(input)); })
        , control(controlThread,
                  {.self = settings.id,
                   .zone = settings.zone,
                   .incarnation = incarnation,
                   .wavePolicy = options.wavePolicy},
                  controlPorts())
        , operators(operatorsThread,
                    {.listen = endpointOf(settings.operators),
                     .tokens = options.operatorTokens,
                     .self = settings.id,
                     .wavePolicy = options.wavePolicy},
                    operatorsPorts())
        , demand(controlThread, callers,
                 [this](DemandReport report) { sendToControl(std::move(report)); })
    {}

    CallersSettings callersSettings() const
    {
        CallersSettings callersOptions{.listen = endpointOf(settings.callers),
                                       .incarnation = incarnation};
        callersOptions.limits.bodyBytes = settings.limits.bodyBytes;
        callersOptions.limits.connections = settings.limits.connections;
        callersOptions.maxQueued = settings.limits.queue;
        return callersOptions;
    }

    PeersSettings peersSettings() const
    {
        return {.self = settings.id,
                .zone = settings.zone,
                .incarnation = peerIncarnation(incarnation),
                .listen = settings.peersListen,
                .peers = settings.peers};
    }

    template <class Input>
    bool sendToControl(Input &&input)
    {
        return controlMail.trySend(ControlInput(std::forward<Input>(input)));
    }

    bool handlePlatformEvent(PlatformEvent &&event)
    {
        if (const auto *listed = std::get_if<HostsListed>(&event)) {
            peers.recordPlatformState(listed->hosts);
        }
        return sendToControl(std::move(event));
    }

    ControlPorts controlPorts()
    {
        return {
                .append =
                        [this](RecordId record, std::string stream, std::string text) {
                            platform.append(std::move(record), std::move(stream), std::move(text));
                        },
                .follow = [this](std::string stream,
                                 Offset from) { platform.follow(std::move(stream), from); },
                .sendCommands =
                        [this](std::vector<TimedWorkerCommand> orders) {
                            workers.send(std::move(orders));
                        },
                .poll = [this](std::vector<WorkerPoll> polls) { workers.poll(std::move(polls)); },
                .setDirectory =
                        [this](std::shared_ptr<const HostDirectory> directory) {
                            workers.setDirectory(std::move(directory));
                        },
                .publish =
                        [this](std::shared_ptr<const ServingView> view) {
                            demand.setView(view);
                            peers.setSubjects(view);
                            callers.publish(std::move(view));
                        },
                .forward =
                        [this](EntryHostId peer, RunCall call) {
                            peers.forward(std::move(peer), std::move(call));
                        },
                .requestState =
                        [this](std::string stream) { peers.requestState(std::move(stream)); },
                .notifyPeers =
                        [this](std::vector<ZoneId> lostZones, bool isLogReachable) {
                            peers.setLogState(std::move(lostZones), isLogReachable);
                        },
        };
    }

    OperatorsPorts operatorsPorts()
    {
        return {
                .query = [this](ControlQuery question) { return sendToControl(question); },
                .publish =
                        [this](ConfigPublication publication) {
                            return sendToControl(std::move(publication));
                        },
                .report =
                        [this](std::string request, std::function<void(CallersReport)> done) {
                            callers.report(std::move(request), std::move(done));
                        },
        };
    }

    std::optional<Failure> openListeners()
    {
        if (const auto port = callers.listen(); !port) {
            return Failure{port.failure().message, "callers"};
        }
        if (const auto port = operators.listen(); !port) {
            return Failure{port.failure().message, "operators"};
        }
        if (const auto address = peers.listen(); !address) {
            return Failure{address.failure().message, "peers"};
        }
        return std::nullopt;
    }

    void startThreads()
    {
        control.start();
        demand.start();
        platform.listHosts(hostListPeriod);
        for (DutyThread *thread : threads()) {
            thread->start();
        }
    }

    std::vector<DutyThread *> threads()
    {
        return {&callersThread, &platformThread, &controlThread,
                &workersThread, &peersThread,    &operatorsThread};
    }

    ProcessSettings settings;
    ProcessClock clock;
    std::uint64_t incarnation;
    DutyThread callersThread{"callers"};
    DutyThread platformThread{"platform"};
    DutyThread controlThread{"control"};
    DutyThread workersThread{"workers"};
    DutyThread peersThread{"peers"};
    DutyThread operatorsThread{"operators"};
    Mailbox<RunCall> runMail;
    Mailbox<ControlInput> controlMail;
    PlatformDuty platform;
    WorkersDuty workers;
    CallersDuty callers;
    PeersDuty peers;
    ControlDuty control;
    OperatorsDuty operators;
    DemandProbe demand;
    bool isShutDown = false;
};

EntryHost::EntryHost(std::unique_ptr<Duties> duties)
    : duties_(std::move(duties))
{}

EntryHost::~EntryHost()
{
    // All threads are stopped before any duty is destroyed, since duties call each other.
    for (DutyThread *thread : duties_->threads()) {
        thread->stop();
    }
}

Result<std::unique_ptr<EntryHost>> EntryHost::start(const EntryHostOptions &options)
{
    logEvent(events::entryHostStarting, {{"id", options.settings.id.text()},
                                         {"zone", options.settings.zone.text()},
                                         {"version", POPLAR_VERSION}});
    auto duties = std::make_unique<Duties>(options);
    if (const auto failure = duties->openListeners()) {
        return *failure;
    }
    duties->startThreads();
    return std::unique_ptr<EntryHost>(new EntryHost(std::move(duties)));
}

void EntryHost::shutdown()
{
    if (std::exchange(duties_->isShutDown, true)) {
        return;
    }
    const TimePoint begin = duties_->clock.now();
    logEvent(events::entryHostLeaving, {});
    duties_->operators.setLeaving();
    duties_->peers.setLeaving();
    // The load balancer has to see that /ready fails before the port closes. Nothing opens this
    // latch: it only waits.
    Latch().waitFor(duties_->settings.limits.leaving);
    Latch callersDone;
    duties_->callers.shutdown([&callersDone] { callersDone.open(); });
    const bool isDrained = callersDone.waitFor(duties_->settings.limits.drain);
    Latch controlDone;
    duties_->control.leave([&controlDone] { controlDone.open(); });
    constexpr Milliseconds leaveTimeout{5'000};
    const bool hasLeft = controlDone.waitFor(leaveTimeout);
    for (DutyThread *thread : duties_->threads()) {
        thread->stop();
    }
    const Milliseconds elapsed = duties_->clock.now() - begin;
    logEvent(events::entryHostStopped,
             {{"seconds", fmt::format("{:.1f}", static_cast<double>(elapsed.count()) / 1'000)},
              {"drained", isDrained ? "yes" : "no"},
              {"left", hasLeft ? "yes" : "no"}});
}

}  // namespace poplarstream
