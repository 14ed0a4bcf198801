#pragma once

#include <functional>  // for function
#include <memory>  // for shared_ptr
#include <string>  // for string
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/adapters/platform_client.hpp"  // for LogPage, AppendOutcome, PlatformHost
#include "poplarstream/base/id.hpp"  // for RecordId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/node/duty_thread.hpp"  // for DutyThread

namespace poplarstream {

// A page of a followed stream. `requestedAt` is the local time before the read was sent: the log
// contained nothing else at that time.
struct StreamPage
{
    std::string stream;
    LogPage page;
    TimePoint requestedAt;
    bool isAtEnd = false;  // the log had no further record when it responded
};

// A failed read. It is retried.
struct StreamError
{
    std::string stream;
    std::string fault;
};

struct AppendResponse
{
    RecordId record;
    AppendOutcome outcome;
};

struct HostsListed
{
    std::vector<PlatformHost> hosts;
};

using PlatformEvent = std::variant<StreamPage, StreamError, AppendResponse, HostsListed>;

// Communicates with the platform: follows streams, appends records and reads the list of hosts,
// without interpreting them. Its functions may be called from any thread. `report` is called on the
// duty's thread and returns false if the receiver cannot accept the event; a page is then read
// again later.
class PlatformDuty
{
public:
    PlatformDuty(DutyThread &thread, const HttpEndpoint &platform,
                 std::function<bool(PlatformEvent &&)> report);
    ~PlatformDuty();
    PlatformDuty(const PlatformDuty &) = delete;
    PlatformDuty &operator=(const PlatformDuty &) = delete;

    // Reads the stream page by page, starting at `from`. Another call for the same stream restarts
    // it there; pages that are still being read are dropped.
    void follow(std::string stream, Offset from);
    void stopFollowing(std::string stream);

    void append(RecordId record, std::string stream, std::string text);

    // Reads the list of hosts every `period`, or less often if the list is long.
    void listHosts(Milliseconds period);

private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace poplarstream
