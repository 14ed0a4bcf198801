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
    std::uint32_t maxQueued = 4096;  // limit of urgent requests waiting for a slot
    std::uint64_t incarnation = 0;  // differs between starts of the process
};

// Evidence from the urgent path that a minion is going away: it reported that it is leaving, or
// refused a connection.
struct MinionEvidence
{
    MinionId minion;
    bool isLeaving = false;
    bool hasRefusedConnection = false;
};

// A snapshot of the urgent path for status pages and metrics.
struct CallersReport
{
    std::vector<traffic::ServiceView> services;
    std::vector<traffic::MinionView> minions;
    traffic::TrafficCounters counters;
    RequestHistograms histograms;
    HttpServerCounts connections;
    std::vector<std::string> explanation;  // of the request named in report()
};

// Accepts callers' requests, dispatches urgent ones to the minions, and forwards slow ones to the
// control duty. All state is confined to the duty's thread.
class CallersDuty
{
public:
    CallersDuty(DutyThread &thread, CallersSettings settings, Mailbox<RunCall> &runs,
                std::function<void(MinionEvidence)> evidence);
    ~CallersDuty();
    CallersDuty(const CallersDuty &) = delete;
    CallersDuty &operator=(const CallersDuty &) = delete;

    // Starts listening and returns the port. Call before the thread starts.
    Result<std::uint16_t> listen();

    // Replaces the serving view. Thread-safe.
    void publish(std::shared_ptr<const ServingView> view);

    // Requests a report, with the explanation of `request` unless it is empty. Thread-safe; `done`
    // is called on the duty's thread.
    void report(std::string request, std::function<void(CallersReport)> done);

    // Graceful shutdown: accepts no new connections, completes the requests in progress, then calls
    // `drained` on the duty's thread. Thread-safe.
    void shutdown(std::function<void()> drained);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
