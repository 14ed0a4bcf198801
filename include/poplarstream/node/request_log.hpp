#pragma once

#include <deque>  // for deque
#include <string>  // for string
#include <string_view>  // for string_view
#include <vector>  // for vector

#include "poplarstream/base/id.hpp"  // for ServiceId, TenantId
#include "poplarstream/base/time.hpp"  // for TimePoint
#include "poplarstream/base/verdict.hpp"  // for Verdict

namespace poplarstream {

// How an urgent request ended that got no answer of a minion.
struct RequestOutcomeRecord
{
    std::string request;
    ServiceId service;
    TenantId tenant;
    Verdict verdict = Verdict::NotRun;
    std::string reason;
    TimePoint at;
};

// The newest refused or failed requests, for `explain`. During a flood it holds the last seconds.
struct RequestLog
{
    std::deque<RequestOutcomeRecord> outcomes;
};

inline constexpr std::size_t maxRequestOutcomes = 4096;

void addOutcome(RequestLog &log, RequestOutcomeRecord outcome);

// The recorded reason; empty when the request is not known.
std::vector<std::string> explainRequest(const RequestLog &log, std::string_view request);

}  // namespace poplarstream
