#include "poplarstream/edge/group_append.hpp"

#include <deque>  // for deque
#include <iterator>  // for make_move_iterator

#include "poplarstream/edge/closable.hpp"  // for Closable

namespace poplarstream::edge {

namespace {

// More than one, so that a lost response does not delay the records after it.
constexpr int maxCallsInFlight = 4;
// A call takes further records until it has this size. The store accepts up to 2 MB.
constexpr std::size_t targetBytesPerCall = 1'000'000;

std::size_t sizeOf(const std::vector<StoredRecord> &records)
{
    std::size_t bytes = 0;
    for (const StoredRecord &record : records) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
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
    };

    State(StorePort port, int part, Milliseconds callDeadline)
        : store(std::move(port))
        , partition(part)
        , deadline(callDeadline)
    {}

    void sendNext()
    {
        if (waiting.empty() || callsInFlight >= maxCallsInFlight) {
            return;
        }
        AppendRequest request;
        request.log = Log::Jobs;
        request.partition = partition;
        request.deadline = deadline;
        std::vector<Done> callbacks;
        std::size_t bytes = 0;
        while (!waiting.empty() && bytes < targetBytesPerCall) {
            Entry entry = std::move(waiting.front());
            waiting.pop_front();
            bytes += sizeOf(entry.records);
            request.records.insert(request.records.end(),
                                   std::make_move_iterator(entry.records.begin()),
                                   std::make_move_iterator(entry.records.end()));
            callbacks.push_back(std::move(entry.done));
        }
        ++callsInFlight;
        store.append(std::move(request),
                     this->guarded([callbacks = std::move(callbacks)](
                                           State &self, const AppendOutcome &outcome) {
                         --self.callsInFlight;
                         for (const Done &done : callbacks) {
                             done(outcome);
                         }
                         self.sendNext();
                     }));
    }

    StorePort store;
    int partition;
    Milliseconds deadline;
    std::deque<Entry> waiting;
    int callsInFlight = 0;
};

GroupAppend::GroupAppend(StorePort store, int partition, Milliseconds deadline)
    : state_(std::make_shared<State>(std::move(store), partition, deadline))
{}

GroupAppend::~GroupAppend()
{
    state_->isClosed = true;
}

void GroupAppend::append(std::vector<StoredRecord> records, std::function<void(AppendOutcome)> done)
{
    state_->waiting.push_back({std::move(records), std::move(done)});
    state_->sendNext();
}

}  // namespace poplarstream::edge
