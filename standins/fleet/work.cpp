#include "fleet/work.hpp"

#include <stdexcept>  // for invalid_argument

#include <nlohmann/json.hpp>  // for json

namespace poplarstream::standins {

Fault faultFromText(const std::string &text)
{
    static const std::map<std::string, Fault> names{
            {"none", Fault::None},
            {"dead", Fault::Dead},
            {"fails-all", Fault::FailsAll},
            {"silent", Fault::Silent},
            {"silent-connections", Fault::SilentConnections},
            {"slow", Fault::Slow}};
    const auto place = names.find(text);
    if (place == names.end()) {
        throw std::invalid_argument("unknown fault '" + text + "'");
    }
    return place->second;
}

Work readWork(FleetContext &context, const std::string &payload, const std::string &service)
{
    Work work;
    const auto mean = context.serviceMs.find(service);
    // Uniform between half and one and a half times the mean.
    work.milliseconds = (mean == context.serviceMs.end() ? context.defaultMs : mean->second)
                        * (0.5 + context.random.unit());
    const nlohmann::json body = nlohmann::json::parse(payload, nullptr, false);
    if (body.is_object()) {
        try {
            work.nonce = body.value("nonce", work.nonce);
            work.milliseconds = body.value("work_ms", work.milliseconds);
            work.sizeFactor = body.value("size_factor", work.sizeFactor);
        } catch (const nlohmann::json::exception &) {
            return work;  // a field of another type stands for no field
        }
    }
    return work;
}

}  // namespace poplarstream::standins
