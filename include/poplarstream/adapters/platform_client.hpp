#pragma once

#include <functional>  // for function
#include <string>  // for string
#include <string_view>  // for string_view
#include <variant>  // for variant
#include <vector>  // for vector

#include "poplarstream/adapters/http_message.hpp"  // for HttpEndpoint
#include "poplarstream/base/id.hpp"  // for HostId
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/base/time.hpp"  // for Milliseconds, TimePoint
#include "poplarstream/records/record.hpp"  // for Offset

namespace poplarstream {

class HttpClient;

// The log holds the record at this offset.
struct Appended
{
    Offset offset = 0;
};

// The record is not in the log and will not be: it was not sent, or the platform refused it.
struct AppendRefused
{
    std::string reason;
};

// The record may be in the log, now or a moment later. Its connection is closed.
struct AppendUnknown
{
    std::string reason;
};

using AppendOutcome = std::variant<Appended, AppendRefused, AppendUnknown>;

// A record of a stream as the log holds it. `data` is the JSON text of the record.
struct LogEntry
{
    Offset offset = 0;
    TimePoint time;
    std::string data;
};

// Consecutive records. `first` is the oldest offset that the stream still holds: a reader that
// asked for an older one has missed records and needs a snapshot. `next` is the offset to ask for
// next.
struct LogPage
{
    Offset first = 0;
    Offset next = 0;
    std::vector<LogEntry> entries;
};

// A host on the platform's list, which lags behind by seconds. `state` is the platform's own word,
// for example "live" or "leaving".
struct PlatformHost
{
    HostId host;
    std::string state;
};

struct PlatformSettings
{
    HttpEndpoint endpoint;
    Milliseconds appendDeadline{2000};
    Milliseconds readWait{1000};  // how long the platform holds an empty read
    Milliseconds readDeadline{3000};
    std::size_t pageRecords = 1000;
};

// The platform's log and host list. Every call ends in exactly one callback, on the thread of the
// client's io_context.
struct PlatformClient
{
    // Appends one record, given as JSON text. Text that is not JSON is refused.
    std::function<void(const std::string &stream, std::string_view data,
                       std::function<void(AppendOutcome)>)>
            append;
    // Reads records from offset `from`; waits up to `readWait` for one.
    std::function<void(const std::string &stream, Offset from,
                       std::function<void(Result<LogPage>)>)>
            read;
    std::function<void(std::function<void(Result<std::vector<PlatformHost>>)>)> hosts;
};

// The client must outlive the result.
PlatformClient makePlatformClient(HttpClient &client, const PlatformSettings &settings);

// The page in the platform's JSON answer to a read. Offsets must be consecutive and match `first`
// and `next`; a page that does not is a failure as a whole, because replay must not skip a record.
Result<LogPage> logPageFromJson(std::string_view text, Offset from);

}  // namespace poplarstream
