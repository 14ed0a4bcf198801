#include "poplarstream/edge/group_append.hpp"

#include <deque>  // for deque
#include <iterator>  // for make_move_iterator

#include "poplarstream/edge/closable.hpp"  // for Closable

namespace poplarstream::edge {

namespace {

// More than one, so that a lost answer does not hold up what comes after it.
constexpr int callsAtOnce = 4;
// A call to the store holds 2 MB.
constexpr std::size_t bytesPerCall = 1'000'000;

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

    State(StorePort port, Milliseconds limit)
        : store(std::move(port))
        , deadline(limit)
    {}

    void sendNext()
    {
        if (waiting.empty() || underWay >= callsAtOnce) {
            return;
        }
        AppendRequest request;
        request.log = Log::Jobs;
        request.deadline = deadline;
        std::vector<Done> receivers;
        std::size_t bytes = 0;
        while (!waiting.empty() && bytes < bytesPerCall) {
            Entry entry = std::move(waiting.front());
            waiting.pop_front();
            bytes += sizeOf(entry.records);
            request.records.insert(request.records.end(),
                                   std::make_move_iterator(entry.records.begin()),
                                   std::make_move_iterator(entry.records.end()));
            receivers.push_back(std::move(entry.done));
        }
        ++underWay;
        store.append(std::move(request),
                     this->guarded([receivers = std::move(receivers)](
                                           State &self, const AppendOutcome &outcome) {
                         --self.underWay;
                         for (const Done &done : receivers) {
                             done(outcome);
                         }
                         self.sendNext();
                     }));
    }

    StorePort store;
    Milliseconds deadline;
    std::deque<Entry> waiting;
    int underWay = 0;
};

GroupAppend::GroupAppend(StorePort store, Milliseconds deadline)
    : state_(std::make_shared<State>(std::move(store), deadline))
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
