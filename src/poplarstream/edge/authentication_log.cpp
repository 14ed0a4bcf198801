#include "poplarstream/edge/authentication_log.hpp"

#include <fmt/format.h>  // for format, to_string

#include "poplarstream/telemetry/event_kinds.hpp"  // for callRejected

namespace poplarstream::edge {

namespace {

constexpr Milliseconds linePeriod{1000};

}  // namespace

void AuthenticationLog::record(Authentication authentication, const std::string &queue,
                               TimePoint now)
{
    if (authentication == Authentication::NotNeeded) {
        return;
    }
    ++counts_[static_cast<std::size_t>(authentication)];
    if (authentication == Authentication::Accepted) {
        return;
    }
    ++unlogged_;
    if (now < nextLineAt_) {
        return;
    }
    nextLineAt_ = now + linePeriod;
    logEvent(events::callRejected, {{"reason", std::string(authenticationText(authentication))},
                                    {"queue", queue},
                                    {"count", fmt::to_string(unlogged_)}});
    unlogged_ = 0;
}

std::string AuthenticationLog::prometheusText() const
{
    std::string text;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        if (counts_[i] > 0) {
            text += fmt::format("poplar_calls_authenticated_total{{outcome=\"{}\"}} {}\n",
                                authenticationText(static_cast<Authentication>(i)), counts_[i]);
        }
    }
    return text;
}

}  // namespace poplarstream::edge
