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
            sources_.push_back({service, rate / 1000, drawInterarrivalMs(rate / 1000)});
        }
    }
}

std::vector<Call> Load::due(double elapsedMs)
{
    std::vector<Call> calls;
    for (Source &source : sources_) {
        while (source.nextMs <= elapsedMs) {
            calls.push_back(makeCall(source));
            source.nextMs += drawInterarrivalMs(source.ratePerMs);
        }
    }
    return calls;
}

Call Load::makeCall(const Source &source)
{
    const Section &tenant = tenants_[random_.below(tenants_.size())];
    Call call;
    call.number = ++lastNumber_;
    call.service = source.service.name;
    call.tenant = tenant.name;
    call.token = tenant.text("token");
    call.isUrgent = source.service.text("class") != "slow";
    call.deadlineMs = static_cast<std::int64_t>(source.service.number("deadline_ms", 1000));
    call.nonce = fmt::format("n{}-{}", options_.seed, call.number);
    nlohmann::json payload{{"nonce", call.nonce}};
    if (!call.isUrgent) {
        call.key = fmt::format("k{}-{}", options_.seed, call.number);
        payload["work_ms"] = source.service.number("run_seconds", 1) * 1000 * options_.runScale;
    }
    call.payload = payload.dump();
    return call;
}

double Load::drawInterarrivalMs(double ratePerMs)
{
    return -std::log(1 - random_.unit()) / ratePerMs;
}

}  // namespace poplarstream::standins
