#pragma once

#include "poplarstream/base/random.hpp"  // for Random
#include "poplarstream/records/run_record.hpp"  // for RunRecord, Logged

namespace poplarstream::test {

// Generates random records for tests. They use few runs, owners and workers, so that entries
// conflict, and mostly recent tokens, so that many match a claim.
class RandomRecords
{
public:
    explicit RandomRecords(std::uint64_t seed)
        : random_(seed)
    {}

    Logged<RunRecord> next()
    {
        Logged<RunRecord> logged;
        logged.offset = offset_++;
        time_ += static_cast<std::int64_t>(random_.below(1500));
        // The log clock may jump backwards.
        logged.time = timePoint(time_ - static_cast<std::int64_t>(random_.below(5) == 0 ? 900 : 0));
        // Some records reuse the id of an earlier one.
        const std::uint64_t id = random_.below(20) == 0 ? random_.below(offset_) : logged.offset;
        logged.record.header = {RecordId("r" + std::to_string(id)), owner()};
        const std::uint64_t count = random_.below(4) + 1;
        for (std::uint64_t i = 0; i < count; ++i) {
            logged.record.entries.push_back(entry());
            if (std::holds_alternative<RunClaimed>(logged.record.entries.back())) {
                token_ = {logged.offset, static_cast<std::uint32_t>(i)};
                tokenRun_ = std::get<RunClaimed>(logged.record.entries.back()).run;
            }
        }
        return logged;
    }

private:
    RunId run() { return RunId("a-" + std::to_string(random_.below(8) + offset_ / 40)); }
    EntryHostId owner() { return EntryHostId("e" + std::to_string(random_.below(3))); }
    HostId worker() { return HostId("h" + std::to_string(random_.below(3))); }
    std::string text()
    {
        return random_.below(2) == 0 ? "" : "t\n\"\\" + std::to_string(random_.below(9)) + "ü";
    }

    RunAccepted accepted()
    {
        return {run(),
                AccountId("t" + std::to_string(random_.below(2))),
                ServiceId("s" + std::to_string(random_.below(2))),
                random_.below(2) == 0 ? "" : "k" + std::to_string(random_.below(6)),
                random_.below(2),
                text(),
                {1.5, 100, 0},
                Milliseconds{1000},
                random_.below(2) == 0,
                timePoint(0)};
    }

    // Usually the latest claim.
    std::pair<RunId, FencingToken> target()
    {
        if (random_.below(4) == 0) {
            return {run(), {random_.below(offset_), static_cast<std::uint32_t>(random_.below(2))}};
        }
        return {tokenRun_, token_};
    }

    RunEntry entry()
    {
        const auto [run, token] = target();
        switch (random_.below(14)) {
        case 0:
        case 1:
            return accepted();
        case 2:
        case 3:
        case 4:
            return RunClaimed{
                    this->run(),      owner(),
                    worker(),         {1.25, 60, 0},
                    random_.below(2), random_.below(2) == 0 ? Resources{} : Resources{4, 150, 1}};
        case 5:
            return RunTakenOver{run, token, owner()};
        case 6:
            return RunStarted{run, token};
        case 7:
            return RunFinished{run,    token,      static_cast<RunOutcome>(random_.below(3)),
                               text(), {1, 50, 0}, Milliseconds{700}};
        case 8:
        case 9:
            return RunReleased{run,
                               token,
                               random_.below(2) == 0,
                               text(),
                               static_cast<ReleaseCause>(random_.below(5)),
                               text()};
        case 10:
            return RunsCancelled{{run, this->run()}};
        case 11:
            return RunDeadLettered{this->run(), "reason"};
        case 12:
            if (random_.below(2) == 0) {
                return RunHandedOver{this->run(), ZoneId("b")};
            }
            return random_.below(2) == 0
                           ? RunEntry(RunReceived{accepted(), ZoneId("c"), random_.below(3)})
                           : RunEntry(HandOverConfirmed{this->run()});
        default:
            return OwnerLease{owner(),
                              Milliseconds{static_cast<std::int64_t>(random_.below(5)) * 3000}};
        }
    }

    Random random_;
    Offset offset_ = 0;
    std::int64_t time_ = 1'000'000;
    FencingToken token_;
    RunId tokenRun_;
};

}  // namespace poplarstream::test
