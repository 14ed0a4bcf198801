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

// The log contains the record at this offset.
struct Appended
{
    Offset offset = 0;
};

// The record is not in the log and never will be: it was not sent, or the platform rejected it.
struct AppendRefused
{
    std::string reason;
};

// The record may be in the log, now or shortly. Its connection is closed.
struct AppendUnknown
{
    std::string reason;
};

using AppendOutcome = std::variant<Appended, AppendRefused, AppendUnknown>;

// A record of a stream as stored in the log. `data` is the JSON text of the record.
struct LogEntry
{
    Offset offset = 0;
    TimePoint time;
    std::string data;
};

// Consecutive records. `first` is the oldest offset still stored: a reader that requested an older
// one has missed records and needs a snapshot. `next` is the offset to read from next.
struct LogPage
{
    Offset first = 0;
    Offset next = 0;
    std::vector<LogEntry> entries;
};

// An entry of the platform's host list, which lags behind by seconds. `state` is the platform's own
// term, for example "live" or "leaving".
struct PlatformHost
{
    HostId host;
    std::string state;
};

struct PlatformSettings
{
    HttpEndpoint endpoint;
    Milliseconds appendDeadline{2000};
    Milliseconds readWait{1000};  // long polling: how long the platform waits for a record
    Milliseconds readDeadline{3000};
    std::size_t pageRecords = 1000;
};

// The platform's log and host list. Every call leads to exactly one callback, on the thread of the
// client's io_context.
struct PlatformClient
{
    // Appends one record, given as JSON text. Text that is not JSON is rejected.
    std::function<void(const std::string &stream, std::string_view data,
                       std::function<void(AppendOutcome)>)>
            append;
    // Reads records from offset `from`; waits up to `readWait` if there are none yet.
    std::function<void(const std::string &stream, Offset from,
                       std::function<void(Result<LogPage>)>)>
            read;
    std::function<void(std::function<void(Result<std::vector<PlatformHost>>)>)> hosts;
};

// The client must outlive the result.
PlatformClient makePlatformClient(HttpClient &client, const PlatformSettings &settings);

// Parses the platform's JSON response to a read. The offsets must be consecutive and match `first`
// and `next`; otherwise the whole page is a failure, because replay must not skip a record.
Result<LogPage> logPageFromJson(std::string_view text, Offset from);

}  // namespace poplarstream
