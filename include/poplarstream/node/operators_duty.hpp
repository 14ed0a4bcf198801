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

// The functions of the other duties that the operator interface uses. Any thread may call them;
// they return false when the mailbox of the other duty is full.
struct OperatorsPorts
{
    std::function<bool(ControlQuery)> query;
    std::function<bool(ConfigPublication)> publish;
    std::function<void(std::string request, std::function<void(CallersReport)>)> report;
};

struct OperatorsSettings
{
    HttpEndpoint listen;
    std::vector<std::string> tokens;  // of operators; without any, operator calls are refused
    EntryHostId self;
    maintenance::Policy wavePolicy;  // for the cost estimate before publishing
};

// Serves operators and the load balancer: /health and /ready without a token; status, explain,
// metrics, documents and publishing with a token; the console at / and /console/ with the session
// of an operator.
class OperatorsDuty
{
public:
    OperatorsDuty(DutyThread &thread, OperatorsSettings settings, OperatorsPorts ports);
    ~OperatorsDuty();
    OperatorsDuty(const OperatorsDuty &) = delete;
    OperatorsDuty &operator=(const OperatorsDuty &) = delete;

    // Starts to listen; call before the thread starts. Returns the port.
    Result<std::uint16_t> listen();

    // From now on /ready returns 503, so that the load balancer sends no new callers. Any thread.
    void setLeaving();

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
