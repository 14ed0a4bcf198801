#include "callers/entry_list.hpp"

#include <stdexcept>  // for runtime_error

#include "common/service.hpp"  // for runAfter

namespace poplarstream::standins {

namespace {

constexpr Milliseconds readinessCheckPeriod{1000};
constexpr Milliseconds readinessCheckDeadline{800};

}  // namespace

EntryList::EntryList(boost::asio::io_context &io, HttpClient &client,
                     std::vector<HttpEndpoint> entries, std::vector<HttpEndpoint> operators)
    : io_(io)
    , client_(client)
    , entries_(std::move(entries))
    , operators_(std::move(operators))
    , isReady_(entries_.size(), true)
{
    if (entries_.empty() || (!operators_.empty() && operators_.size() != entries_.size())) {
        throw std::runtime_error("--entries must not be empty, and --ready must match it");
    }
}

HttpEndpoint EntryList::next()
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        lastIndex_ = (lastIndex_ + 1) % entries_.size();
        if (isReady_[lastIndex_]) {
            return entries_[lastIndex_];
        }
    }
    lastIndex_ = (lastIndex_ + 1) % entries_.size();
    return entries_[lastIndex_];
}

void EntryList::markRefused(const HttpEndpoint &entry)
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i] == entry && !operators_.empty()) {
            isReady_[i] = false;
        }
    }
}

void EntryList::startReadinessChecks()
{
    if (isStopped_ || operators_.empty()) {
        return;
    }
    for (std::size_t i = 0; i < operators_.size(); ++i) {
        client_.send(operators_[i], {"GET", "/ready", {}, {}, {}}, {readinessCheckDeadline, {}},
                     [this, i](const HttpOutcome &outcome) {
                         isReady_[i] = outcome.delivery == HttpDelivery::Answered
                                       && outcome.response.status == 200;
                     });
    }
    runAfter(io_, readinessCheckPeriod, [this] { startReadinessChecks(); });
}

}  // namespace poplarstream::standins
