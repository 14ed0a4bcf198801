#pragma once

#include <functional>  // for function
#include <map>  // for map
#include <memory>  // for make_shared
#include <utility>  // for pair
#include <vector>  // for vector

#include <boost/asio/steady_timer.hpp>  // for steady_timer

#include "poplarstream/edge/runtime.hpp"  // for StorePort, Log

namespace poplarstream::edge::test {

// How long the store takes for a response.
inline constexpr Milliseconds pollTime{10};

// Keyed logs in memory.
struct Store
{
    boost::asio::io_context &io;
    std::map<std::pair<Log, int>, std::vector<StoredRecord>> logs;
    int refusedWrites = 0;  // of progress, as out of sequence
    bool isMute = false;  // carries out what is asked, but its responses are lost

    AppendOutcome append(const AppendRequest &request)
    {
        std::vector<StoredRecord> &log = logs[{request.log, request.partition}];
        AppendOutcome outcome;
        if (request.atOffset && *request.atOffset != static_cast<std::int64_t>(log.size())) {
            outcome.result = AppendResult::ConditionFailed;
        } else if (request.log == Log::Progress && refusedWrites > 0) {
            --refusedWrites;
            outcome.result = AppendResult::OutOfSequence;
        } else {
            for (StoredRecord record : request.records) {
                record.offset = static_cast<std::int64_t>(log.size());
                log.push_back(std::move(record));
            }
            outcome.result = AppendResult::Stored;
        }
        outcome.endOffset = static_cast<std::int64_t>(log.size());
        return outcome;
    }

    ReadOutcome read(const ReadRequest &request)
    {
        const std::vector<StoredRecord> &log = logs[{request.log, request.partition}];
        ReadOutcome outcome;
        outcome.result = ReadResult::Records;
        outcome.records.assign(log.begin() + request.from, log.end());
        outcome.nextOffset = static_cast<std::int64_t>(log.size());
        outcome.endOffset = outcome.nextOffset;
        return outcome;
    }

    NewestOutcome newest(Log name, int partition)
    {
        const std::vector<StoredRecord> &log = logs[{name, partition}];
        std::map<std::string, StoredRecord> byKey;
        for (const StoredRecord &record : log) {
            byKey[record.key] = record;
        }
        NewestOutcome outcome;
        outcome.isRead = true;
        outcome.endOffset = static_cast<std::int64_t>(log.size());
        for (const auto &[key, record] : byKey) {
            outcome.records.push_back(record);
        }
        return outcome;
    }

    // Responds after a moment, as any store does.
    template <class Outcome>
    void respond(std::function<void(Outcome)> done, std::function<Outcome()> make)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(io, pollTime);
        timer->async_wait(
                [this, timer, done = std::move(done), make = std::move(make)](const auto &) {
                    const Outcome outcome = make();
                    if (!isMute) {
                        done(outcome);
                    }
                });
    }

    StorePort port()
    {
        StorePort port;
        port.append = [this](AppendRequest request, auto done) {
            respond<AppendOutcome>(std::move(done), [this, request] { return append(request); });
        };
        port.read = [this](ReadRequest request, auto done) {
            respond<ReadOutcome>(std::move(done), [this, request] { return read(request); });
        };
        port.newest = [this](Log log, int partition, const std::string &, auto done) {
            respond<NewestOutcome>(std::move(done),
                                   [this, log, partition] { return newest(log, partition); });
        };
        return port;
    }
};

}  // namespace poplarstream::edge::test
