#pragma once

#include <cstdint>  // for uint32_t, uint64_t
#include <functional>  // for function
#include <optional>  // for optional
#include <string>  // for string

#include "poplarstream/adapters/http_client.hpp"  // for HttpFault
#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/base/id.hpp"  // for RequestId, ServiceId
#include "poplarstream/base/time.hpp"  // for Milliseconds
#include "poplarstream/base/verdict.hpp"  // for Verdict

namespace poplarstream {

// The load that a minion reports with each answer.
struct MinionLoad
{
    std::uint32_t busy = 0;
    std::uint32_t slots = 0;
};

struct MinionRequest
{
    RequestId request;
    ServiceId service;
    std::string payload;
    Milliseconds deadline{0};  // what is left of the caller's deadline
};

// What came of one attempt. `fault` is None when an answer to this request came; `status` and
// `body` are set then. The verdict is NotRun when nothing was sent or the minion says so in
// `Poplar-Verdict`.
struct MinionOutcome
{
    Verdict verdict = Verdict::NotRun;
    HttpFault fault = HttpFault::None;
    unsigned status = 0;
    std::string body;
    std::optional<MinionLoad> load;
    bool isLeaving = false;  // the minion takes no new work
};

// Calls to minions. Each call ends in exactly one callback, on the thread of the client's
// io_context.
struct MinionClient
{
    // Sends a request. Returns a number for `cancel`.
    std::function<std::uint64_t(const HttpEndpoint &, MinionRequest,
                                std::function<void(MinionOutcome)>)>
            work;
    // Gives up a pending request, which then ends with HttpFault::Cancelled.
    std::function<void(std::uint64_t)> cancel;
    // Asks for the state, on any connection.
    std::function<void(const HttpEndpoint &, Milliseconds deadline,
                       std::function<void(MinionOutcome)>)>
            health;
};

// The client must outlive the result.
MinionClient makeMinionClient(HttpClient &client);

// Reads "busy/slots". Empty for other texts and for 0 slots.
std::optional<MinionLoad> minionLoadFromText(std::string_view text);

}  // namespace poplarstream
