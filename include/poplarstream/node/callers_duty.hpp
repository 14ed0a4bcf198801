#pragma once

#include <cstdint>  // for uint16_t, uint64_t
#include <functional>  // for function
#include <memory>  // for shared_ptr, unique_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/adapters/http_server.hpp"  // for HttpServerLimits
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread
#include "poplarstream/node/mailbox.hpp"  // for Mailbox
#include "poplarstream/node/run_interface.hpp"  // for RunCall
#include "poplarstream/node/serving_view.hpp"  // for ServingView
#include "poplarstream/telemetry/request_histograms.hpp"  // for RequestHistograms
#include "poplarstream/traffic/messages.hpp"  // for LoadReport
#include "poplarstream/traffic/state_view.hpp"  // for MinionView, ServiceView

namespace poplarstream {

struct CallersSettings
{
    HttpEndpoint listen;
    HttpServerLimits limits;
    std::uint32_t maxQueued = 4096;  // urgent requests that wait for a slot
    std::uint64_t incarnation = 0;  // differs between starts of the process
};

// First evidence of the urgent path on a minion: it said that it leaves, or refused a connection.
struct MinionEvidence
{
    MinionId minion;
    bool isLeaving = false;
    bool hasRefusedConnection = false;
};

// What the urgent path knows, for status pages and metrics.
struct CallersReport
{
    std::vector<traffic::ServiceView> services;
    std::vector<traffic::MinionView> minions;
    traffic::TrafficCounters counters;
    RequestHistograms histograms;
    HttpServerCounts connections;
    std::vector<std::string> explanation;  // of one request, where it was asked for
};

// The duty that accepts callers' requests, answers urgent ones through the minions, and passes slow
// ones on to the control duty. All state belongs to its thread.
class CallersDuty
{
public:
    CallersDuty(DutyThread &thread, CallersSettings settings, Mailbox<RunCall> &runs,
                std::function<void(MinionEvidence)> evidence);
    ~CallersDuty();
    CallersDuty(const CallersDuty &) = delete;
    CallersDuty &operator=(const CallersDuty &) = delete;

    // Starts to listen; call it before the thread starts. Returns the port.
    Result<std::uint16_t> listen();

    // Puts a view in force. Any thread.
    void publish(std::shared_ptr<const ServingView> view);

    // Asks for a report, with the explanation of `request` unless it is empty. Any thread; `done`
    // is called on the duty's thread.
    void report(std::string request, std::function<void(CallersReport)> done);

    // Graceful shutdown: no new connections; requests in progress are answered; then `drained` is
    // called on the duty's thread. Any thread.
    void shutdown(std::function<void()> drained);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
