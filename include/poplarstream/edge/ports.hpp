#pragma once

#include <cstddef>  // for size_t
#include <cstdint>  // for int64_t
#include <functional>  // for function
#include <map>  // for map
#include <optional>  // for optional
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/accounts/client_account.hpp"  // for ClientAccounts
#include "poplarstream/accounts/key_ring.hpp"  // for KeyRing
#include "poplarstream/base/result.hpp"  // for Result
#include "poplarstream/engine/state.hpp"  // for WorkerEntry, Queue, Service
#include "poplarstream/jobs/model.hpp"  // for JobSpec
#include "poplarstream/pools/machine.hpp"  // for Machine, Wave, MachineCommand

namespace poplarstream::edge {

// The keyed logs that an entry host uses. A keyed log keeps the newest record of each key for good.
enum class Log {
    Operator,  // configuration and waves, written by the operator
    Registry,  // entries of workers, written by themselves
    Status,  // progress of waves, for the operator
    Jobs,  // submissions and cancellations, written by any entry host
    Progress,  // progress of jobs, written by their owner
    Ownership,  // claims and renewals
};

struct StoredRecord
{
    std::string key;
    std::optional<std::string> value;  // empty: a tombstone, the key was deleted
    std::int64_t offset = 0;
};

// The bytes that a record takes of those that one write to the store may have.
std::size_t storedBytes(const StoredRecord &record);

// Identifies the writer, so that the store rejects writes of a superseded owner and deduplicates
// retries.
struct Producer
{
    std::string name;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

struct AppendRequest
{
    Log log = Log::Jobs;
    int partition = 0;
    std::vector<StoredRecord> records;  // offsets are ignored
    std::optional<std::int64_t> atOffset;  // written only if the log ends there
    std::optional<Producer> producer;
    Milliseconds deadline{1500};
};

enum class AppendResult {
    Stored,
    ConditionFailed,  // the log does not end at `atOffset`
    Fenced,  // a producer with a higher epoch has written
    OutOfSequence,
    NotDone,  // nothing was written and nothing will be
    Refused,  // as NotDone, and the same records will never be written
    Unknown,  // no response: it was written, will be, or was lost
};

// How events and metrics name a result.
std::string_view resultText(AppendResult result);

struct AppendOutcome
{
    AppendResult result = AppendResult::Unknown;
    std::int64_t endOffset = 0;  // after the write
};

struct ReadRequest
{
    Log log = Log::Jobs;
    int partition = 0;
    std::int64_t from = 0;
    Milliseconds wait{0};  // long poll: the response may wait this long for a record
};

enum class ReadResult {
    Records,
    Expired,  // the records at that offset were deleted
    Failed,
};

struct ReadOutcome
{
    ReadResult result = ReadResult::Failed;
    std::vector<StoredRecord> records;
    std::int64_t nextOffset = 0;  // of the record after the last one here
    std::int64_t endOffset = 0;  // of the log
};

// A page of the newest records of each key.
struct NewestOutcome
{
    bool isRead = false;
    std::vector<StoredRecord> records;
    bool hasMore = false;  // continue after the last key
    std::int64_t endOffset = 0;
};

struct StorePort
{
    std::function<void(AppendRequest, std::function<void(AppendOutcome)>)> append;
    std::function<void(ReadRequest, std::function<void(ReadOutcome)>)> read;
    std::function<void(Log, int partition, const std::string &afterKey,
                       std::function<void(NewestOutcome)>)>
            newest;
};

struct WorkerPort
{
    struct PollOutcome
    {
        std::optional<engine::PollResponse> response;
        bool isOtherIncarnation = false;
    };
    struct StartOutcome
    {
        engine::StartResult result = engine::StartResult::Unknown;
        std::int64_t clockMs = 0;  // 0 if there was no response
    };

    std::function<void(const engine::PollCommand &, std::function<void(PollOutcome)>)> poll;
    std::function<void(const engine::StartCommand &, std::function<void(StartOutcome)>)> start;
    std::function<void(const engine::StopCommand &, std::function<void(engine::StopResult)>)> stop;
    std::function<void(const engine::PaceCommand &, std::function<void(engine::StopResult)>)> pace;
};

// A page of the platform's list of machines.
struct MachinePage
{
    bool isRead = false;
    std::vector<pools::Machine> machines;
    std::string nextPage;  // empty after the last one
};

struct MachinePort
{
    std::function<void(const std::string &page, std::function<void(MachinePage)>)> list;
    // Sends a command unless `mayWrite`, which is asked right before it leaves, returns false; then
    // the result is NotDone.
    std::function<void(const pools::MachineCommand &, std::function<bool()> mayWrite,
                       std::function<void(pools::CommandResult)>)>
            command;
};

struct Route
{
    std::string host;
    std::string pathPrefix;
    jobs::QueuePolicy policy;
    bool isPublic = true;  // callers need no key
};

struct Configuration
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, engine::Service> services;
    accounts::ClientAccounts accounts;  // none: all queues are public
    accounts::KeyRing keys;  // of the accounts
    std::uint64_t maxBodyBytes = 262'144;
};

// Decodes what others write to the store.
struct DecoderPort
{
    std::function<bool(const std::string &key)> isConfiguration;
    std::function<Result<Configuration>(const std::string &)> configuration;
    std::function<bool(const std::string &key)> isWave;
    std::function<Result<pools::Wave>(const std::string &)> wave;
    std::function<StoredRecord(const pools::Wave &, bool isCompleted)> waveStatus;
    std::function<Result<engine::WorkerEntry>(const std::string &key, const std::string &)>
            workerEntry;
    std::function<Result<jobs::JobSpec>(const std::string &)> jobSpec;
};

// The operation that a caller requests, by the HTTP method.
enum class CallKind { Submit, Lookup, Cancel, Other };

struct Call
{
    CallKind kind = CallKind::Other;
    std::string host;
    std::string path;
    std::string key;  // of the caller's account; a secret; empty if there is none
    bool hasMalformedKey = false;  // the credentials cannot be read
    std::string body;
    Milliseconds remaining{3000};  // how long the caller waits for the response
};

enum class ResponseKind {
    Accepted,  // the job is stored
    Cancelled,
    State,
    Count,
    NoSuchQueue,
    NoSuchJob,
    BadRequest,
    Unauthorized,  // the key belongs to no account; nothing was done
    Overloaded,  // the account has more than it is owed; nothing was done
    Unavailable,  // nothing was done; retry later
    Unknown,  // it may have been done
};

struct Response
{
    ResponseKind kind = ResponseKind::Unavailable;
    jobs::JobState state = jobs::JobState::Queued;
    int count = 0;
    Milliseconds retryAfter{1000};  // of Overloaded and Unavailable
    std::string message;
};

using Respond = std::function<void(Response)>;

}  // namespace poplarstream::edge
