#include "poplarstream/node/request_log.hpp"

#include <fmt/format.h>  // for format

namespace poplarstream {

void addOutcome(RequestLog &log, RequestOutcomeRecord outcome)
{
    if (log.outcomes.size() == maxRequestOutcomes) {
        log.outcomes.pop_front();
    }
    log.outcomes.push_back(std::move(outcome));
}

std::vector<std::string> explainRequest(const RequestLog &log, std::string_view request)
{
    std::vector<std::string> lines;
    for (const RequestOutcomeRecord &outcome : log.outcomes) {
        if (outcome.request == request) {
            lines.push_back(fmt::format(
                    "request {} of tenant {} for service {} ended with verdict {} at {}: {}",
                    outcome.request, outcome.tenant.text(), outcome.service.text(),
                    verdictText(outcome.verdict), millisecondsSinceEpoch(outcome.at),
                    outcome.reason));
        }
    }
    return lines;
}

}  // namespace poplarstream
