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
    const auto found = names.find(text);
    if (found == names.end()) {
        throw std::invalid_argument("unknown fault '" + text + "'");
    }
    return found->second;
}

Work parseWork(FleetContext &context, const std::string &payload, const std::string &service)
{
    Work work;
    const auto mean = context.meanMsByService.find(service);
    // Uniform between 0.5 and 1.5 times the mean.
    work.durationMs = (mean == context.meanMsByService.end() ? context.defaultMeanMs : mean->second)
                      * (0.5 + context.random.unit());
    const nlohmann::json body = nlohmann::json::parse(payload, nullptr, false);
    if (body.is_object()) {
        try {
            work.nonce = body.value("nonce", work.nonce);
            work.durationMs = body.value("work_ms", work.durationMs);
            work.sizeFactor = body.value("size_factor", work.sizeFactor);
        } catch (const nlohmann::json::exception &) {
            return work;  // a field of the wrong type, and those after it, keep their defaults
        }
    }
    return work;
}

}  // namespace poplarstream::standins
