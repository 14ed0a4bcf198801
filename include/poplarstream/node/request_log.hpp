#pragma once

#include <deque>  // for deque
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for ServiceId, AccountId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/base/verdict.hpp"  // for Verdict

namespace poplarstream {

// The outcome of an urgent request that was completed without a response from a minion.
struct RequestOutcomeRecord
{
    std::string request;
    ServiceId service;
    AccountId tenant;
    Verdict verdict = Verdict::NotRun;
    std::string reason;
    TimePoint at;
};

// The most recent refused or failed requests, for `explain`. Under overload the bound covers only
// the last few seconds.
struct RequestLog
{
    std::deque<RequestOutcomeRecord> outcomes;
};

inline constexpr std::size_t maxRequestOutcomes = 4096;

void addOutcome(RequestLog &log, RequestOutcomeRecord outcome);

// One line per recorded outcome of the request; empty if the request is unknown.
std::vector<std::string> explainRequest(const RequestLog &log, std::string_view request);

}  // namespace poplarstream
