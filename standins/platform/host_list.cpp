#include "platform/host_list.hpp"

#include <nlohmann/json.hpp>  // for json

namespace poplarstream::standins {

void HostList::setState(const std::string &host, const std::string &state, std::int64_t nowMs)
{
    pending_.push_back({nowMs + lagMs_, host, state});
}

std::string HostList::toJson(std::int64_t nowMs)
{
    while (!pending_.empty() && pending_.front().visibleAtMs <= nowMs) {
        visible_[pending_.front().host] = pending_.front().state;
        pending_.pop_front();
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[host, state] : visible_) {
        if (state != "gone") {
            list.push_back({{"host", host}, {"state", state}});
        }
    }
    return list.dump();
}

}  // namespace poplarstream::standins
