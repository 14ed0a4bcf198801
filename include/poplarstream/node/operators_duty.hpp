#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint, HttpRequest, HttpResponse
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/node/callers_duty.hpp"  // for CallersReport
#include "poplarstream/node/control_duty.hpp"  // for ConfigPublication, ControlQuery
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread

namespace poplarstream {

// What the operators' pages use of the other duties. Any thread may call the functions; they
// return false when the other duty's mailbox is full.
struct OperatorsPorts
{
    std::function<bool(ControlQuery)> ask;
    std::function<bool(ConfigPublication)> publish;
    std::function<void(std::string request, std::function<void(CallersReport)>)> report;
};

struct OperatorsSettings
{
    HttpEndpoint listen;
    std::vector<std::string> tokens;  // of operators; without one, operator calls are refused
    EntryHostId self;
    maintenance::Policy wavePolicy;  // for the cost that the console shows before publishing
};

// The duty that serves operators and the balancer: /health and /ready without a token; status,
// explain, metrics, documents and publishing with one; the console at / and /console/ with the
// session of an operator.
class OperatorsDuty
{
public:
    OperatorsDuty(DutyThread &thread, OperatorsSettings settings, OperatorsPorts ports);
    ~OperatorsDuty();
    OperatorsDuty(const OperatorsDuty &) = delete;
    OperatorsDuty &operator=(const OperatorsDuty &) = delete;

    // Starts to listen; call it before the thread starts. Returns the port.
    Result<std::uint16_t> listen();

    // From now on /ready answers 503, so that the balancer sends no new callers. Any thread.
    void setLeaving();

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
