#include "poplarstream/edge/group_append.hpp"

#include <algorithm>  // for min
#include <deque>  // for deque

#include "poplarstream/edge/closable.hpp"  // for Closable

namespace poplarstream::edge {

namespace {

// For all partitions together, of 160 MB that an entry host has: once for its own submissions that
// are sent again and once for those of other entry hosts, which send them again if callers wait.
constexpr std::size_t maxWaitingBytes = 16'000'000;
// A call takes further records up to this size, so that none waits for the transfer of many others.
constexpr std::size_t targetBytesPerCall = 1'000'000;

std::size_t sizeOf(const std::vector<StoredRecord> &records)
{
    std::size_t bytes = 0;
    for (const StoredRecord &record : records) {
        bytes += storedBytes(record);
    }
    return bytes;
}

}  // namespace

struct GroupAppend::State : Closable<GroupAppend::State>
{
    using Done = std::function<void(AppendOutcome)>;

    struct Entry
    {
        std::vector<StoredRecord> records;
        Done done;
        bool isAlone = false;  // shares no call
    };

    State(StorePort port, JobPartition part, Milliseconds callDeadline, std::size_t maxCallBytes,
          int callLimit)
        : store(std::move(port))
        , partition(part.index)
        , maxWaiting(maxWaitingBytes / static_cast<std::size_t>(part.count))
        , deadline(callDeadline)
        , maxBytes(std::min(maxCallBytes, targetBytesPerCall))
        , maxCallsInFlight(callLimit)
    {}

    void add(Entry entry)
    {
        waitingBytes += sizeOf(entry.records);
        waiting.push_back(std::move(entry));
    }

    // Removes the entries that share the next call: a single one has any size.
    std::vector<Entry> takeEntries()
    {
        std::vector<Entry> entries;
        std::size_t bytes = 0;
        while (!waiting.empty()) {
            bytes += sizeOf(waiting.front().records);
            const bool mayShare = bytes <= maxBytes && !waiting.front().isAlone
                                  && (entries.empty() || !entries.front().isAlone);
            if (!entries.empty() && !mayShare) {
                break;
            }
            waitingBytes -= sizeOf(waiting.front().records);
            entries.push_back(std::move(waiting.front()));
            waiting.pop_front();
        }
        return entries;
    }

    void sendNext()
    {
        if (waiting.empty() || callsInFlight >= maxCallsInFlight) {
            return;
        }
        AppendRequest request;
        request.log = Log::Jobs;
        request.partition = partition;
        request.deadline = deadline;
        std::vector<Entry> entries = takeEntries();
        for (const Entry &entry : entries) {
            request.records.insert(request.records.end(), entry.records.begin(),
                                   entry.records.end());
        }
        ++callsInFlight;
        store.append(std::move(request),
                     this->guarded([entries = std::move(entries)](State &self,
                                                                  const AppendOutcome &outcome) {
                         --self.callsInFlight;
                         self.finish(entries, outcome);
                         self.sendNext();
                     }));
    }

    // If the store refuses what shared a call, one record may be the cause: each is sent again in a
    // call of its own.
    void finish(const std::vector<Entry> &entries, const AppendOutcome &outcome)
    {
        const bool isShared = entries.size() > 1;
        for (const Entry &entry : entries) {
            if (outcome.result == AppendResult::Refused && isShared) {
                add({entry.records, entry.done, true});
            } else {
                entry.done(outcome);
            }
        }
    }

    StorePort store;
    int partition;
    std::size_t maxWaiting;  // bytes
    Milliseconds deadline;
    std::size_t maxBytes;  // of a shared call
    int maxCallsInFlight;
    std::deque<Entry> waiting;
    std::size_t waitingBytes = 0;
    int callsInFlight = 0;
};

GroupAppend::GroupAppend(StorePort store, JobPartition partition, Milliseconds deadline,
                         std::size_t maxCallBytes, int maxCallsInFlight)
    : state_(std::make_shared<State>(std::move(store), partition, deadline, maxCallBytes,
                                     maxCallsInFlight))
{}

GroupAppend::~GroupAppend()
{
    state_->isClosed = true;
}

void GroupAppend::append(std::vector<StoredRecord> records, std::function<void(AppendOutcome)> done)
{
    if (state_->waitingBytes > state_->maxWaiting) {
        done({AppendResult::NotDone});
        return;
    }
    state_->add({std::move(records), std::move(done)});
    state_->sendNext();
}

}  // namespace poplarstream::edge
