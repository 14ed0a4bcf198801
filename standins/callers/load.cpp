#include "callers/load.hpp"

#include <cmath>  // for log
#include <stdexcept>  // for runtime_error

#include <fmt/format.h>  // for format
#include <nlohmann/json.hpp>  // for json

namespace poplarstream::standins {

Load::Load(const std::vector<Section> &document, const LoadOptions &options)
    : tenants_(sectionsOf(document, "tenant"))
    , options_(options)
    , random_(options.seed)
{
    if (tenants_.empty()) {
        throw std::runtime_error("the document has no [tenant x]");
    }
    const Section rates{"", "", {{"rates", options.rates}}};
    for (const Section &service : sectionsOf(document, "service")) {
        double rate = service.text("class") == "slow" ? options.slowRate : options.urgentRate;
        for (const std::string &item : rates.list("rates")) {
            if (item.starts_with(service.name + "=")) {
                rate = std::stod(item.substr(service.name.size() + 1));
            }
        }
        if (rate > 0) {
            sources_.push_back({service, rate / 1000, gapMs(rate / 1000)});
        }
    }
}

std::vector<Order> Load::due(double elapsedMs)
{
    std::vector<Order> orders;
    for (Source &source : sources_) {
        while (source.nextMs <= elapsedMs) {
            orders.push_back(makeOrder(source));
            source.nextMs += gapMs(source.ratePerMs);
        }
    }
    return orders;
}

Order Load::makeOrder(const Source &source)
{
    const Section &tenant = tenants_[random_.below(tenants_.size())];
    Order order;
    order.number = ++lastNumber_;
    order.service = source.service.name;
    order.tenant = tenant.name;
    order.token = tenant.text("token");
    order.isUrgent = source.service.text("class") != "slow";
    order.deadlineMs = static_cast<std::int64_t>(source.service.number("deadline_ms", 1000));
    order.nonce = fmt::format("n{}-{}", options_.seed, order.number);
    nlohmann::json payload{{"nonce", order.nonce}};
    if (!order.isUrgent) {
        order.key = fmt::format("k{}-{}", options_.seed, order.number);
        payload["work_ms"] = source.service.number("run_seconds", 1) * 1000 * options_.runScale;
    }
    order.payload = payload.dump();
    return order;
}

double Load::gapMs(double ratePerMs)
{
    return -std::log(1 - random_.unit()) / ratePerMs;
}

}  // namespace poplarstream::standins
