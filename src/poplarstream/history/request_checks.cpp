#include <map>  // for map
#include <set>  // for set

#include <fmt/format.h>  // for format

#include "check_support.hpp"  // for addViolation

namespace poplarstream::history {

CheckResult checkRightAnswers(History history)
{
    CheckResult result{"right-answer", 0, {}};
    std::map<RequestId, std::uint64_t> sentContent;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (const auto *sent = std::get_if<RequestSent>(&history[i].body)) {
            sentContent[sent->request] = sent->content;
        } else if (const auto *answer = std::get_if<ResponseReceived>(&history[i].body)) {
            ++result.checked;
            const auto request = sentContent.find(answer->request);
            if (request == sentContent.end() || request->second != answer->content) {
                addViolation(result, i,
                             fmt::format("request {} received the response to another request",
                                         answer->request.text()));
            } else if (!answer->isComplete) {
                addViolation(result, i,
                             fmt::format("request {} received an incomplete response",
                                         answer->request.text()));
            }
        }
    }
    return result;
}

CheckResult checkNoWorkForLeaving(History history, Milliseconds grace)
{
    CheckResult result{"no-work-for-leaving", 0, {}};
    std::map<std::string, TimePoint> leaving;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (const auto *left = std::get_if<EndpointLeaving>(&history[i].body)) {
            leaving.try_emplace(left->endpoint, history[i].at);
        } else if (const auto *back = std::get_if<EndpointReturned>(&history[i].body)) {
            leaving.erase(back->endpoint);
        } else if (const auto *work = std::get_if<WorkSent>(&history[i].body)) {
            ++result.checked;
            const auto since = leaving.find(work->endpoint);
            if (since != leaving.end() && history[i].at > since->second + grace) {
                addViolation(result, i,
                             fmt::format("{} received work {} ms after it began to leave",
                                         work->endpoint, (history[i].at - since->second).count()));
            }
        }
    }
    return result;
}

CheckResult checkNoRequestCut(History history)
{
    CheckResult result{"no-request-cut", 0, {}};
    std::set<std::string> stopped;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (const auto *stop = std::get_if<PlannedStop>(&history[i].body)) {
            ++result.checked;
            stopped.insert(stop->endpoint);
        } else if (const auto *cut = std::get_if<RequestCut>(&history[i].body)) {
            if (stopped.contains(cut->endpoint)) {
                addViolation(result, i,
                             fmt::format("request {} was aborted by the planned stop of {}",
                                         cut->request.text(), cut->endpoint));
            }
        }
    }
    return result;
}

}  // namespace poplarstream::history
