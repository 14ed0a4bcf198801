#include "callers/entry_list.hpp"

#include <stdexcept>  // for runtime_error

#include "common/service.hpp"  // for after

namespace poplarstream::standins {

namespace {

constexpr Milliseconds watchPeriod{1000};
constexpr Milliseconds readyDeadline{800};

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
        last_ = (last_ + 1) % entries_.size();
        if (isReady_[last_]) {
            return entries_[last_];
        }
    }
    last_ = (last_ + 1) % entries_.size();
    return entries_[last_];
}

void EntryList::markRefused(const HttpEndpoint &entry)
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i] == entry && !operators_.empty()) {
            isReady_[i] = false;
        }
    }
}

void EntryList::watch()
{
    if (isStopped_ || operators_.empty()) {
        return;
    }
    for (std::size_t i = 0; i < operators_.size(); ++i) {
        client_.send(operators_[i], {"GET", "/ready", {}, {}, {}}, {readyDeadline, {}},
                     [this, i](const HttpOutcome &outcome) {
                         isReady_[i] = outcome.delivery == HttpDelivery::Answered
                                       && outcome.response.status == 200;
                     });
    }
    after(io_, watchPeriod, [this] { watch(); });
}

}  // namespace poplarstream::standins
